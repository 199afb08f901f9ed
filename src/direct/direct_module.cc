#include <algorithm>
#include <memory>

#include "admin/i_status_board.h"
#include "direct/internal/direct_service.h"
#include "kernel/boot_clock.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"

namespace banyanlane::direct {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Period at which this gateway's state, with its requests in flight, is sent
/// to peers.
constexpr kernel::Millis kPublishPeriod{500};
/// Period at which the gateway checks whether queued requests can be sent. It
/// also does so whenever a request leaves an endpoint.
constexpr kernel::Millis kQueueCheckPeriod{100};

/// Period at which expired evidence about crashes is removed.
constexpr kernel::Millis kEvidenceCheckPeriod{10'000};

/// The gateway role: receives callers' requests and sends them to endpoints.
class DirectModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& /*context*/) override {}

  void Resolve(kernel::ModuleContext& context) override {
    const kernel::Settings& settings = context.settings();
    this->listen = settings.Text("gateway", "listen");
    this->runtime = context.Resolve<http::IHttpRuntime>();
    this->store = context.Resolve<config::IConfigStore>();
    const auto membership = context.Resolve<membership::IMembership>();
    this->crashes = std::make_shared<CrashMonitor>(
        settings.Text("node", "id") + "/" + kernel::RandomId(), this->runtime,
        context.Resolve<kernel::Metrics>(),
        context.Resolve<limits::IRateLimits>(),
        [peers = context.Resolve<peers::IPeers>()](kernel::TimePoint now) {
          return peers->LiveGateways(now).size();
        });
    context.Resolve<link::ILinkHub>()->Subscribe(this->crashes);
    this->service = std::make_shared<DirectService>(
        ReadSettings(settings), this->runtime,
        context.Resolve<const ICallerProtocol>(),
        context.Resolve<peers::IPeers>(), membership,
        context.Resolve<kernel::Metrics>(), this->crashes,
        context.Resolve<limits::IRateLimits>(),
        kernel::Hash64(kernel::RandomId()), kernel::Clock::now());
    context.Export<IGateway>(this->service);
    context.Resolve<limits::IRateLimits>()->Subscribe(
        [service = this->service](kernel::TimePoint now) {
          service->SendAllQueued(now);
        });
    this->store->Subscribe(
        [this](const config::ConfigPtr& config) { this->OnConfig(config); });
    membership->Subscribe([this](const membership::InstanceListPtr& list) {
      this->service->OnInstances(list, kernel::Clock::now());
    });
    this->AddStatus(*context.Resolve<admin::IStatusBoard>());
  }

  void Start() override {
    this->server =
        http::OpenServer(*this->runtime, this->listen, this->service);
    if (const config::ConfigPtr config = this->store->Current())
      this->ApplyLimits(config->caller_limits);
    this->runtime->Every(kPublishPeriod,
                         [service = this->service](kernel::TimePoint now) {
                           service->Publish(now);
                         });
    this->runtime->Every(kQueueCheckPeriod,
                         [service = this->service](kernel::TimePoint now) {
                           service->SendAllQueued(now);
                         });
    this->runtime->Every(kEvidenceCheckPeriod,
                         [crashes = this->crashes](kernel::TimePoint now) {
                           crashes->Expire(now);
                         });
    kernel::LogEvent(kernel::EventId::kProcessReady,
                     {{"listen", this->listen}});
  }

  void Drain(kernel::TimePoint requested_at) override {
    this->service->Drain(requested_at, kernel::BootNow());
  }
  std::string Pending() override {
    std::string pending = this->service->Pending(
        this->server->BusyConnections(), kernel::BootNow());
    if (this->service->IsClosing()) this->server->StopAccepting();
    return pending;
  }
  void Stop() override { this->server->StopAccepting(); }

