#include "entry/internal/retry_budget.h"

#include <algorithm>

namespace banyanlane::entry {
namespace {

constexpr std::int64_t kOneRetry = 100;
/// Initial balance, which lets rare requests retry although their first
/// attempts add little.
constexpr std::int64_t kOpeningBalance = 2 * kOneRetry;
constexpr std::int64_t kHighestBalance = 10 * kOneRetry;

std::string KindOf(const config::Profile& profile,
                   const std::string& organisation) {
  return profile.name + '\n' + organisation;
}

}  // namespace

void RetryBudget::Trim() {
  this->balances.EraseIf([](const std::string& /*kind*/, Balance& balance) {
    const bool idle = !balance.used;
    balance.used = false;
    return idle;
  });
}

void RetryBudget::Open(Balance& balance) {
  balance.used = true;
  if (balance.opened) return;
  balance.opened = true;
  balance.hundredths = kOpeningBalance;
}

void RetryBudget::OnFirstAttempt(const config::Profile& profile,
                                 const std::string& organisation) {
  this->balances.With(
      KindOf(profile, organisation), [&profile](Balance& balance) {
        Open(balance);
        balance.hundredths = std::min(
            kHighestBalance, balance.hundredths + profile.retry_budget_percent);
      });
}

bool RetryBudget::TakeRetry(const config::Profile& profile,
                            const std::string& organisation) {
  if (profile.retry_budget_percent == 0) return false;
  return this->balances.With(KindOf(profile, organisation),
                             [](Balance& balance) {
                               Open(balance);
                               if (balance.hundredths < kOneRetry) return false;
                               balance.hundredths -= kOneRetry;
                               return true;
                             });
}

}  // namespace banyanlane::entry
