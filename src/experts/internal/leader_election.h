#pragma once

#include <cstdint>

#include "kernel/time.h"

namespace banyanlane::experts {

/// Decides whether the agent of a rank leads its group. I/O-free; not
/// thread-safe.
///
/// The lowest rank whose agent speaks leads. Two leads at a time do no harm,
/// since ranks obey one only.
class LeadClaim {
 public:
  /// @param now from when on lower ranks can be heard.
  explicit LeadClaim(kernel::TimePoint now) : lower_heard_at(now) {}

  void OnLowerRank(kernel::TimePoint now) { this->lower_heard_at = now; }

  /// Returns whether the agent of `rank` leads.
  /// @param is_changing it leads, and is changing the group's map: nobody else
  /// could finish that before its lease ends.
  bool Decide(std::uint64_t rank, bool is_changing, kernel::TimePoint now);

 private:
  kernel::TimePoint lower_heard_at;
  bool leads = false;
};

}  // namespace banyanlane::experts
