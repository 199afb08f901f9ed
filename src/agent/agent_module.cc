#include <algorithm>
#include <memory>
#include <mutex>
#include <stdexcept>

#include "admin/i_status_board.h"
#include "agent/internal/agent_service.h"
#include "config/i_config.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"
#include "membership/instances.h"

namespace banyanlane::agent {
namespace {

using kernel::Role;
using kernel::SettingKind;

constexpr kernel::Millis kTickPeriod{50};
constexpr kernel::Millis kMetricsPeriod{1'000};
/// Quantile of recent token usage that a request is charged.
constexpr double kChargeQuantile = 0.9;

/// Module of the agent role. All calls to an endpoint go through its agent.
class AgentModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& /*context*/) override {}

  void Resolve(kernel::ModuleContext& context) override {
    const kernel::Settings& settings = context.settings();
    this->identity.node = settings.Text("node", "id");
    this->identity.incarnation = kernel::Hash64(kernel::RandomId());
    this->identity.started = kernel::Clock::now();
    this->identity.service = settings.Text("agent", "service");
    this->failure_domain = settings.Text("node", "failure_domain");
    this->listen = settings.Text("agent", "listen");
    AgentLimits limits;
    limits.admission.slots =
        static_cast<std::size_t>(settings.Integer("agent", "slots"));
    limits.admission.token_capacity =
        settings.Integer("agent", "token_capacity");
    limits.admission.max_queued =
        static_cast<std::size_t>(settings.Integer("agent", "queue"));
    auto core = std::make_unique<AgentCore>(
        this->identity, limits, MakeQuantileCharge(kChargeQuantile));
    this->runtime = context.Resolve<http::IHttpRuntime>();
    this->store = context.Resolve<config::IConfigStore>();
    this->membership = context.Resolve<membership::IMembership>();
    this->hub = context.Resolve<link::ILinkHub>();
    this->service = std::make_shared<AgentService>(
        std::move(core), settings.Text("agent", "endpoint"),
        settings.Text("agent", "health_path"), this->runtime,
        context.Resolve<kernel::AuditTrail>(),
        context.Resolve<kernel::Metrics>());
    this->hub->SetStateProviders([this] { return this->LocalHello(); },
                                 [this] { return this->LocalHeartbeat(); });
    this->hub->Subscribe(this->service);
    this->store->Subscribe([this](const config::ConfigPtr& config) {
      this->service->OnConfig(config);
    });
    this->membership->Subscribe(
        [this](const membership::InstanceListPtr& list) {
          this->OnInstances(*list);
        });
    context.Resolve<admin::IStatusBoard>()->AddSection(
        "agent", [this] { return this->Status(); });
  }

  void Start() override {
    const auto opened = this->hub->Listen(this->listen);
    if (const kernel::Error* error = kernel::ErrorOf(opened)) {
      throw std::runtime_error(kernel::Describe(*error));
    }
    this->runtime->Every(kTickPeriod,
                         [service = this->service](kernel::TimePoint now) {
                           service->OnTick(now);
                         });
    this->runtime->Every(kMetricsPeriod,
                         [service = this->service](kernel::TimePoint /*now*/) {
                           service->PublishMetrics();
                         });
    kernel::LogEvent(kernel::EventId::kProcessReady,
                     {{"listen", this->listen}});
  }

  void Drain(kernel::TimePoint /*requested_at*/) override {
    this->service->BeginStop(kernel::Clock::now());
  }

  std::string Pending() override {
    return this->service->Pending(this->hub->QueuedBytes(),
                                  kernel::Clock::now());
  }

  void Stop() override {}

 private:
  void OnInstances(const membership::InstanceList& list) {
    for (const membership::Instance& instance : list.instances) {
      const bool leaving =
          instance.state == membership::InstanceState::kLeaving;
      if (instance.id != this->identity.node || !leaving) continue;
      this->service->OnLeaving("listed as leaving", kernel::Clock::now());
    }
  }

  link::Hello LocalHello() {
    const link::Heartbeat state = this->LocalHeartbeat();
    link::Hello hello;
    hello.role = "agent";
    hello.node = this->identity.node;
    hello.incarnation = this->identity.incarnation;
    hello.failure_domain = this->failure_domain;
    hello.service = this->identity.service;
    hello.revision = state.revision;
    hello.list_version = state.list_version;
    hello.clock_ms = state.clock_ms;
    hello.leaving = state.leaving;
    return hello;
  }

  link::Heartbeat LocalHeartbeat() {
    link::Heartbeat heartbeat = this->service->State(kernel::Clock::now());
    const auto list = this->membership->Current();
    heartbeat.list_version = list ? list->version : 0;
    return heartbeat;
  }

  std::vector<std::string> Status() {
    const link::Heartbeat state = this->LocalHeartbeat();
    return {
        "node=" + this->identity.node,
        "service=" + this->identity.service,
        "revision=" + std::to_string(state.revision),
        "list_version=" + std::to_string(state.list_version),
        "running=" + std::to_string(state.running),
        "queued=" + std::to_string(state.queued),
        std::string("leaving=") + (state.leaving ? "true" : "false"),
        std::string("endpoint_up=") + (state.endpoint_up ? "true" : "false")};
  }

  AgentIdentity identity;
  std::string failure_domain;
  std::string listen;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<config::IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  std::shared_ptr<link::ILinkHub> hub;
  std::shared_ptr<AgentService> service;
};

const kernel::ModuleRegistration kRegistration(
    {"agent",
     {Role::kAgent},
     kernel::StartOrder::kService,
     {{"agent", "listen", SettingKind::kText, "", true, 0, 0,
       "Address on which the agent accepts links from entries."},
      {"agent", "endpoint", SettingKind::kText, "", true, 0, 0,
       "Address of the endpoint."},
      {"agent", "service", SettingKind::kText, "", true, 0, 0,
       "Model or plain service that the endpoint serves."},
      {"agent", "health_path", SettingKind::kText, "/health", false, 0, 0,
       "Path of the endpoint's health check."},
      {"agent", "slots", SettingKind::kInteger, "32", false, 1, 100'000,
       "Maximum number of requests that run on the endpoint at a time."},
      {"agent", "token_capacity", SettingKind::kInteger, "65536", false, 1,
       1'000'000'000,
       "Maximum number of tokens charged on the endpoint at a time."},
      {"agent", "queue", SettingKind::kInteger, "64", false, 0, 100'000,
       "Maximum number of requests that wait for the endpoint."}},
     [] { return std::make_unique<AgentModule>(); }});

}  // namespace
}  // namespace banyanlane::agent
