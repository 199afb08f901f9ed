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

  /// Forgets the kinds that were not used since the last call.
  void Trim();

  std::size_t Size() { return this->balances.Size(); }

 private:
  /// A balance in hundredths of a retry.
  struct Balance {
    std::int64_t hundredths = 0;
    bool opened = false;
    bool used = false;  ///< Since the last Trim.
  };

  static void Open(Balance& balance);

  kernel::ShardedMap<std::string, Balance> balances;
};

}  // namespace banyanlane::entry
