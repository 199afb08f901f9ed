#pragma once

#include <string>

#include "config/profile.h"
#include "kernel/sharded_map.h"

namespace banyanlane::entry {

/// Allows retries as a share of first attempts, for each profile and
/// organisation.
class RetryBudget {
 public:
  /// Counts a first attempt.
  void OnFirstAttempt(const config::Profile& profile,
                      const std::string& organisation);

  /// Takes one retry out of the budget. @return whether there was one.
  bool TakeRetry(const config::Profile& profile,
                 const std::string& organisation);

 private:
  /// A balance in hundredths of a retry.
  struct Balance {
    std::int64_t hundredths = 0;
    bool opened = false;
  };

  static void Open(Balance& balance);

  kernel::ShardedMap<std::string, Balance> balances;
};

}  // namespace banyanlane::entry
