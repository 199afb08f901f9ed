#include "peers/internal/peer_gossip.h"

namespace banyanlane::peers {

PeerGossip::PeerGossip(PeerTable table, std::vector<std::string> seeds,
                       std::shared_ptr<link::ILinkHub> hub)
    : table(std::move(table)), seeds(std::move(seeds)), hub(std::move(hub)) {}

std::vector<Peer> PeerGossip::LiveGateways(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.LiveGateways(now);
}

std::int64_t PeerGossip::InFlightFromPeers(const std::string& endpoint) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.InFlightFromPeers(endpoint);
}

double PeerGossip::SlowdownOf(const std::string& engine_address) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.SlowdownOf(engine_address);
}

void PeerGossip::Publish(LocalState state, kernel::TimePoint now) {
  link::PeerStates update;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->table.Expire(now);
    update.states.push_back(this->table.Publish(state));
  }
  // Regular updates, which mostly show that this process is live, go only to
  // gateways.
  for (const link::LinkPtr& link : this->Links()) {
    if (link->peer().role == kGatewayRole) link->Send(update);
  }
}

std::vector<Peer> PeerGossip::PeersOfRole(const std::string& role) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.PeersOfRole(role);
}

void PeerGossip::SetExtraLinks(std::vector<std::string> addresses) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->extra_addresses = std::move(addresses);
  }
  this->UpdateLinkTargets();
}

void PeerGossip::OnLinkUp(const link::LinkPtr& link,
                          kernel::TimePoint /*now*/) {
  link::PeerStates all;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links[link->id()] = link;
    all.states = this->table.AllStates();
  }
  // The state of this process comes first.
  if (!this->CarriesOtherStates(link)) all.states.resize(1);
  link->Send(all);
}

void PeerGossip::OnMessage(const link::LinkPtr& link, link::Message message,
                           kernel::TimePoint now) {
  auto* received = std::get_if<link::PeerStates>(&message);
  if (received == nullptr) return;
  link::PeerStates changed;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (link::PeerState& state : received->states) {
      const bool is_direct = state.node == link->peer().node;
      if (this->table.Merge(state, is_direct, now))
        changed.states.push_back(std::move(state));
    }
  }
  if (changed.states.empty()) return;
  this->ForwardStates(changed, link);
  this->UpdateLinkTargets();
}

void PeerGossip::OnLinkDown(const link::LinkPtr& link,
                            kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->links.erase(link->id());
}

void PeerGossip::SetSeeds(std::vector<std::string> seeds) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->seeds = std::move(seeds);
  }
  this->UpdateLinkTargets();
}

void PeerGossip::UpdateLinkTargets() {
  std::vector<std::string> addresses;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    addresses = this->table.LinkTargets(this->seeds, this->extra_addresses);
    if (addresses == this->targets) return;
    this->targets = addresses;
  }
  this->hub->SetTargets(addresses);
}

std::vector<link::LinkPtr> PeerGossip::Links() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<link::LinkPtr> all;
  for (const auto& entry : this->links) all.push_back(entry.second);
  return all;
}

bool PeerGossip::CarriesOtherStates(const link::LinkPtr& link) const {
  return this->table.role() != kRankRole || link->peer().role != kRankRole;
}

void PeerGossip::ForwardStates(const link::PeerStates& states,
                               const link::LinkPtr& except) {
  for (const link::LinkPtr& link : this->Links()) {
    if (link != except && this->CarriesOtherStates(link)) link->Send(states);
  }
}

}  // namespace banyanlane::peers
