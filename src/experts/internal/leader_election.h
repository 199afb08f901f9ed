#pragma once

#include <cstdint>

#include "kernel/time.h"

namespace banyanlane::experts {

/// Decides whether the agent of a rank leads its group. Does no I/O; not
/// thread-safe.
///
/// The lowest rank whose agent sends statuses leads. Two leaders at a time do
/// no harm, since each rank follows only one.
class LeaderElection {
 public:
  /// @param now time from which statuses of lower ranks can arrive.
  explicit LeaderElection(kernel::TimePoint now) : lower_rank_seen_at(now) {}

  void OnLowerRankStatus(kernel::TimePoint now) {
    this->lower_rank_seen_at = now;
  }

  /// Returns whether the agent of `rank` leads.
  /// @param is_changing whether it is switching the group's map; a leader stays
  /// the leader meanwhile, since nobody else could finish the switch before its
  /// lease expires.
  bool Decide(std::uint64_t rank, bool is_changing, kernel::TimePoint now);

 private:
  kernel::TimePoint lower_rank_seen_at;
  bool is_leader = false;
};

}  // namespace banyanlane::experts
