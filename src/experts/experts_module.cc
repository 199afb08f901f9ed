#include <memory>

#include "config/i_config.h"
#include "experts/internal/rank_service.h"
#include "http/i_http_runtime.h"
#include "kernel/boot_clock.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"

namespace banyanlane::experts {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Period at which an agent checks for work that is due.
constexpr kernel::Millis kTickPeriod{20};

/// Parts of the link of a rank agent's machine that a leader may use to receive
/// expert counts, and to send maps. The engine's requests share the link.
constexpr double kCountsLinkShare = 0.12;
constexpr double kMapsLinkShare = 0.06;
/// Bytes of maps that a leader may send ahead of the average, as a part of what
/// the link carries in a second. A map after a shift of demand fits in it.
constexpr double kMapsBurstShare = 0.1;
/// Part of the link that a leader may use while it sends a map.
constexpr double kMapsPeakLinkShare = 0.4;
constexpr double kBytesPerMegabit = 125'000;

/// Module of the rank role. It switches the expert maps of a group together
/// with the agents of the other ranks.
class ExpertsModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& /*context*/) override {}

  void Resolve(kernel::ModuleContext& context) override {
    const kernel::Settings& settings = context.settings();
    this->runtime = context.Resolve<http::IHttpRuntime>();
    const double link_bytes_per_second =
        settings.Number("rank", "link_mbps") * kBytesPerMegabit;
    RankServiceLimits limits;
    limits.counts_bytes_per_second = kCountsLinkShare * link_bytes_per_second;
    GroupLeaderLimits leader_limits;
    leader_limits.maps.bytes_per_second =
        kMapsLinkShare * link_bytes_per_second;
    leader_limits.maps.burst_bytes = kMapsBurstShare * link_bytes_per_second;
    leader_limits.maps.peak_bytes_per_second =
        kMapsPeakLinkShare * link_bytes_per_second;
    this->service = std::make_shared<RankService>(
        settings.Text("node", "id"), settings.Text("rank", "engine"), limits,
        leader_limits, context.Resolve<IRankEngine>(),
        context.Resolve<peers::IPeers>(), context.Resolve<kernel::Metrics>(),
        kernel::BootNow, kernel::Hash64(kernel::RandomId()));
    this->service->Open();
    context.Resolve<link::ILinkHub>()->Subscribe(this->service);
    const std::string served = settings.Text("rank", "service");
    context.Resolve<config::IConfigStore>()->Subscribe(
        [service = this->service, served](const config::ConfigPtr& config) {
          const auto found = config->expert_bounds.find(served);
          if (found == config->expert_bounds.end()) return;
          service->SetBounds(
              static_cast<std::size_t>(found->second.max_experts_per_rank),
              static_cast<std::size_t>(found->second.max_new_experts_per_rank),
              found->second.copy_ms);
        });
  }

  void Start() override {
    this->runtime->Every(kTickPeriod,
                         [service = this->service](kernel::TimePoint now) {
                           service->OnTick(now);
                         });
    kernel::LogEvent(kernel::EventId::kProcessReady, {});
  }

  void Drain(kernel::TimePoint /*requested_at*/) override {
    this->service->BeginStop();
  }
  std::string Pending() override { return this->service->Pending(); }
  void Stop() override {}

 private:
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<RankService> service;
};

const kernel::ModuleRegistration kRegistration(
    {"experts",
     {Role::kRank},
     kernel::StartOrder::kService,
     {{"rank", "service", SettingKind::kText, "", true, 0, 0,
       "Service that the ranks' endpoints serve."},
      {"rank", "engine", SettingKind::kText, "", true, 0, 0,
       "Address of the rank's model engine."},
      {"rank", "link_mbps", SettingKind::kNumber, "8", false, 1, 1'000'000,
       "Megabits per second of the machine's network link, which the engine "
       "shares."}},
     [] { return std::make_unique<ExpertsModule>(); }});

}  // namespace
}  // namespace banyanlane::experts
