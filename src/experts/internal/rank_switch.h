#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "experts/map_switch_messages.h"

namespace banyanlane::experts {

/// One rank's part in switching maps: it never begins a step with a map that
/// another rank of its group could replace in that step.
///
/// A group can't step without all of its ranks, so asking all of them costs no
/// availability. A rank that reaches the step of an armed switch without its
/// outcome asks the others: one that holds the commit settles it; once all have
/// answered without a commit none will ever take it, and the switch is aborted.
class RankSwitch {
 public:
  RankSwitch(std::size_t rank, std::size_t ranks, std::uint64_t map)
      : rank(rank), ranks(ranks), active_map(map) {}

  /// Returns the map for `step`, which begins now, or nothing while its switch
  /// is unsettled.
  std::optional<std::uint64_t> BeginStep(std::uint64_t step);

  OutgoingSwitchMessages On(const ArmSwitch& arm);
  OutgoingSwitchMessages On(const CommitSwitch& commit);
  OutgoingSwitchMessages On(const AbortSwitch& abort);
  OutgoingSwitchMessages On(const QuerySwitch& query, std::size_t from);
  OutgoingSwitchMessages On(const QueryReply& reply, std::size_t from);
  OutgoingSwitchMessages On(const SettleSwitch& settle);

  /// Asks the other ranks, if this one waits at a step. To be repeated while it
  /// waits.
  OutgoingSwitchMessages QueryOthers();

  bool IsWaiting() const { return this->waiting; }
  std::uint64_t ActiveMap() const { return this->active_map; }
  std::uint64_t HighestFencingToken() const {
    return this->highest_fencing_token;
  }
  const std::optional<MapSwitch>& Pending() const { return this->pending; }
  bool IsVetoed() const { return this->decision == Decision::kVetoed; }
  bool IsCommitted() const { return this->decision == Decision::kCommitted; }

  /// Returns all of its state as text, for exploring it.
  std::string Fingerprint() const;

 private:
  /// What this rank has promised about its pending switch.
  enum class Decision {
    kArmed,      ///< Takes a commit from the coordinator.
    kVetoed,     ///< Takes the outcome only from a rank that has asked all.
    kCommitted,  ///< Uses the map from its step on.
  };

  bool IsPending(std::uint64_t fencing_token) const;
  OutgoingSwitchMessages SendToOthers(const SwitchMessage& message) const;
  void ClearPending();

  std::size_t rank;
  std::size_t ranks;
  std::uint64_t active_map;
  std::uint64_t last_step = 0;  ///< Last step begun.
  std::uint64_t highest_fencing_token = 0;
  std::optional<MapSwitch> last_committed;
  std::optional<MapSwitch> pending;
  Decision decision = Decision::kArmed;
  bool waiting = false;
  std::set<std::size_t>
      ranks_without_commit;  ///< Ranks that answered the query so.
};

}  // namespace banyanlane::experts
