#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/time.h"
#include "link/messages.h"
#include "peers/i_peers.h"

namespace banyanlane::peers {

/// Limits on how long the states of peers are used.
struct PeerLimits {
  /// A peer without an update for longer than this is not live. The value is
  /// five times the period of a gateway's regular updates.
  kernel::Millis live_timeout{2'500};
  /// Time for which a reported slowdown is used.
  kernel::Millis slowdown_lifetime{20'000};
  /// Time after which a slowdown that has not changed is forwarded again, so
  /// that processes without a link to its rank agent go on using it.
  kernel::Millis slowdown_refresh{7'000};
  /// Time after which a gateway without updates is removed.
  kernel::Millis gateway_retention{30'000};
  /// Time after which a rank agent without updates is removed. Other rank
  /// agents receive its updates only when its state changes significantly, and
  /// one that becomes the leader much later must still find all others.
  kernel::Millis rank_retention{3'600'000};
  /// Maximum number of links that one process opens.
  std::size_t max_links = 96;
};

/// State of this process and last known states of all other gateways and rank
/// agents. Does no I/O; not thread-safe.
class PeerTable {
 public:
  /// @param self first state of this process.
  PeerTable(link::PeerState self, const PeerLimits& limits);

  /// Returns the role of this process.
  const std::string& role() const { return this->self.role; }

  /// Replaces the state of this process.
  /// @return the state update to send.
  const link::PeerState& Publish(const LocalState& state);

  /// Processes a state update of another process.
  /// @param is_direct whether the update came from that process itself.
  /// @return whether the update must be forwarded: the process was unknown, its
  /// incarnation, its ready or leaving flag or its rounded slowdown changed, or
  /// a slowdown is to be refreshed.
  bool Merge(const link::PeerState& state, bool is_direct,
             kernel::TimePoint now);

  /// Removes the peers that sent no update within their retention time.
  void Expire(kernel::TimePoint now);

  /// Returns the gateways with an update within the live timeout.
  std::vector<Peer> LiveGateways(kernel::TimePoint now) const;

  /// Returns the peers of `role` that have not expired.
  std::vector<Peer> PeersOfRole(const std::string& role) const;

  /// Returns all known states; that of this process comes first.
  std::vector<link::PeerState> AllStates() const;

  /// Returns the addresses to open links to: `seeds`, `extra_addresses` and
  /// gateways. A rank agent opens links to a few gateways. Of two gateways that
  /// know each other, the one with the lower link address opens the link.
  std::vector<std::string> LinkTargets(
      const std::vector<std::string>& seeds,
      const std::vector<std::string>& extra_addresses) const;

  /// Returns the slowdown that the engine's rank agent reported recently, or 1
  /// if there is no recent report or the engine is at most slightly slower than
  /// normal.
  double SlowdownOf(const std::string& engine_address) const;

  /// Returns the number of requests that live peers have at `endpoint`.
  std::int64_t InFlightFromPeers(const std::string& endpoint) const;

 private:
  struct KnownPeer {
    link::PeerState state;
    kernel::TimePoint received_at;
    kernel::TimePoint forwarded_at;
  };

  static Peer ToPeer(const link::PeerState& state);
  bool IsLive(const KnownPeer& known, kernel::TimePoint now) const;
  std::vector<std::string> ChooseGateways() const;
  void UpdateLoadsAndSlowdowns(kernel::TimePoint now);

  link::PeerState self;
  PeerLimits limits;
  std::map<std::string, KnownPeer> peers;  ///< Last known states by node.
  /// Number of requests of live peers, by endpoint.
  std::unordered_map<std::string, std::int64_t> in_flight;
  /// Recent slowdowns that are not normal, by engine address.
  std::unordered_map<std::string, double> slowdowns;
};

}  // namespace banyanlane::peers
