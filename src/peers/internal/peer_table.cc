#include "peers/internal/peer_table.h"

#include <algorithm>

#include "kernel/hash.h"
#include "kernel/text.h"

namespace banyanlane::peers {
namespace {

/// Number of known gateways that a rank agent links to besides the seed
/// addresses, since the processes at the seed addresses may be down. The chosen
/// gateways can be seeds themselves.
constexpr std::size_t kGatewaysPerRank = 2;

/// Slowdowns are rounded to multiples of this when a state update is compared
/// with the previous one. An update without any other significant change is
/// forwarded only if the rounded slowdown differs.
constexpr std::uint64_t kSlowdownRoundingPercent = 50;
constexpr double kNormalSlowdownPercent = 100;
/// A slowdown of at most this is treated as normal. The value is a ratio, where
/// 1 is normal, not a percentage.
constexpr double kMaxNormalSlowdown = 1.2;

/// Returns the slowdown as a number of multiples of kSlowdownRoundingPercent,
/// rounded to the nearest.
std::uint64_t RoundedSlowdown(std::uint64_t slowdown_percent) {
  return (slowdown_percent + kSlowdownRoundingPercent / 2) /
         kSlowdownRoundingPercent;
}

/// Returns whether `later` differs from `earlier` in the incarnation, the ready
/// or leaving flag, or the rounded slowdown.
bool IsSignificantChange(const link::PeerState& earlier,
                         const link::PeerState& later) {
  return earlier.incarnation != later.incarnation ||
         earlier.ready != later.ready || earlier.leaving != later.leaving ||
         RoundedSlowdown(earlier.engine_slowdown_percent) !=
             RoundedSlowdown(later.engine_slowdown_percent);
}

}  // namespace

PeerTable::PeerTable(link::PeerState self, const PeerLimits& limits)
    : self(std::move(self)), limits(limits) {}

const link::PeerState& PeerTable::Publish(const LocalState& state) {
  ++this->self.sequence;
  this->self.ready = state.ready;
  this->self.leaving = state.leaving;
  this->self.engine_address = state.engine_address;
  this->self.engine_slowdown_percent = static_cast<std::uint64_t>(
      state.engine_slowdown * kNormalSlowdownPercent);
  this->self.in_flight.clear();
  for (const auto& [endpoint, count] : state.in_flight) {
    if (count > 0)
      this->self.in_flight.push_back(endpoint + "=" + std::to_string(count));
  }
  return this->self;
}

bool PeerTable::Merge(const link::PeerState& state, bool is_direct,
                      kernel::TimePoint now) {
  if (state.node.empty() || state.node == this->self.node) return false;
  const auto found = this->peers.find(state.node);
  if (found == this->peers.end()) {
    this->peers[state.node] = KnownPeer{state, now, now};
    this->UpdateLoadsAndSlowdowns(now);
    return true;
  }
  KnownPeer& known = found->second;
  const bool is_same_incarnation = known.state.incarnation == state.incarnation;
  if (is_same_incarnation && state.sequence <= known.state.sequence)
    return false;
  // Other peers may still forward updates of an earlier incarnation. While the
  // known incarnation is live, only an update from the process itself can
  // replace it.
  if (!is_same_incarnation && !is_direct && this->IsLive(known, now))
    return false;
  const bool is_refresh_due =
      static_cast<double>(state.engine_slowdown_percent) >
          kMaxNormalSlowdown * kNormalSlowdownPercent &&
      now - known.forwarded_at >= this->limits.slowdown_refresh;
  const bool must_forward =
      is_refresh_due || IsSignificantChange(known.state, state);
  known = KnownPeer{state, now, must_forward ? now : known.forwarded_at};
  this->UpdateLoadsAndSlowdowns(now);
  return must_forward;
}

void PeerTable::Expire(kernel::TimePoint now) {
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const auto retention = it->second.state.role == kGatewayRole
                               ? this->limits.gateway_retention
                               : this->limits.rank_retention;
    const bool expired = now - it->second.received_at > retention;
    it = expired ? this->peers.erase(it) : std::next(it);
  }
  this->UpdateLoadsAndSlowdowns(now);
}

