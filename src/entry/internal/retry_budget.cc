#include "entry/internal/retry_budget.h"

#include <algorithm>

namespace banyanlane::entry {
namespace {

constexpr std::int64_t kHundredthsPerRetry = 100;
/// Initial balance, which lets rare requests retry although their first
/// attempts add little.
constexpr std::int64_t kInitialHundredths = 2 * kHundredthsPerRetry;
/// Maximum balance, which limits a burst of retries.
constexpr std::int64_t kMaxHundredths = 10 * kHundredthsPerRetry;

std::string BudgetKey(const config::Profile& profile,
                      const std::string& organisation) {
  return profile.name + '\n' + organisation;
}

}  // namespace

void RetryBudget::RemoveUnused() {
  this->balances.EraseIf([](const std::string& /*key*/, Balance& balance) {
    const bool unused = !balance.used;
    balance.used = false;
    return unused;
  });
}

void RetryBudget::MarkUsed(Balance& balance) {
  balance.used = true;
  if (balance.initialised) return;
  balance.initialised = true;
  balance.hundredths = kInitialHundredths;
}

void RetryBudget::OnFirstAttempt(const config::Profile& profile,
                                 const std::string& organisation) {
  this->balances.With(
      BudgetKey(profile, organisation), [&profile](Balance& balance) {
        MarkUsed(balance);
        balance.hundredths = std::min(
            kMaxHundredths, balance.hundredths + profile.retry_budget_percent);
      });
}

bool RetryBudget::TakeRetry(const config::Profile& profile,
                            const std::string& organisation) {
  if (profile.retry_budget_percent == 0) return false;
  return this->balances.With(BudgetKey(profile, organisation),
                             [](Balance& balance) {
                               MarkUsed(balance);
                               if (balance.hundredths < kHundredthsPerRetry)
                                 return false;
                               balance.hundredths -= kHundredthsPerRetry;
                               return true;
                             });
}

}  // namespace banyanlane::entry
