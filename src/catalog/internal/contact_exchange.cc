#include "catalog/internal/contact_exchange.h"

#include <set>

#include "config/config_version.h"
#include "kernel/hash.h"
#include "peers/i_peers.h"

namespace banyanlane::catalog {

ContactExchange::ContactExchange(std::string node, const ContactLimits& limits)
    : node(std::move(node)),
      config_monitor(limits),
      endpoints_monitor(limits) {}

void ContactExchange::SetStores(
    std::shared_ptr<config::IConfigStore> config,
    std::shared_ptr<membership::IMembership> membership) {
  this->config = std::move(config);
  this->membership = std::move(membership);
}

std::optional<kernel::Millis> ContactExchange::ConfigAge(
    kernel::TimePoint now) {
  return this->config_monitor.Age(now);
}

std::optional<kernel::Millis> ContactExchange::EndpointsAge(
    kernel::TimePoint now) {
  return this->endpoints_monitor.Age(now);
}

void ContactExchange::OnLinkUp(const link::LinkPtr& link,
                               kernel::TimePoint /*now*/) {
  if (link->peer().role != peers::kGatewayRole) return;
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->gateways[link->id()] = link->peer().node;
}

void ContactExchange::OnLinkDown(const link::LinkPtr& link,
                                 kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->gateways.erase(link->id());
}

void ContactExchange::OnMessage(const link::LinkPtr& /*link*/,
                                link::Message message, kernel::TimePoint now) {
  const auto* heartbeat = std::get_if<link::Heartbeat>(&message);
  if (heartbeat == nullptr) return;
  // A response that a peer had is of use here only once its changes have
  // arrived.
  const auto adopted = this->config->Current();
  const bool has_config =
      adopted && !config::Replaces(config::VersionOf(*heartbeat),
                                   config::VersionOf(*adopted));
  if (has_config && heartbeat->config_contact_ms > 0)
    this->config_monitor.OnPeerResponse(
        kernel::Millis(heartbeat->config_contact_ms), now);
  const auto list = this->membership->Current();
  const bool has_list = list && list->version >= heartbeat->list_version;
  if (has_list && heartbeat->list_contact_ms > 0)
    this->endpoints_monitor.OnPeerResponse(
        kernel::Millis(heartbeat->list_contact_ms), now);
}

std::size_t ContactExchange::Rank(const std::string& prefix) {
  const std::uint64_t own_weight = kernel::RendezvousWeight(prefix, this->node);
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::set<std::string> before;
  for (const auto& [id, gateway] : this->gateways) {
    if (kernel::RendezvousWeight(prefix, gateway) > own_weight)
      before.insert(gateway);
  }
  return before.size();
}

}  // namespace banyanlane::catalog