 private:
  static GatewaySettings ReadSettings(const kernel::Settings& settings) {
    GatewaySettings gateway_settings;
    const auto millis = [&settings](const char* key, double unit_ms = 1) {
      return kernel::Millis(
          static_cast<std::int64_t>(settings.Number("gateway", key) * unit_ms));
    };
    gateway_settings.caller_address = settings.Text("gateway", "address");
    gateway_settings.failure_domain = settings.Text("node", "failure_domain");
    gateway_settings.address_ttl = millis("address_keep_ms");
    gateway_settings.grace_period = millis("grace_s", kMillisPerSecond);
    gateway_settings.max_prompt_parts = static_cast<std::size_t>(
        settings.Integer("gateway", "max_prompt_parts"));
    gateway_settings.limits.stream_stall_timeout =
        millis("stall_ms") + kStallMargin;
    gateway_settings.retries.ratio = settings.Number("gateway", "retry_ratio");
    gateway_settings.retries.window =
        millis("retry_window_s", kMillisPerSecond);
    gateway_settings.retries.slack =
        static_cast<std::int64_t>(settings.Number("gateway", "retry_slack"));
    return gateway_settings;
  }

  void OnConfig(const config::ConfigPtr& config) {
    this->service->OnConfig(config);
    if (this->server) this->ApplyLimits(config->caller_limits);
  }

  void ApplyLimits(const config::CallerLimits& limits) {
    http::ServerLimits applied;
    applied.header_bytes = static_cast<std::uint32_t>(limits.header_bytes);
    applied.body_bytes = static_cast<std::uint64_t>(limits.body_bytes);
    applied.read_timeout_ms =
        std::max(applied.read_timeout_ms,
                 static_cast<std::uint32_t>(limits.header_timeout_ms));
    applied.idle_timeout_ms =
        static_cast<std::uint32_t>(limits.idle_timeout_ms);
    this->server->SetLimits(applied);
  }

  void AddStatus(admin::IStatusBoard& board) {
    board.AddSection("gateway", [this] {
      const config::ConfigPtr config = this->store->Current();
      return std::vector<std::string>{
          "revision=" + std::to_string(config ? config->revision : 0),
          "in_flight=" + std::to_string(this->service->InFlight())};
    });
    board.AddSection("endpoints", [this] {
      return this->service->endpoints().Describe(kernel::Clock::now());
    });
  }

  static constexpr double kMillisPerSecond = 1'000;
  /// Added to the time for which endpoints wait for a lost endpoint, so that
  /// their responses can still arrive.
  static constexpr kernel::Millis kStallMargin{100};

  std::string listen;
  std::shared_ptr<config::IConfigStore> store;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<CrashMonitor> crashes;
  std::shared_ptr<DirectService> service;
  std::shared_ptr<http::IHttpServer> server;
};

const kernel::ModuleRegistration kRegistration(
    {"direct",
     {Role::kGateway},
     kernel::StartOrder::kService,
     {{"gateway", "listen", SettingKind::kText, "", true, 0, 0,
       "Address on which callers connect."},
      {"gateway", "address", SettingKind::kText, "", true, 0, 0,
       "Address reported to callers."},
      {"gateway", "address_keep_ms", SettingKind::kInteger, "1000", false, 100,
       3'600'000,
       "How long callers may use the addresses that they were given."},
      {"gateway", "grace_s", SettingKind::kNumber, "8", false, 1, 3'600,
       "Longest time of a graceful shutdown."},
      {"gateway", "stall_ms", SettingKind::kNumber, "1500", false, 0, 60'000,
       "How long endpoints wait for a lost endpoint that they depend on."},
      {"gateway", "max_prompt_parts", SettingKind::kInteger, "1024", false, 1,
       1'000'000,
       "Number of parts of a prompt for which evidence about crashes is kept."},
      {"gateway", "retry_ratio", SettingKind::kNumber, "0.2", false, 0, 1,
       "Retries to a service, as a fraction of its requests."},
      {"gateway", "retry_window_s", SettingKind::kNumber, "10", false, 1, 600,
       "Time window in which retries are counted."},
      {"gateway", "retry_slack", SettingKind::kNumber, "10", false, 0,
       1'000'000, "Additional retries, over all gateways together."}},
     [] { return std::make_unique<DirectModule>(); }});

}  // namespace
}  // namespace banyanlane::direct
