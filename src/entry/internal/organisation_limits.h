#pragma once

#include <cstdint>
#include <string>

#include "config/profile.h"
#include "kernel/sharded_map.h"

namespace banyanlane::entry {

/// Limits the concurrent requests of one organisation under one profile at this
/// entry.
class OrganisationLimits {
 public:
  /// Counts a request if the organisation is below this entry's share of the
  /// profile's limit.
  /// @param entry_count Number of entries among which the limit is divided.
  /// @return Whether the request was counted.
  bool Acquire(const config::Profile& profile, const std::string& organisation,
               std::int64_t entry_count);

  /// Removes a request that Acquire has counted.
  void Release(const config::Profile& profile, const std::string& organisation);

 private:
  kernel::ShardedMap<std::string, std::int64_t> in_flight;
};

}  // namespace banyanlane::entry
