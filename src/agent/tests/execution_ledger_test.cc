#include "agent/internal/execution_ledger.h"

#include <criterion/criterion.h>

namespace banyanlane::agent {
namespace {

using Claim = ExecutionLedger::Claim;

constexpr std::uint64_t kIncarnation = 7;
constexpr std::uint64_t kShortLife = 1'000;
constexpr std::uint64_t kLongLife = 60'000;

const ExecutionLedger::Work kWork = {"p", "org", "w"};

IdempotencyKey Key(std::uint64_t issued_ms, const std::string& nonce) {
  return {"a1", kIncarnation, issued_ms, nonce};
}

ExecutionLedger MakeLedger(std::size_t most_entries = 100) {
  return ExecutionLedger("a1", kIncarnation, most_entries, 1'000);
}

}  // namespace

Test(execution_ledger, claims_a_key_once) {
  ExecutionLedger ledger = MakeLedger();
  const auto claim = [&](const IdempotencyKey& key, const char* organisation,
                         const char* work) {
    return ledger.TryClaim(key, {"p", organisation, work}, "s", kLongLife, 500);
  };
  cr_assert(claim(Key(100, "n"), "org", "w") == Claim::kFresh);
  cr_assert(claim(Key(100, "n"), "org", "w") == Claim::kRunning);
  cr_assert(claim(Key(100, "n"), "other", "w") == Claim::kConflict);
  cr_assert(claim(Key(100, "n"), "org", "v") == Claim::kConflict);
  ledger.Complete("n", {});
  cr_assert(claim(Key(100, "n"), "org", "w") == Claim::kCompleted);
  cr_assert(claim({"a1", 8, 100, "m"}, "org", "w") == Claim::kWrongIncarnation);
  cr_assert(claim({"a2", 7, 100, "m"}, "org", "w") == Claim::kWrongIncarnation);
  cr_assert(claim(Key(501, "future"), "org", "w") == Claim::kExpired);
}

Test(execution_ledger, never_claims_what_it_may_have_forgotten) {
  ExecutionLedger ledger = MakeLedger();
  cr_assert(ledger.TryClaim(Key(100, "n"), kWork, "s", kShortLife, 200) ==
            Claim::kFresh);
  ledger.Complete("n", {});
  ledger.Expire(100 + kShortLife);
  cr_assert_eq(ledger.Size(), 0);
  // A new revision of the profile raises the lifetime: the key would be young
  // again.
  cr_assert(ledger.TryClaim(Key(100, "n"), kWork, "s", kLongLife, 2'000) ==
            Claim::kExpired);
  // A key issued after all that was forgotten is good.
  cr_assert(ledger.TryClaim(Key(1'900, "m"), kWork, "s", kLongLife, 2'000) ==
            Claim::kFresh);
}

Test(execution_ledger, keeps_a_running_key_beyond_its_lifetime) {
  ExecutionLedger ledger = MakeLedger();
  ledger.TryClaim(Key(100, "n"), kWork, "s", kShortLife, 200);
  ledger.Expire(100 + kShortLife);
  cr_assert_eq(ledger.Size(), 1);
  ledger.MarkUnknown("n");
  ledger.Expire(100 + 10 * kShortLife);
  cr_assert_eq(ledger.Size(), 0);
}

Test(execution_ledger, takes_no_key_that_it_has_no_room_for) {
  ExecutionLedger ledger = MakeLedger(1);
  cr_assert(ledger.TryClaim(Key(1, "n"), kWork, "s", kLongLife, 5) ==
            Claim::kFresh);
  cr_assert(ledger.TryClaim(Key(1, "m"), kWork, "s", kLongLife, 5) ==
            Claim::kFull);
}

Test(execution_ledger, spends_a_key_that_was_said_not_to_run) {
  ExecutionLedger ledger = MakeLedger();
  cr_assert(ledger.Burn(Key(1, "n"), kWork, kLongLife, 5));
  cr_assert(ledger.TryClaim(Key(1, "n"), kWork, "s", kLongLife, 5) ==
            Claim::kNotRun);
  cr_assert(ledger.TryClaim(Key(1, "m"), kWork, "s", kLongLife, 5) ==
            Claim::kFresh);
  cr_assert_not(ledger.Burn(Key(1, "m"), kWork, kLongLife, 5));
}

}  // namespace banyanlane::agent
