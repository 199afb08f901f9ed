#include <algorithm>
#include <memory>
#include <optional>
#include <stdexcept>

#include "catalog/i_store_contact.h"
#include "config/i_config.h"
#include "kernel/hash.h"
#include "kernel/module_registry.h"
#include "membership/instances.h"
#include "peers/internal/peer_gossip.h"

namespace banyanlane::peers {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Exports IPeers, and listens for links.
class PeersModule : public kernel::IModule {
 public:
  explicit PeersModule(std::string role) : role(std::move(role)) {}

  void Export(kernel::ModuleContext& context) override {
    const kernel::Settings& settings = context.settings();
    link::PeerState self;
    self.role = this->role;
    self.node = settings.Text("node", "id");
    self.incarnation = kernel::Hash64(kernel::RandomId());
    self.failure_domain = settings.Text("node", "failure_domain");
    self.link_address = settings.Text("link", "listen");
    if (this->role == kGatewayRole)
      self.caller_address = settings.Text("gateway", "address");
    this->hello.role = this->role;
    this->hello.node = self.node;
    this->hello.incarnation = self.incarnation;
    this->hello.failure_domain = self.failure_domain;
    this->address = self.link_address;
    this->hub = context.Resolve<link::ILinkHub>();
    this->gossip =
        std::make_shared<PeerGossip>(PeerTable(std::move(self), PeerLimits{}),
                                     settings.List("link", "seeds"), this->hub);
    context.Export<IPeers>(this->gossip);
  }

  void Resolve(kernel::ModuleContext& context) override {
    this->store = context.Resolve<config::IConfigStore>();
    this->membership = context.Resolve<membership::IMembership>();
    this->contact = context.Find<catalog::IStoreContact>();
    this->hub->SetStateProviders([this] { return this->LocalHello(); },
                                 [this] { return this->LocalHeartbeat(); });
    this->hub->Subscribe(this->gossip);
  }

  void Start() override {
    const auto opened = this->hub->Listen(this->address);
    if (const kernel::Error* error = kernel::ErrorOf(opened))
      throw std::runtime_error(kernel::Describe(*error));
    this->gossip->UpdateLinkTargets();
  }

  void Reload(const kernel::Settings& settings) override {
    this->gossip->SetSeeds(settings.List("link", "seeds"));
  }

  void Stop() override {}

 private:
  /// Sets the members of `message` that say which configuration is in force.
  template <typename Message>
  void SetConfigVersion(Message& message) const {
    const config::ConfigPtr config = this->store->Current();
    if (!config) return;
    message.revision = config->revision;
    message.era = config->era;
    message.confirmed = config->confirmed;
  }

  std::uint64_t ListVersion() const {
    const auto list = this->membership->Current();
    return list ? list->version : 0;
  }

  link::Hello LocalHello() const {
    link::Hello current = this->hello;
    this->SetConfigVersion(current);
    current.list_version = this->ListVersion();
    return current;
  }

  link::Heartbeat LocalHeartbeat() const {
    link::Heartbeat heartbeat;
    // Before the versions, so that these include what the responses brought.
    if (this->contact) {
      const auto now = kernel::Clock::now();
      heartbeat.config_contact_ms =
          ContactMillis(this->contact->ConfigAge(now));
      heartbeat.list_contact_ms =
          ContactMillis(this->contact->EndpointsAge(now));
    }
    this->SetConfigVersion(heartbeat);
    heartbeat.list_version = this->ListVersion();
    return heartbeat;
  }

  /// Returns the number of a heartbeat for the age of a response.
  static std::uint64_t ContactMillis(std::optional<kernel::Millis> age) {
    if (!age) return 0;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, age->count()));
  }

  std::string role;
  link::Hello hello;
  std::string address;
  std::shared_ptr<link::ILinkHub> hub;
  std::shared_ptr<PeerGossip> gossip;
  std::shared_ptr<catalog::IStoreContact> contact;  ///< Null at rank agents.
  std::shared_ptr<config::IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
};

kernel::Settings::Schema LinkSettings() {
  return {{"link", "listen", SettingKind::kText, "", true, 0, 0,
           "Address for links from gateways and rank agents."},
          {"link", "seeds", SettingKind::kList, "", false, 0, 0,
           "Addresses of gateways to link to first; some may be down."}};
}

const kernel::ModuleRegistration kGatewayPeers(
    {"gateway_peers",
     {Role::kGateway},
     kernel::StartOrder::kService,
     LinkSettings(),
     [] { return std::make_unique<PeersModule>(kGatewayRole); }});

const kernel::ModuleRegistration kRankPeers(
    {"rank_peers",
     {Role::kRank},
     kernel::StartOrder::kService,
     LinkSettings(),
     [] { return std::make_unique<PeersModule>(kRankRole); }});

}  // namespace
}  // namespace banyanlane::peers
