#include <algorithm>
#include <memory>

#include "admin/i_status_board.h"
#include "entry/internal/entry_service.h"
#include "http/i_http_runtime.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"

namespace banyanlane::entry {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Maximum load of an endpoint relative to the mean load.
constexpr double kAffinityBound = 2.0;
/// Period of EntryService::OnTick, which resets the retry budgets that were not
/// used since the previous tick.
constexpr kernel::Millis kTickPeriod{60'000};

/// Module of the entry role, which accepts callers' requests and routes them to
/// agents.
class EntryModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& /*context*/) override {}

  void Resolve(kernel::ModuleContext& context) override {
    const kernel::Settings& settings = context.settings();
    this->node = settings.Text("node", "id");
    this->failure_domain = settings.Text("node", "failure_domain");
    this->listen = settings.Text("entry", "listen");
    this->max_links_per_service = static_cast<std::size_t>(
        settings.Integer("entry", "links_per_service"));
    this->store = context.Resolve<config::IConfigStore>();
    this->membership = context.Resolve<membership::IMembership>();
    this->hub = context.Resolve<link::ILinkHub>();
    this->runtime = context.Resolve<http::IHttpRuntime>();
    this->metrics = context.Resolve<kernel::Metrics>();
    AddressSelector address_selector(
        this->node, settings.Text("entry", "address"),
        static_cast<std::size_t>(settings.Integer("entry", "address_subset")),
        kernel::Millis(settings.Integer("entry", "address_keep_ms")));
    this->service = std::make_shared<EntryService>(
        std::move(address_selector), MakeAffinityRoute(kAffinityBound),
        this->store, this->membership, this->metrics, kernel::Clock::now());
    this->hub->SetStateProviders([this] { return this->LocalHello(); },
                                 [this] { return this->LocalHeartbeat(); });
    this->hub->Subscribe(this->service);
    this->membership->Subscribe(
        [this](const membership::InstanceListPtr& list) {
          this->service->OnInstances(list);
          this->hub->SetTargets(this->ChooseTargets(*list));
        });
    const auto seeds = settings.List("link", "seeds");
    if (!seeds.empty()) this->hub->SetTargets(seeds);
    this->AddStatus(*context.Resolve<admin::IStatusBoard>());
  }

  void Start() override {
    this->server =
        http::OpenServer(*this->runtime, this->listen, this->service);
    this->runtime->Every(kTickPeriod,
                         [service = this->service](kernel::TimePoint now) {
                           service->OnTick(now);
                         });
    kernel::LogEvent(kernel::EventId::kProcessReady,
                     {{"listen", this->listen}});
  }

  void Drain(kernel::TimePoint /*requested_at*/) override {
    this->service->Drain(kernel::Clock::now());
  }
  std::string Pending() override {
    return this->service->Pending(kernel::Clock::now());
  }
  void Stop() override { this->server->StopAccepting(); }

 private:
  link::Hello LocalHello() {
    link::Hello hello;
    hello.role = "entry";
    hello.node = this->node;
    hello.incarnation = this->incarnation;
    hello.failure_domain = this->failure_domain;
    hello.revision = this->Revision();
    hello.list_version = this->ListVersion();
    return hello;
  }

  link::Heartbeat LocalHeartbeat() {
    link::Heartbeat heartbeat;
    heartbeat.revision = this->Revision();
    heartbeat.list_version = this->ListVersion();
    return heartbeat;
  }

  std::uint64_t Revision() const {
    const config::ConfigPtr config = this->store->Current();
    return config ? config->revision : 0;
  }

  std::uint64_t ListVersion() const {
    const auto list = this->membership->Current();
    return list ? list->version : 0;
  }

  /// Returns the addresses of the agents that this entry keeps links to, at
  /// most `max_links_per_service` for each service.
  std::vector<std::string> ChooseTargets(
      const membership::InstanceList& list) const {
    std::map<std::string, std::vector<membership::Instance>> by_service;
    for (membership::Instance& endpoint :
         list.OfRole(membership::InstanceRole::kEndpoint)) {
      by_service[endpoint.service].push_back(std::move(endpoint));
    }
    std::vector<std::string> targets;
    for (auto& [service_name, endpoints] : by_service) {
      std::sort(endpoints.begin(), endpoints.end(),
                [this](const auto& left, const auto& right) {
                  return kernel::RendezvousWeight(this->node, left.id) >
                         kernel::RendezvousWeight(this->node, right.id);
                });
      if (endpoints.size() > this->max_links_per_service)
        endpoints.resize(this->max_links_per_service);
      for (const membership::Instance& endpoint : endpoints)
        targets.push_back(endpoint.address);
    }
    return targets;
  }

  void AddStatus(admin::IStatusBoard& board) {
    board.AddSection("entry", [this] {
      return std::vector<std::string>{
          "node=" + this->node, "revision=" + std::to_string(this->Revision()),
          "list_version=" + std::to_string(this->ListVersion()),
          "in_flight=" + std::to_string(this->service->InFlight())};
    });
    board.AddSection("endpoints", [this] {
      return this->service->endpoints().Describe(kernel::Clock::now());
    });
    board.SetExplain([this](const http::HttpRequest& request) {
      return this->service->Explain(request, kernel::Clock::now());
    });
  }

  std::string node;
  std::string failure_domain;
  std::string listen;
  std::size_t max_links_per_service = 0;
  std::uint64_t incarnation = kernel::Hash64(kernel::RandomId());
  std::shared_ptr<config::IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  std::shared_ptr<link::ILinkHub> hub;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<kernel::Metrics> metrics;
  std::shared_ptr<EntryService> service;
  std::shared_ptr<http::IHttpServer> server;
};

const kernel::ModuleRegistration kRegistration(
    {"entry",
     {Role::kEntry},
     kernel::StartOrder::kService,
     {{"entry", "listen", SettingKind::kText, "", true, 0, 0,
       "Address on which this entry accepts callers."},
      {"entry", "address", SettingKind::kText, "", true, 0, 0,
       "Address sent to callers; the same as in the platform's instance list."},
      {"entry", "address_subset", SettingKind::kInteger, "3", false, 1, 64,
       "Maximum number of addresses in a response of /v1/addresses."},
      {"entry", "address_keep_ms", SettingKind::kInteger, "30000", false, 100,
       3'600'000,
       "Milliseconds for which callers may use a response of /v1/addresses."},
      {"link", "seeds", SettingKind::kList, "", false, 0, 0,
       "Agents to link to until the instance list is received."},
      {"entry", "links_per_service", SettingKind::kInteger, "48", false, 1,
       4'096,
       "Maximum number of agents of one service that this entry links to."}},
     [] { return std::make_unique<EntryModule>(); }});

}  // namespace
}  // namespace banyanlane::entry
