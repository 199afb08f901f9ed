#pragma once

#include <string>

#include "config/profile.h"
#include "kernel/sharded_map.h"

namespace banyanlane::entry {

/// Limits retries to a percentage of first attempts, separately for each pair
/// of profile and organisation.
class RetryBudget {
 public:
  /// Counts a first attempt, which adds `retry_budget_percent` hundredths of a
  /// retry to the balance.
  void OnFirstAttempt(const config::Profile& profile,
                      const std::string& organisation);

  /// Consumes one retry of the budget.
  /// @return Whether the budget allowed the retry.
  bool TakeRetry(const config::Profile& profile,
                 const std::string& organisation);

  /// Removes the balances that have not been used since the last call.
  void RemoveUnused();

  /// Returns the number of pairs of profile and organisation that have a
  /// balance.
  std::size_t Size() { return this->balances.Size(); }

 private:
  struct Balance {
    std::int64_t hundredths = 0;  ///< Available retries times 100.
    bool initialised = false;
    bool used = false;  ///< Whether it was used since the last RemoveUnused.
  };

  static void MarkUsed(Balance& balance);

  kernel::ShardedMap<std::string, Balance> balances;
};

}  // namespace banyanlane::entry
