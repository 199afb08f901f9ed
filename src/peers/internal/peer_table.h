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
  kernel::Millis silence{2'500};
  /// What a rank agent tells of its engine's pace holds for this long.
  kernel::Millis pace_memory{20'000};
  /// A gateway that is not live is forgotten after this.
  kernel::Millis gateway_memory{30'000};
  /// Rank agents are heard of only when something changes, and must be found by
  /// one that comes to lead long after.
  kernel::Millis rank_memory{3'600'000};
  /// Most links that a process keeps.
  std::size_t links = 96;
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
  bool Merge(const link::PeerState& state, bool direct, kernel::TimePoint now);

  /// Drops the peers that have been silent for long.
  void Expire(kernel::TimePoint now);

  /// Returns the gateways heard of within the silence bound.
  std::vector<Peer> Live(kernel::TimePoint now) const;

  /// Returns the peers of `role` that are not forgotten.
  std::vector<Peer> OfRole(const std::string& role) const;

  /// Returns all statements known, this gateway's first.
  std::vector<link::PeerState> All() const;

  /// Returns the addresses to keep links to: `seeds`, and of each known pair
  /// of gateways one side dials.
  /// @param wanted linked to besides.
  std::vector<std::string> Targets(
      const std::vector<std::string>& seeds,
      const std::vector<std::string>& wanted) const;

  /// Returns what a live rank agent tells of its engine's pace, or 1.
  double PaceOf(const std::string& engine_address) const;

  /// Returns the requests that live peers have at `endpoint`.
  std::int64_t InFlightElsewhere(const std::string& endpoint) const;

 private:
  struct Known {
    link::PeerState state;
    kernel::TimePoint heard_at;
  };

  static Peer ToPeer(const link::PeerState& state);
  bool IsLive(const Known& known, kernel::TimePoint now) const;
  std::vector<std::string> ChosenGateways() const;
  void Summarize(kernel::TimePoint now);

  link::PeerState self;
  PeerLimits limits;
  std::map<std::string, Known> peers;  ///< By node.
  std::unordered_map<std::string, std::int64_t> in_flight;
  std::unordered_map<std::string, double> paces;  ///< Where not usual.
};

}  // namespace banyanlane::peers
