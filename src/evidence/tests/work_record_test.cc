#include "evidence/work_record.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

namespace banyanlane::evidence {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr Millis kEventTime{30};

/// Crashes whose attempts were each sent when the one before was known.
constexpr int kCrashes = 5;

std::string CrashName(int number) { return "c" + std::to_string(number); }

}  // namespace

Test(work_record, gives_crashes_of_one_event_the_same_generation) {
  WorkRecord record(kEventTime);
  const LostAttempt before{kNow - Millis(1), kNow};
  for (int i = 0; i < kCrashes; ++i) {
    record.AddCrash(CrashName(i), record.GenerationOf(CrashName(i), before),
                    kNow);
  }
  cr_assert_eq(record.CrashCount(), kCrashes);
  cr_assert_eq(record.Streak(), 1);
  const LostAttempt soon{kNow, kNow + kEventTime - Millis(1)};
  cr_assert_eq(record.GenerationOf("soon", soon), 1);
  const LostAttempt later{kNow, kNow + kEventTime};
  cr_assert_eq(record.GenerationOf("later", later), 2);
}

Test(work_record, clears_the_crashes_that_were_known_when_an_attempt_was_sent) {
  WorkRecord record(kEventTime);
  record.AddCrash("c1", 1, kNow);
  record.AddCrash("c2", 2, kNow + Millis(100));
  cr_assert_not(record.ClearKnownAt(kNow - Millis(1)));
  cr_assert(record.ClearKnownAt(kNow + Millis(50)));
  cr_assert_eq(record.Streak(), 1);
  cr_assert(record.HasCrash("c2"));
  cr_assert(record.ClearKnownAt(kNow + Millis(100)));
  cr_assert_eq(record.Streak(), 0);
  cr_assert_not(record.AddCrash("c1", 1, kNow), "a late report");
}

Test(work_record, counts_begun_attempts_from_the_first_crash_on_only) {
  WorkRecord record(kEventTime);
  cr_assert_not(record.CountBegun("g", kNow).has_value());
  record.AddCrash("c1", 1, kNow);
  cr_assert_not(record.CountBegun("g", kNow - Millis(1)).has_value());
  cr_assert_eq(record.CountBegun("g", kNow), 1);
  record.MergeBegun("h", 4);
  cr_assert_eq(record.Begun(), 5);
  record.ClearKnownAt(kNow);
  record.AddCrash("c2", 2, kNow);
  cr_assert_eq(record.Begun(), 0);
}

Test(work_record, is_the_same_whatever_the_order_of_reports) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const std::uint64_t cleared = seed % (kCrashes + 1);
    std::vector<int> steps(kCrashes + 1);
    for (int i = 0; i <= kCrashes; ++i) steps[i] = i;
    std::shuffle(steps.begin(), steps.end(), random);
    WorkRecord record(kEventTime);
    for (const int step : steps) {
      if (step == kCrashes) record.ClearThrough(cleared);
      if (step < kCrashes) record.AddCrash(CrashName(step), step + 1, kNow);
    }
    cr_assert_eq(record.Streak(), kCrashes - static_cast<int>(cleared),
                 "seed %u", seed);
  }
}

}  // namespace banyanlane::evidence
