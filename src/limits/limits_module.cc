#include <memory>
#include <set>

#include "http/i_http_runtime.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"
#include "limits/internal/rate_limits.h"
#include "membership/instances.h"
#include "peers/i_peers.h"

namespace banyanlane::limits {
namespace {

using kernel::Role;

constexpr kernel::Millis kTickPeriod{100};

/// Exports IRateLimits.
class LimitsModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    this->limits = std::make_shared<RateLimits>(
        kernel::Hash64(kernel::RandomId()), PermitLimits{});
    context.Export<IRateLimits>(this->limits);
  }

  void Resolve(kernel::ModuleContext& context) override {
    this->runtime = context.Resolve<http::IHttpRuntime>();
    this->peers = context.Resolve<peers::IPeers>();
    context.Resolve<link::ILinkHub>()->Subscribe(this->limits);
    context.Resolve<membership::IMembership>()->Subscribe(
        [limits = this->limits](const membership::InstanceListPtr& list) {
          std::set<std::string> endpoints;
          for (const membership::Instance& instance : list->instances)
            endpoints.insert(instance.id);
          limits->Retain(endpoints);
        });
  }

  void Start() override {
    this->runtime->Every(kTickPeriod, [this](kernel::TimePoint now) {
      if (this->limits->IsActive()) this->limits->OnTick(this->Reach(now), now);
    });
  }

  void Stop() override {}

 private:
  /// Returns the part of the known gateways from which updates arrive.
  double Reach(kernel::TimePoint now) {
    const auto live = this->peers->LiveGateways(now).size() + 1;
    const auto known = this->peers->PeersOfRole(peers::kGatewayRole).size() + 1;
    return static_cast<double>(live) / static_cast<double>(known);
  }

  std::shared_ptr<RateLimits> limits;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<peers::IPeers> peers;
};

const kernel::ModuleRegistration kRegistration(
    {"limits", {Role::kGateway}, kernel::StartOrder::kService, {}, [] {
       return std::make_unique<LimitsModule>();
     }});

}  // namespace
}  // namespace banyanlane::limits