bool PeerTable::IsLive(const KnownPeer& known, kernel::TimePoint now) const {
  return now - known.received_at <= this->limits.live_timeout;
}

std::vector<Peer> PeerTable::LiveGateways(kernel::TimePoint now) const {
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

std::vector<Peer> PeerTable::PeersOfRole(const std::string& role) const {
  std::vector<Peer> found;
  for (const auto& [node, known] : this->peers) {
    if (known.state.role == role) found.push_back(ToPeer(known.state));
  }
  return found;
}

std::vector<link::PeerState> PeerTable::AllStates() const {
  std::vector<link::PeerState> all = {this->self};
  for (const auto& entry : this->peers) all.push_back(entry.second.state);
  return all;
}

std::vector<std::string> PeerTable::LinkTargets(
    const std::vector<std::string>& seeds,
    const std::vector<std::string>& extra_addresses) const {
  std::vector<std::string> targets;
  const auto add = [this, &targets](const std::string& address) {
    const bool is_listed =
        std::find(targets.begin(), targets.end(), address) != targets.end();
    if (!is_listed && address != this->self.link_address && !address.empty() &&
        targets.size() < this->limits.max_links) {
      targets.push_back(address);
    }
  };
  for (const std::string& seed : seeds) add(seed);
  for (const std::string& address : extra_addresses) add(address);
  if (this->self.role != kGatewayRole) {
    for (const std::string& address : this->ChooseGateways()) add(address);
    return targets;
  }
  // Of two gateways that know each other, the one with the lower link address
  // opens the link.
  for (const auto& entry : this->peers) {
    const link::PeerState& state = entry.second.state;
    const bool opens_link = state.role == kGatewayRole &&
                            state.link_address > this->self.link_address;
    if (opens_link) add(state.link_address);
  }
  return targets;
}

std::vector<std::string> PeerTable::ChooseGateways() const {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  for (const auto& [node, known] : this->peers) {
    if (known.state.role != kGatewayRole || known.state.leaving) continue;
    weighted.emplace_back(kernel::RendezvousWeight(this->self.node, node),
                          known.state.link_address);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> chosen;
  for (const auto& entry : weighted) {
    if (chosen.size() < kGatewaysPerRank) chosen.push_back(entry.second);
  }
  return chosen;
}

void PeerTable::UpdateLoadsAndSlowdowns(kernel::TimePoint now) {
  this->in_flight.clear();
  this->slowdowns.clear();
  for (const auto& entry : this->peers) {
    const double slowdown =
        static_cast<double>(entry.second.state.engine_slowdown_percent) /
        kNormalSlowdownPercent;
    const bool is_recent =
        now - entry.second.received_at <= this->limits.slowdown_lifetime;
    if (is_recent && slowdown > kMaxNormalSlowdown)
      this->slowdowns[entry.second.state.engine_address] = slowdown;
    if (!this->IsLive(entry.second, now)) continue;
    for (const std::string& id_and_count : entry.second.state.in_flight) {
      const std::size_t equals = id_and_count.rfind('=');
      if (equals == std::string::npos) continue;
      const auto number =
          kernel::ParseNumber<std::int64_t>(id_and_count.substr(equals + 1));
      if (number) this->in_flight[id_and_count.substr(0, equals)] += *number;
    }
  }
}

double PeerTable::SlowdownOf(const std::string& engine_address) const {
  const auto found = this->slowdowns.find(engine_address);
  return found == this->slowdowns.end() ? 1 : found->second;
}

std::int64_t PeerTable::InFlightFromPeers(const std::string& endpoint) const {
  const auto found = this->in_flight.find(endpoint);
  return found == this->in_flight.end() ? 0 : found->second;
}

}  // namespace banyanlane::peers
