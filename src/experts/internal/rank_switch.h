#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "experts/map_switch_messages.h"

namespace banyanlane::experts {

/// State of one rank in the commit protocol for map switches. It ensures that
/// all ranks of a group begin a step with the same map.
///
/// A rank that reaches the step of an armed switch without knowing its outcome
/// queries the other ranks. A rank that has received the commit replies with
/// it. Once all ranks have replied without a commit, none of them will accept
/// one, and the switch is aborted. A group cannot run a step without all of its
/// ranks, so querying all of them does not reduce availability.
///
/// The rank role does not use this protocol; its switches are those of
/// GroupLeader and RankAgent.
class RankSwitch {
 public:
  /// @param rank this rank.
  /// @param ranks number of ranks in the group.
  /// @param map version of the map in use.
  RankSwitch(std::size_t rank, std::size_t ranks, std::uint64_t map)
      : rank(rank), ranks(ranks), active_map(map) {}

  /// Begins `step` and returns its map, or returns nothing while the outcome of
  /// a switch at this step is unknown.
  std::optional<std::uint64_t> BeginStep(std::uint64_t step);

  /// Each overload processes one received message and returns the messages to
  /// send.
  /// @param from rank that sent the message.
  OutgoingSwitchMessages On(const ArmSwitch& arm);
  OutgoingSwitchMessages On(const CommitSwitch& commit);
  OutgoingSwitchMessages On(const AbortSwitch& abort);
  OutgoingSwitchMessages On(const QuerySwitch& query, std::size_t from);
  OutgoingSwitchMessages On(const QueryReply& reply, std::size_t from);
  OutgoingSwitchMessages On(const SettleSwitch& settle);

  /// Returns queries to the other ranks if this rank waits at a step. From then
  /// on the rank accepts no commit from the coordinator. Must be repeated while
  /// the rank waits.
  OutgoingSwitchMessages QueryOthers();

  bool IsWaiting() const { return this->waiting; }
  std::uint64_t ActiveMap() const { return this->active_map; }
  std::uint64_t HighestFencingToken() const {
    return this->highest_fencing_token;
  }
  const std::optional<MapSwitch>& Pending() const { return this->pending; }
  bool IsVetoed() const { return this->decision == Decision::kVetoed; }
  bool IsCommitted() const { return this->decision == Decision::kCommitted; }

  /// Returns the complete state as text, to recognise equal states in tests.
  std::string Fingerprint() const;

 private:
  /// What this rank may still do with its pending switch.
  enum class Decision {
    kArmed,      ///< Accepts a commit from the coordinator.
    kVetoed,     ///< Accepts the outcome from other ranks only.
    kCommitted,  ///< Will use the map from its step on.
  };

  bool IsPending(std::uint64_t fencing_token) const;
  OutgoingSwitchMessages SendToOthers(const SwitchMessage& message) const;
  void ClearPending();

  std::size_t rank;
  std::size_t ranks;
  std::uint64_t active_map;
  std::uint64_t last_step = 0;  ///< Last step that has begun.
  std::uint64_t highest_fencing_token = 0;
  /// Last committed switch whose step this rank has begun.
  std::optional<MapSwitch> last_committed;
  std::optional<MapSwitch> pending;
  Decision decision = Decision::kArmed;
  bool waiting = false;
  /// Ranks that replied to the query without a commit.
  std::set<std::size_t> ranks_without_commit;
};

}  // namespace banyanlane::experts
