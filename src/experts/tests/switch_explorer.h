#pragma once

#include <cstdint>
#include <string>

namespace banyanlane::experts {

/// How large a group is explored, and what may go wrong. Pauses need no number:
/// a process that is not scheduled for a while is one of the interleavings.
struct ExploreScope {
  std::size_t ranks = 3;
  std::size_t coordinators = 1;
  int losses = 0;   ///< Messages lost.
  int crashes = 0;  ///< Coordinators that end for good.
};

struct ExploreResult {
  std::string violation;  ///< First broken promise, or "".
  std::size_t states = 0;
  int switched = 0;  ///< Final states in which the new map is used.
  int kept = 0;      ///< Final states in which the old one stayed.
};

/// Visits every state that a group can reach while one switch, or two at once,
/// goes on: within a step all ranks must use one map, and every rank must get
/// through all steps in the end.
ExploreResult ExploreSwitch(const ExploreScope& scope);

}  // namespace banyanlane::experts
