#include <criterion/criterion.h>

#include <algorithm>

#include "experts/tests/simulated_group.h"

namespace banyanlane::experts {
namespace {

using kernel::Millis;

constexpr Millis kShiftInterval{2'000};
constexpr int kShifts = 8;
constexpr Millis kSamplePeriod{10};
/// Callers of a stream wait this long for its first event.
constexpr Millis kLatencyGoal{500};

SimulatedGroupShape LargeGroup() {
  SimulatedGroupShape shape;
  shape.ranks = 72;
  shape.layers = 12;
  shape.experts = 144;
  shape.max_experts_per_rank = 3;
  shape.link_bytes_per_second = 1'000'000;
  shape.copy_time = Millis{16};
  return shape;
}

/// Shifts the demand, and returns the time until a map for it is in use, at
/// most kShiftInterval.
Millis ReactionTime(SimulatedGroup& group) {
  group.ShiftDemand();
  const double excess_before = group.Skew() - 1;
  Millis reaction = kShiftInterval;
  for (Millis elapsed{0}; elapsed < kShiftInterval; elapsed += kSamplePeriod) {
    group.Run(kSamplePeriod);
    const bool fits = group.Skew() - 1 < excess_before / 2;
    if (fits) reaction = std::min(reaction, elapsed);
  }
  return reaction;
}

}  // namespace

// A stream lasts about as long as a demand here. While the map does not fit,
// the group produces less than its callers ask for.
Test(group_reaction, maps_of_a_large_group_follow_shifts_within_the_goal) {
  SimulatedGroup group(LargeGroup());
  group.Run(Millis(8'000));
  Millis total{0};
  for (int shift = 0; shift < kShifts; ++shift) total += ReactionTime(group);
  cr_expect_leq(total / kShifts, kLatencyGoal, "%lld ms",
                static_cast<long long>((total / kShifts).count()));
  cr_expect(group.HadOneMapInEachStep());
}

}  // namespace banyanlane::experts
