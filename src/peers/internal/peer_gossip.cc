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

void PeerGossip::Publish(LocalState state, kernel::TimePoint now) {
  link::PeerStates statement;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->table.Expire(now);
    statement.states.push_back(this->table.Publish(state));
  }
  this->SendToAll(statement, nullptr);
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
  this->SendToAll(news, link);
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
  std::vector<std::string> wanted;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    wanted = this->table.Targets(this->seeds);
    if (wanted == this->targets) return;
    this->targets = wanted;
  }
  this->hub->SetTargets(wanted);
}

std::vector<link::LinkPtr> PeerGossip::Links() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<link::LinkPtr> all;
  for (const auto& entry : this->links) all.push_back(entry.second);
  return all;
}

void PeerGossip::SendToAll(const link::PeerStates& states,
                           const link::LinkPtr& except) {
  for (const link::LinkPtr& link : this->Links()) {
    if (link != except) link->Send(states);
  }
}

}  // namespace banyanlane::peers
