#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "catalog/internal/contact_exchange.h"
#include "catalog/internal/follower_driver.h"
#include "http/i_http_runtime.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"
#include "link/i_link.h"

namespace banyanlane::catalog {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Interval of the checks whether a pause of a driver has ended.
constexpr kernel::Millis kTickPeriod{50};
/// Time between two samples of the configuration. Until a configuration is
/// known, the time starts at kMinSampleRetry and doubles.
constexpr kernel::Millis kSamplePeriod{60'000};
constexpr kernel::Millis kMinSampleRetry{1'000};
/// Interval of the checks whether the next sample is due.
constexpr kernel::Millis kSampleCheckPeriod{500};
/// Time that the operator has to publish a lost configuration again. The last
/// one stays in force meanwhile.
constexpr kernel::Millis kConfigRewriteGrace{30'000};

/// Returns the operator's revision of a configuration, or 0 if `item` contains
/// none.
std::uint64_t RevisionOf(const ICatalogReader& reader,
                         const CatalogItem& item) {
  const auto offer = reader.ReadConfig(item);
  const auto* config = std::get_if<config::ConfigOffer>(&offer);
  return config == nullptr ? 0 : config->revision;
}

/// Restarts the watches when a link is lost, since the same network failure may
/// have broken the connections of the watches.
class WatchRestarter : public link::ILinkObserver {
 public:
  explicit WatchRestarter(std::vector<std::shared_ptr<FollowerDriver>> drivers)
      : drivers(std::move(drivers)) {}

  void OnLinkUp(const link::LinkPtr& /*link*/,
                kernel::TimePoint /*now*/) override {}
  void OnMessage(const link::LinkPtr& /*link*/, link::Message /*message*/,
                 kernel::TimePoint /*now*/) override {}
  void OnLinkDown(const link::LinkPtr& /*link*/,
                  kernel::TimePoint now) override {
    for (const auto& driver : this->drivers) driver->RestartWatch(now);
  }

 private:
  std::vector<std::shared_ptr<FollowerDriver>> drivers;
};

/// Watches the platform's store, and offers configurations and instance lists
/// to the stores of this process.
class CatalogModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    const kernel::Settings& settings = context.settings();
    ContactLimits limits;
    limits.takeover_delay =
        kernel::Millis(settings.Integer("link", "heartbeat_ms"));
    // Leaves the peers one heartbeat to learn of a change.
    limits.max_age =
        std::max(limits.takeover_delay,
                 kernel::Millis(settings.Integer("platform", "change_ms")) -
                     limits.takeover_delay);
    this->contacts =
        std::make_shared<ContactExchange>(settings.Text("node", "id"), limits);
    context.Export<IStoreContact>(this->contacts);
  }

  void Resolve(kernel::ModuleContext& context) override {
    const auto catalog = context.Resolve<ICatalog>();
    this->reader = context.Resolve<ICatalogReader>();
    this->config = context.Resolve<config::IConfigStore>();
    this->membership = context.Resolve<membership::IMembership>();
    this->runtime = context.Resolve<http::IHttpRuntime>();
    CatalogLimits limits;
    limits.watch_wait =
        kernel::Millis(context.settings().Integer("platform", "watch_ms"));
    const std::uint64_t seed = kernel::Hash64(kernel::RandomId());
    this->endpoint_driver = std::make_shared<FollowerDriver>(
        catalog, this->reader->EndpointPrefix(),
        CatalogFollower(limits, seed + 1),
        [this](const CatalogSnapshot& items) { this->OfferEndpoints(items); },
        this->ContactOf(this->contacts->endpoints_contact(),
                        this->reader->EndpointPrefix()));
    limits.rewrite_grace = kConfigRewriteGrace;
    const auto is_newer = [reader = this->reader](const CatalogItem& offered,
                                                  const CatalogItem& known) {
      return RevisionOf(*reader, offered) >= RevisionOf(*reader, known);
    };
    this->config_driver = std::make_shared<FollowerDriver>(
        catalog, this->reader->ConfigPrefix(),
        CatalogFollower(limits, seed, is_newer),
        [this](const CatalogSnapshot& items) { this->OfferConfig(items); },
        this->ContactOf(this->contacts->config_contact(),
                        this->reader->ConfigPrefix()));
    const auto hub = context.Resolve<link::ILinkHub>();
    hub->Subscribe(std::make_shared<WatchRestarter>(
        std::vector{this->config_driver, this->endpoint_driver}));
    this->contacts->SetStores(this->config, this->membership);
    hub->Subscribe(this->contacts);
    this->RestartWatchWhenPeersAreAhead();
  }

  void Start() override {
    this->Tick(kernel::Clock::now());
    this->runtime->Every(kTickPeriod,
                         [this](kernel::TimePoint now) { this->Tick(now); });
  }

  void Stop() override {
    this->config_driver->Stop();
    this->endpoint_driver->Stop();
  }

 private:
  SharedContact ContactOf(ContactMonitor& monitor, std::string prefix) {
    return {&monitor, [contacts = this->contacts, prefix = std::move(prefix)] {
              return contacts->Rank(prefix);
            }};
  }

  /// Restarts a watch when a peer has sent a newer state than the watch, since
  /// the connection of the watch may be broken.
  void RestartWatchWhenPeersAreAhead() {
    this->config->Subscribe([this](const config::ConfigPtr& adopted) {
      if (config::Replaces(config::VersionOf(*adopted), this->OfferedConfig()))
        this->config_driver->RestartWatch(kernel::Clock::now());
    });
    this->membership->Subscribe(
        [this](const membership::InstanceListPtr& adopted) {
          if (adopted->version > this->offered_list_version)
            this->endpoint_driver->RestartWatch(kernel::Clock::now());
        });
  }

  config::ConfigVersion OfferedConfig() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->offered_config;
  }

  void Tick(kernel::TimePoint now) {
    this->config_driver->OnTick(now);
    this->endpoint_driver->OnTick(now);
  }

  void OfferConfig(const CatalogSnapshot& items) {
    for (const CatalogItem& item : items.items) {
      const auto offer = this->reader->ReadConfig(item);
      if (const kernel::Error* error = kernel::ErrorOf(offer)) {
        kernel::LogEvent(kernel::EventId::kCatalogItemIgnored,
                         {{"key", item.key}, {"reason", error->detail}});
        continue;
      }
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->offered_config =
            config::VersionOf(std::get<config::ConfigOffer>(offer));
      }
      this->config->Offer(std::get<config::ConfigOffer>(offer), "platform",
                          kernel::Clock::now());
    }
  }

