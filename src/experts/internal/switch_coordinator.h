#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "experts/map_switch_messages.h"

namespace banyanlane::experts {

/// Leads one switch of maps. Any process may be it, and several at once do no
/// harm: the ranks decide by fence, and only what all of them armed is
/// committed.
class SwitchCoordinator {
 public:
  SwitchCoordinator(std::size_t ranks, const MapSwitch& proposal)
      : ranks(ranks), proposal(proposal) {}

  enum class State { kArming, kCommitted, kAborted };

  /// Asks all ranks to arm.
  OutgoingSwitchMessages Start() const;
  OutgoingSwitchMessages On(const ArmReply& reply, std::size_t from);
  /// Gives up, unless it has committed.
  OutgoingSwitchMessages OnTimeout();

  State Outcome() const { return this->state; }
  /// Returns a fence above all that ranks told of. @param coordinator makes it
  /// unlike others'.
  std::uint64_t NextFencingToken(std::uint64_t coordinator) const;

  std::string Fingerprint() const;

 private:
  OutgoingSwitchMessages SendToAll(const SwitchMessage& message) const;
  OutgoingSwitchMessages Abort();

  std::size_t ranks;
  MapSwitch proposal;
  State state = State::kArming;
  std::set<std::size_t> armed_ranks;
  std::uint64_t highest_fencing_token = 0;
};

}  // namespace banyanlane::experts
