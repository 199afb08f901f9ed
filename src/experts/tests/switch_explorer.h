#pragma once

#include <cstdint>
#include <string>

namespace banyanlane::experts {

/// Size of the group that is explored, and faults that can happen. Pauses of a
/// process need no number, since they are among the explored interleavings.
struct ExploreScope {
  std::size_t ranks = 3;
  std::size_t coordinators = 1;
  int losses = 0;   ///< Number of messages that can be lost.
  int crashes = 0;  ///< Number of coordinators that can crash.
};

struct ExploreResult {
  std::string violation;   ///< First violation, or "".
  std::size_t states = 0;  ///< Number of different states visited.
  int switched = 0;        ///< Number of final states with a new map.
  int kept = 0;            ///< Number of final states with the old map.
};

/// Visits every state that a group can reach during the switches of the
/// coordinators. Checks that all ranks use the same map in a step, and that
/// every rank can finish all steps.
ExploreResult ExploreSwitch(const ExploreScope& scope);

}  // namespace banyanlane::experts