  void OfferEndpoints(const CatalogSnapshot& items) {
    std::vector<membership::Instance> endpoints;
    for (const CatalogItem& item : items.items) {
      auto endpoint = this->reader->ReadEndpoint(item);
      if (const kernel::Error* error = kernel::ErrorOf(endpoint)) {
        kernel::LogEvent(kernel::EventId::kCatalogItemIgnored,
                         {{"key", item.key}, {"reason", error->detail}});
        continue;
      }
      endpoints.push_back(std::get<membership::Instance>(std::move(endpoint)));
    }
    this->offered_list_version = items.version;
    this->membership->Offer(
        membership::FormatInstanceList(items.version, endpoints), "platform",
        kernel::Clock::now());
  }

  std::shared_ptr<ICatalogReader> reader;
  std::shared_ptr<config::IConfigStore> config;
  std::shared_ptr<membership::IMembership> membership;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<ContactExchange> contacts;
  std::shared_ptr<FollowerDriver> config_driver;
  std::shared_ptr<FollowerDriver> endpoint_driver;
  std::mutex mutex;  ///< Guards `offered_config`.
  /// Version of the configuration that the watch has offered last.
  config::ConfigVersion offered_config;
  /// Version of the instance list that the watch has offered last.
  std::atomic<std::uint64_t> offered_list_version{0};
};

/// Reads the configuration periodically, for roles that use little of it and
/// need no immediate updates.
class SampleModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& /*context*/) override {}

  void Resolve(kernel::ModuleContext& context) override {
    this->catalog = context.Resolve<ICatalog>();
    this->reader = context.Resolve<ICatalogReader>();
    this->config = context.Resolve<config::IConfigStore>();
    this->runtime = context.Resolve<http::IHttpRuntime>();
  }

  void Start() override {
    this->Read(kernel::Clock::now());
    this->runtime->Every(kSampleCheckPeriod, [this](kernel::TimePoint now) {
      if (now >= this->next_read_at) this->Read(now);
    });
  }

  void Stop() override {}

 private:
  void Read(kernel::TimePoint now) {
    const bool known = this->config->Current() != nullptr;
    this->next_read_at = now + (known ? kSamplePeriod : this->retry_period);
    this->retry_period = std::min(this->retry_period * 2, kSamplePeriod);
    this->catalog->ReadPage(
        this->reader->ConfigPrefix(), "", CatalogLimits{}.response_timeout,
        [this](const CatalogResponse& response) { this->Offer(response); });
  }

  void Offer(const CatalogResponse& response) {
    const auto* page = std::get_if<CatalogPage>(&response);
    if (page == nullptr) return;
    for (CatalogItem item : page->items) {
      item.era = page->era.value_or(0);
      const auto offer = this->reader->ReadConfig(item);
      if (kernel::ErrorOf(offer) != nullptr) continue;
      this->config->Offer(std::get<config::ConfigOffer>(offer), "platform",
                          kernel::Clock::now());
    }
  }

  std::shared_ptr<ICatalog> catalog;
  std::shared_ptr<ICatalogReader> reader;
  std::shared_ptr<config::IConfigStore> config;
  std::shared_ptr<http::IHttpRuntime> runtime;
  kernel::TimePoint next_read_at;
  kernel::Millis retry_period = kMinSampleRetry;
};

const kernel::ModuleRegistration kSampleRegistration(
    {"catalog_sample", {Role::kRank}, kernel::StartOrder::kService, {}, [] {
       return std::make_unique<SampleModule>();
     }});

const kernel::ModuleRegistration kRegistration(
    {"catalog",
     {Role::kGateway},
     kernel::StartOrder::kService,
     {{"platform", "change_ms", SettingKind::kInteger, "2000", false, 100,
       60'000,
       "Milliseconds in which all gateways must know a change in the store, "
       "such as an endpoint that leaves."}},
     [] { return std::make_unique<CatalogModule>(); }});

}  // namespace
}  // namespace banyanlane::catalog
