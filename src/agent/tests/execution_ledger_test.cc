#include "agent/internal/execution_ledger.h"

#include <criterion/criterion.h>

namespace banyanlane::agent {
namespace {

using ClaimResult = ExecutionLedger::ClaimResult;

constexpr std::uint64_t kIncarnation = 7;
constexpr std::uint64_t kShortLifetimeMillis = 1'000;
constexpr std::uint64_t kLongLifetimeMillis = 60'000;

const ExecutionLedger::Work kWork = {"p", "org", "w"};

IdempotencyKey Key(std::uint64_t issued_ms, const std::string& nonce) {
  return {"a1", kIncarnation, issued_ms, nonce};
}

ExecutionLedger MakeLedger(std::size_t max_entries = 100) {
  return ExecutionLedger("a1", kIncarnation, max_entries, 1'000);
}

}  // namespace

Test(execution_ledger, claims_a_key_once) {
  ExecutionLedger ledger = MakeLedger();
  const auto claim = [&](const IdempotencyKey& key, const char* organisation,
                         const char* work) {
    return ledger.TryClaim(key, {"p", organisation, work}, "s",
                           kLongLifetimeMillis, 500);
  };
  cr_assert(claim(Key(100, "n"), "org", "w") == ClaimResult::kClaimed);
  cr_assert(claim(Key(100, "n"), "org", "w") == ClaimResult::kRunning);
  cr_assert(claim(Key(100, "n"), "other", "w") == ClaimResult::kConflict);
  cr_assert(claim(Key(100, "n"), "org", "v") == ClaimResult::kConflict);
  ledger.Complete("n", {});
  cr_assert(claim(Key(100, "n"), "org", "w") == ClaimResult::kCompleted);
  cr_assert(claim({"a1", 8, 100, "m"}, "org", "w") ==
            ClaimResult::kWrongIncarnation);
  cr_assert(claim({"a2", 7, 100, "m"}, "org", "w") ==
            ClaimResult::kWrongIncarnation);
  cr_assert(claim(Key(501, "future"), "org", "w") == ClaimResult::kExpired);
}

Test(execution_ledger, refuses_keys_whose_entry_may_have_expired) {
  ExecutionLedger ledger = MakeLedger();
  cr_assert(ledger.TryClaim(Key(100, "n"), kWork, "s", kShortLifetimeMillis,
                            200) == ClaimResult::kClaimed);
  ledger.Complete("n", {});
  ledger.Expire(100 + kShortLifetimeMillis);
  cr_assert_eq(ledger.Size(), 0);
  // A new revision of the profile raises the lifetime, so the key would be
  // within its lifetime again.
  cr_assert(ledger.TryClaim(Key(100, "n"), kWork, "s", kLongLifetimeMillis,
                            2'000) == ClaimResult::kExpired);
  // A key issued after all removed keys can be claimed.
  cr_assert(ledger.TryClaim(Key(1'900, "m"), kWork, "s", kLongLifetimeMillis,
                            2'000) == ClaimResult::kClaimed);
}

Test(execution_ledger, keeps_a_running_key_beyond_its_lifetime) {
  ExecutionLedger ledger = MakeLedger();
  ledger.TryClaim(Key(100, "n"), kWork, "s", kShortLifetimeMillis, 200);
  ledger.Expire(100 + kShortLifetimeMillis);
  cr_assert_eq(ledger.Size(), 1);
  ledger.MarkUnknown("n");
  ledger.Expire(100 + 10 * kShortLifetimeMillis);
  cr_assert_eq(ledger.Size(), 0);
}

Test(execution_ledger, refuses_new_keys_when_full) {
  ExecutionLedger ledger = MakeLedger(1);
  cr_assert(ledger.TryClaim(Key(1, "n"), kWork, "s", kLongLifetimeMillis, 5) ==
            ClaimResult::kClaimed);
  cr_assert(ledger.TryClaim(Key(1, "m"), kWork, "s", kLongLifetimeMillis, 5) ==
            ClaimResult::kFull);
}

Test(execution_ledger, never_runs_a_key_reported_as_not_run) {
  ExecutionLedger ledger = MakeLedger();
  cr_assert(ledger.ClaimAsNotRun(Key(1, "n"), kWork, kLongLifetimeMillis, 5));
  cr_assert(ledger.TryClaim(Key(1, "n"), kWork, "s", kLongLifetimeMillis, 5) ==
            ClaimResult::kNotRun);
  cr_assert(ledger.TryClaim(Key(1, "m"), kWork, "s", kLongLifetimeMillis, 5) ==
            ClaimResult::kClaimed);
  cr_assert_not(
      ledger.ClaimAsNotRun(Key(1, "m"), kWork, kLongLifetimeMillis, 5));
}

}  // namespace banyanlane::agent
