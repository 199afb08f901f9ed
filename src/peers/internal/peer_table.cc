#include "peers/internal/peer_table.h"

#include <algorithm>

#include "kernel/hash.h"
#include "kernel/text.h"

namespace banyanlane::peers {
namespace {

/// Gateways that a rank agent links to besides the seeds, which may be down.
constexpr std::size_t kGatewaysPerRank = 2;

/// Paces are told to all when they cross one of these, in hundredths.
constexpr std::uint64_t kPaceStep = 50;
constexpr double kHundred = 100;
/// Paces below this are usual.
constexpr double kUsualPace = 1.2;

std::uint64_t PaceStep(std::uint64_t pace) {
  return (pace + kPaceStep / 2) / kPaceStep;
}

/// Whether `later` differs from `earlier` in more than its sequence and counts.
bool SaysMore(const link::PeerState& earlier, const link::PeerState& later) {
  return earlier.incarnation != later.incarnation ||
         earlier.ready != later.ready || earlier.leaving != later.leaving ||
         PaceStep(earlier.engine_pace) != PaceStep(later.engine_pace);
}

}  // namespace

PeerTable::PeerTable(link::PeerState self, const PeerLimits& limits)
    : self(std::move(self)), limits(limits) {}

const link::PeerState& PeerTable::Publish(const LocalState& state) {
  ++this->self.sequence;
  this->self.ready = state.ready;
  this->self.leaving = state.leaving;
  this->self.engine_address = state.engine_address;
  this->self.engine_pace =
      static_cast<std::uint64_t>(state.engine_pace * kHundred);
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
    this->Summarize(now);
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
  this->Summarize(now);
  return says_more;
}

void PeerTable::Expire(kernel::TimePoint now) {
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const auto memory = it->second.state.role == kGatewayRole
                            ? this->limits.gateway_memory
                            : this->limits.rank_memory;
    const bool expired = now - it->second.heard_at > memory;
    it = expired ? this->peers.erase(it) : std::next(it);
  }
  this->Summarize(now);
}

bool PeerTable::IsLive(const Known& known, kernel::TimePoint now) const {
  return now - known.heard_at <= this->limits.silence;
}

std::vector<Peer> PeerTable::Live(kernel::TimePoint now) const {
  std::vector<Peer> live;
  for (const auto& [node, known] : this->peers) {
    if (known.state.role == kGatewayRole && this->IsLive(known, now))
      live.push_back(ToPeer(known.state));
  }
  return live;
}

Peer PeerTable::ToPeer(const link::PeerState& state) {
  return {state.role,           state.node,           state.link_address,
          state.caller_address, state.failure_domain, state.ready,
          state.leaving};
}

std::vector<Peer> PeerTable::OfRole(const std::string& role) const {
  std::vector<Peer> found;
  for (const auto& [node, known] : this->peers) {
    if (known.state.role == role) found.push_back(ToPeer(known.state));
  }
  return found;
}

std::vector<link::PeerState> PeerTable::All() const {
  std::vector<link::PeerState> all = {this->self};
  for (const auto& entry : this->peers) all.push_back(entry.second.state);
  return all;
}

std::vector<std::string> PeerTable::Targets(
    const std::vector<std::string>& seeds,
    const std::vector<std::string>& wanted) const {
  std::vector<std::string> targets;
  const auto add = [this, &targets](const std::string& address) {
    const bool known =
        std::find(targets.begin(), targets.end(), address) != targets.end();
    if (!known && address != this->self.link_address && !address.empty() &&
        targets.size() < this->limits.links) {
      targets.push_back(address);
    }
  };
  for (const std::string& seed : seeds) add(seed);
  for (const std::string& address : wanted) add(address);
  if (this->self.role != kGatewayRole) {
    for (const std::string& address : this->ChosenGateways()) add(address);
    return targets;
  }
  for (const auto& entry : this->peers) {
    const link::PeerState& state = entry.second.state;
    const bool dials = state.role == kGatewayRole &&
                       state.link_address > this->self.link_address;
    if (dials) add(state.link_address);
  }
  return targets;
}

std::vector<std::string> PeerTable::ChosenGateways() const {
  std::vector<std::pair<std::uint64_t, std::string>> weighed;
  for (const auto& [node, known] : this->peers) {
    if (known.state.role != kGatewayRole || known.state.leaving) continue;
    weighed.emplace_back(kernel::RendezvousWeight(this->self.node, node),
                         known.state.link_address);
  }
  std::sort(weighed.rbegin(), weighed.rend());
  std::vector<std::string> chosen;
  for (const auto& entry : weighed) {
    if (chosen.size() < kGatewaysPerRank) chosen.push_back(entry.second);
  }
  return chosen;
}

void PeerTable::Summarize(kernel::TimePoint now) {
  this->in_flight.clear();
  this->paces.clear();
  for (const auto& entry : this->peers) {
    const double pace =
        static_cast<double>(entry.second.state.engine_pace) / kHundred;
    const bool recent = now - entry.second.heard_at <= this->limits.pace_memory;
    if (recent && pace > kUsualPace)
      this->paces[entry.second.state.engine_address] = pace;
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

double PeerTable::PaceOf(const std::string& engine_address) const {
  const auto found = this->paces.find(engine_address);
  return found == this->paces.end() ? 1 : found->second;
}

std::int64_t PeerTable::InFlightElsewhere(const std::string& endpoint) const {
  const auto found = this->in_flight.find(endpoint);
  return found == this->in_flight.end() ? 0 : found->second;
}

}  // namespace banyanlane::peers
