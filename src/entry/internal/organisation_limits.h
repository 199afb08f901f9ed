#pragma once

#include <cstdint>
#include <string>

#include "config/profile.h"
#include "kernel/sharded_map.h"

namespace banyanlane::entry {

/// Bounds the requests that one organisation has in flight under one profile at
/// this entry.
class OrganisationLimits {
 public:
  /// Takes a place. @param sharing_entries entries that share the
  /// organisation's limit.
  /// @return false when the organisation has reached this entry's share.
  bool Acquire(const config::Profile& profile, const std::string& organisation,
               std::int64_t sharing_entries);

  /// Gives the place back.
  void Release(const config::Profile& profile, const std::string& organisation);

 private:
  kernel::ShardedMap<std::string, std::int64_t> in_flight;
};

}  // namespace banyanlane::entry
