#pragma once

#include <cstdint>

#include "kernel/time.h"

namespace banyanlane::experts {

/// Decides whether the agent of a rank leads its group. I/O-free; not
/// thread-safe.
///
/// The lowest rank whose agent speaks leads. Two leads at a time do no harm,
/// since ranks obey one only.
class LeaderElection {
 public:
  /// @param now from when on lower ranks can be heard.
  explicit LeaderElection(kernel::TimePoint now) : lower_rank_seen_at(now) {}

  void OnLowerRankStatus(kernel::TimePoint now) {
    this->lower_rank_seen_at = now;
  }

  /// Returns whether the agent of `rank` leads.
  /// @param is_changing it leads, and is changing the group's map: nobody else
  /// could finish that before its lease ends.
  bool Decide(std::uint64_t rank, bool is_changing, kernel::TimePoint now);

 private:
  kernel::TimePoint lower_rank_seen_at;
  bool is_leader = false;
};

}  // namespace banyanlane::experts
