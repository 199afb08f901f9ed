#include "peers/internal/peer_table.h"

#include <algorithm>

#include "kernel/text.h"

namespace banyanlane::peers {
namespace {

/// Whether `later` differs from `earlier` in more than its sequence and counts.
bool SaysMore(const link::PeerState& earlier, const link::PeerState& later) {
  return earlier.incarnation != later.incarnation ||
         earlier.ready != later.ready || earlier.leaving != later.leaving;
}

}  // namespace

PeerTable::PeerTable(link::PeerState self, const PeerLimits& limits)
    : self(std::move(self)), limits(limits) {}

const link::PeerState& PeerTable::Publish(const LocalState& state) {
  ++this->self.sequence;
  this->self.ready = state.ready;
  this->self.leaving = state.leaving;
  this->self.in_flight.clear();
  for (const auto& [endpoint, count] : state.in_flight) {
    if (count > 0)
      this->self.in_flight.push_back(endpoint + "=" + std::to_string(count));
  }
  return this->self;
}

bool PeerTable::Merge(const link::PeerState& state, bool direct,
                      kernel::TimePoint now) {
  if (state.node.empty() || state.node == this->self.node) return false;
  const auto found = this->peers.find(state.node);
  if (found == this->peers.end()) {
    this->peers[state.node] = Known{state, now};
    this->SumInFlight(now);
    return true;
  }
  Known& known = found->second;
  const bool same_life = known.state.incarnation == state.incarnation;
  if (same_life && state.sequence <= known.state.sequence) return false;
  // Statements of an earlier life may still be passed on; while this life is
  // heard of, only the gateway itself can end it.
  if (!same_life && !direct && this->IsLive(known, now)) return false;
  const bool says_more = SaysMore(known.state, state);
  known = Known{state, now};
  this->SumInFlight(now);
  return says_more;
}

void PeerTable::Expire(kernel::TimePoint now) {
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const bool expired = now - it->second.heard_at > this->limits.memory;
    it = expired ? this->peers.erase(it) : std::next(it);
  }
  this->SumInFlight(now);
}

bool PeerTable::IsLive(const Known& known, kernel::TimePoint now) const {
  return now - known.heard_at <= this->limits.silence;
}

std::vector<Peer> PeerTable::Live(kernel::TimePoint now) const {
  std::vector<Peer> live;
  for (const auto& [node, known] : this->peers) {
    if (!this->IsLive(known, now)) continue;
    live.push_back({node, known.state.caller_address,
                    known.state.failure_domain, known.state.ready,
                    known.state.leaving});
  }
  return live;
}

std::vector<link::PeerState> PeerTable::All() const {
  std::vector<link::PeerState> all = {this->self};
  for (const auto& entry : this->peers) all.push_back(entry.second.state);
  return all;
}

std::vector<std::string> PeerTable::Targets(
    const std::vector<std::string>& seeds) const {
  std::vector<std::string> targets;
  const auto add = [this, &targets](const std::string& address) {
    const bool known = std::find(targets.begin(), targets.end(), address) !=
                       targets.end();
    if (!known && address != this->self.link_address && !address.empty() &&
        targets.size() < this->limits.full_mesh) {
      targets.push_back(address);
    }
  };
  for (const std::string& seed : seeds) add(seed);
  for (const auto& entry : this->peers) {
    const std::string& address = entry.second.state.link_address;
    if (address > this->self.link_address) add(address);
  }
  return targets;
}

void PeerTable::SumInFlight(kernel::TimePoint now) {
  this->in_flight.clear();
  for (const auto& entry : this->peers) {
    if (!this->IsLive(entry.second, now)) continue;
    for (const std::string& count : entry.second.state.in_flight) {
      const std::size_t equals = count.rfind('=');
      if (equals == std::string::npos) continue;
      const auto number =
          kernel::ParseNumber<std::int64_t>(count.substr(equals + 1));
      if (number) this->in_flight[count.substr(0, equals)] += *number;
    }
  }
}

std::int64_t PeerTable::InFlightElsewhere(const std::string& endpoint) const {
  const auto found = this->in_flight.find(endpoint);
  return found == this->in_flight.end() ? 0 : found->second;
}

}  // namespace banyanlane::peers
