#include "evidence/crash_evidence.h"

#include <criterion/criterion.h>

namespace banyanlane::evidence {
namespace {

constexpr std::int64_t kCrashLimit = 2;
constexpr kernel::Millis kLifetime{1'000};
const kernel::TimePoint kNow{};

}  // namespace

Test(crash_evidence, never_quarantines_for_crashes_beside_other_work) {
  CrashEvidence evidence(kLifetime);
  for (int i = 0; i < 10; ++i) {
    evidence.RecordCrash("popular", "crash" + std::to_string(i), false,
                         kCrashLimit, kNow);
  }
  cr_assert(evidence.CrashStatusOf("popular", kNow) == CrashStatus::kSuspect);
  evidence.RecordCrash("popular", "alone", true, kCrashLimit, kNow);
  cr_assert(evidence.CrashStatusOf("popular", kNow) ==
            CrashStatus::kQuarantined);
  cr_assert_not(evidence.RecordClearance("popular", kNow).has_value());
}

Test(crash_evidence, counts_each_crash_once) {
  CrashEvidence evidence(kLifetime);
  evidence.RecordCrash("work", "crash1", true, kCrashLimit, kNow);
  evidence.RecordCrash("work", "crash1", true, kCrashLimit, kNow);
  cr_assert(evidence.CrashStatusOf("work", kNow) == CrashStatus::kSuspect);
}

Test(crash_evidence, expires) {
  CrashEvidence evidence(kLifetime);
  evidence.RecordCrash("work", "crash1", true, 1, kNow);
  cr_assert(evidence.CrashStatusOf("work", kNow) == CrashStatus::kQuarantined);
  cr_assert(evidence.CrashStatusOf("work", kNow + kLifetime) ==
            CrashStatus::kClear);
  evidence.Expire(kNow + kLifetime);
  cr_assert_eq(evidence.Size(), 0);
}

Test(crash_evidence, merges_in_any_order_to_the_same_status) {
  CrashEvidence source(kLifetime);
  const auto first =
      source.RecordCrash("work", "crash1", false, kCrashLimit, kNow);
  const auto cleared = *source.RecordClearance("work", kNow);
  const auto second =
      source.RecordCrash("work", "crash2", false, kCrashLimit, kNow);
  cr_assert(source.CrashStatusOf("work", kNow) == CrashStatus::kSuspect);
  CrashEvidence in_order(kLifetime);
  for (const auto& update : {first, cleared, second})
    cr_assert(in_order.Merge(update, kNow));
  CrashEvidence reversed(kLifetime);
  for (const auto& update : {second, cleared, first})
    reversed.Merge(update, kNow);
  cr_assert(in_order.CrashStatusOf("work", kNow) == CrashStatus::kSuspect);
  // A clearance after the first crash does not cover the second.
  cr_assert(reversed.CrashStatusOf("work", kNow) == CrashStatus::kSuspect);
  cr_assert_not(in_order.Merge(second, kNow),
                "known evidence must not be forwarded again");
}

}  // namespace banyanlane::evidence
