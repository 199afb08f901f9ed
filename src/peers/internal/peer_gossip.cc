#include "peers/internal/peer_gossip.h"

namespace banyanlane::peers {

PeerGossip::PeerGossip(PeerTable table, std::vector<std::string> seeds,
                       std::shared_ptr<link::ILinkHub> hub)
    : table(std::move(table)), seeds(std::move(seeds)), hub(std::move(hub)) {}

std::vector<Peer> PeerGossip::Live(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.Live(now);
}

std::int64_t PeerGossip::InFlightElsewhere(const std::string& endpoint) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.InFlightElsewhere(endpoint);
}

double PeerGossip::PaceOf(const std::string& engine_address) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.PaceOf(engine_address);
}

void PeerGossip::Publish(LocalState state, kernel::TimePoint now) {
  link::PeerStates statement;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->table.Expire(now);
    statement.states.push_back(this->table.Publish(state));
  }
  // What only shows that this process lives is for gateways alone.
  for (const link::LinkPtr& link : this->Links()) {
    if (link->peer().role == kGatewayRole) link->Send(statement);
  }
}

std::vector<Peer> PeerGossip::Known(const std::string& role) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.OfRole(role);
}

void PeerGossip::LinkTo(std::vector<std::string> addresses) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->wanted = std::move(addresses);
  }
  this->UpdateTargets();
}

void PeerGossip::OnLinkUp(const link::LinkPtr& link,
                          kernel::TimePoint /*now*/) {
  link::PeerStates all;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links[link->id()] = link;
    all.states = this->table.All();
  }
  link->Send(all);
}

void PeerGossip::OnMessage(const link::LinkPtr& link, link::Message message,
                           kernel::TimePoint now) {
  auto* received = std::get_if<link::PeerStates>(&message);
  if (received == nullptr) return;
  link::PeerStates news;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (link::PeerState& state : received->states) {
      const bool direct = state.node == link->peer().node;
      if (this->table.Merge(state, direct, now))
        news.states.push_back(std::move(state));
    }
  }
  if (news.states.empty()) return;
  this->SendNews(news, link);
  this->UpdateTargets();
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
  this->UpdateTargets();
}

void PeerGossip::UpdateTargets() {
  std::vector<std::string> addresses;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    addresses = this->table.Targets(this->seeds, this->wanted);
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

void PeerGossip::SendNews(const link::PeerStates& states,
                          const link::LinkPtr& except) {
  for (const link::LinkPtr& link : this->Links()) {
    if (link != except) link->Send(states);
  }
}

}  // namespace banyanlane::peers
