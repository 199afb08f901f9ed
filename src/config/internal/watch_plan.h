#pragma once

#include <string>

#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::config {

/// How an entry reads the platform.
struct WatchPlan {
  /// Whether the entry always has a read open that waits for a change.
  bool watches = false;
  /// Time between two reads of an entry that does not watch.
  kernel::Millis pause{0};
};

/// Returns the plan of entry `node`. A few entries of each failure domain
/// watch. The others receive changes from their peers, and read rarely enough
/// that the total rate of reads does not grow with the number of entries.
/// An entry also watches if it is not in the list or has no list.
/// @param list Instance list; null if none has been received.
WatchPlan PlanWatch(const membership::InstanceListPtr& list,
                    const std::string& node);

}  // namespace banyanlane::config
