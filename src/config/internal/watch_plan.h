#pragma once

#include <string>

#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::config {

/// How an entry reads the platform.
struct WatchPlan {
  bool watches = false;  ///< Keeps a waiting read open all the time.
  kernel::Millis pause{
      0};  ///< Between two reads, for an entry that does not watch.
};

/// Returns the plan of entry `node`. A few entries of each failure domain
/// watch; the others read so seldom that all of them together make the same
/// number of reads, however many they are, and learn of changes from their
/// peers.
/// @param list may be null: then the entry watches.
WatchPlan PlanWatch(const membership::InstanceListPtr& list,
                    const std::string& node);

}  // namespace banyanlane::config
