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

/// Bounds on what is believed of peers.
struct PeerLimits {
  /// A peer that has made no statement for this long is not live: five of its
  /// periods.
  kernel::Millis live_timeout{2'500};
  /// What a rank agent tells of its engine's pace holds for this long.
  kernel::Millis slowdown_lifetime{20'000};
  /// A gateway that is not live is forgotten after this.
  kernel::Millis gateway_retention{30'000};
  /// Rank agents are heard of only when something changes, and must be found by
  /// one that comes to lead long after.
  kernel::Millis rank_retention{3'600'000};
  /// Most links that a process keeps.
  std::size_t max_links = 96;
};

/// What is known of all gateways and rank agents. I/O-free; not thread-safe.
class PeerTable {
 public:
  /// @param self this gateway's first statement.
  PeerTable(link::PeerState self, const PeerLimits& limits);

  /// Replaces this gateway's statement. @return the statement to send.
  const link::PeerState& Publish(const LocalState& state);

  /// Takes a statement about another gateway.
  /// @param direct it came from that gateway itself.
  /// @return whether it says more than that its sender still lives.
  bool Merge(const link::PeerState& state, bool is_direct,
             kernel::TimePoint now);

  /// Drops the peers that have been silent for long.
  void Expire(kernel::TimePoint now);

  /// Returns the gateways heard of within the silence bound.
  std::vector<Peer> LiveGateways(kernel::TimePoint now) const;

  /// Returns the peers of `role` that are not forgotten.
  std::vector<Peer> PeersOfRole(const std::string& role) const;

  /// Returns all statements known, this gateway's first.
  std::vector<link::PeerState> AllStates() const;

  /// Returns the addresses to keep links to: `seeds`, and of each known pair
  /// of gateways one side dials.
  /// @param wanted linked to besides.
  std::vector<std::string> LinkTargets(
      const std::vector<std::string>& seeds,
      const std::vector<std::string>& extra_addresses) const;

  /// Returns what a live rank agent tells of its engine's pace, or 1.
  double SlowdownOf(const std::string& engine_address) const;

  /// Returns the requests that live peers have at `endpoint`.
  std::int64_t InFlightFromPeers(const std::string& endpoint) const;

 private:
  struct KnownPeer {
    link::PeerState state;
    kernel::TimePoint received_at;
  };

  static Peer ToPeer(const link::PeerState& state);
  bool IsLive(const KnownPeer& known, kernel::TimePoint now) const;
  std::vector<std::string> ChooseGateways() const;
  void UpdateTotals(kernel::TimePoint now);

  link::PeerState self;
  PeerLimits limits;
  std::map<std::string, KnownPeer> peers;  ///< By node.
  std::unordered_map<std::string, std::int64_t> in_flight;
  std::unordered_map<std::string, double> slowdowns;  ///< Where not usual.
};

}  // namespace banyanlane::peers
