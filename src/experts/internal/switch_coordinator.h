#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "experts/map_switch_messages.h"

namespace banyanlane::experts {

/// Coordinates one map switch in the commit protocol of RankSwitch. Any process
/// can be the coordinator. Several at a time do no harm, since ranks accept
/// proposals by fencing token, and only a switch that all ranks have armed is
/// committed. The rank role uses GroupLeader instead.
class SwitchCoordinator {
 public:
  SwitchCoordinator(std::size_t ranks, const MapSwitch& proposal)
      : ranks(ranks), proposal(proposal) {}

  enum class State { kArming, kCommitted, kAborted };

  /// Returns the requests to arm, one for each rank.
  OutgoingSwitchMessages Start() const;
  /// Processes a reply and returns the messages to send.
  /// @param from rank that sent the reply.
  OutgoingSwitchMessages On(const ArmReply& reply, std::size_t from);
  /// Aborts the switch unless it has been committed.
  OutgoingSwitchMessages OnTimeout();

  State Outcome() const { return this->state; }
  /// Returns a fencing token above that of this switch and all that ranks have
  /// reported.
  /// @param coordinator number of this coordinator, which makes the token
  /// unique.
  std::uint64_t NextFencingToken(std::uint64_t coordinator) const;

  /// Returns the complete state as text, to recognise equal states in tests.
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
