#include "direct/internal/batch_limit.h"

#include <criterion/criterion.h>

namespace banyanlane::direct {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Millis kGoal{150};
constexpr double kSlots = 10;

/// Pauses of streams of a group, one for each pass.
class Passes {
 public:
  /// Plays passes of the same duration.
  /// @param running requests that an endpoint runs.
  void Play(Millis duration, Millis pass, double running) {
    const TimePoint end = this->now + duration;
    for (; this->now < end; this->now += pass)
      this->limit.OnPause(pass, kGoal, running, this->now);
  }
  std::optional<double> Limit() const {
    return this->limit.Limit(kSlots, this->now);
  }

  BatchLimit limit;
  TimePoint now = kStart;
};

}  // namespace

Test(batch_limit, is_unknown_before_any_pause) {
  cr_expect_not(BatchLimit().Limit(kSlots, kStart).has_value());
}

Test(batch_limit, leaves_room_for_the_slow_passes_after_a_shift) {
  Passes passes;
  for (int shift = 0; shift < 4; ++shift) {
    passes.Play(Millis(600), Millis(200), 10);
    passes.Play(Millis(1'400), Millis(100), 10);
  }
  const auto limit = passes.Limit();
  cr_assert(limit.has_value());
  cr_expect_float_eq(*limit, 7.5, 0.01, "%f", *limit);
}

Test(batch_limit, ends_when_the_slow_passes_are_long_past) {
  Passes passes;
  passes.Play(Millis(2'000), Millis(200), 10);
  passes.Play(BatchLimitParameters{}.memory + Millis(1'000), Millis(100), 10);
  cr_expect_geq(passes.Limit().value_or(0), kSlots);
}

// A single outage is shorter than a tenth of the time that counts.
Test(batch_limit, ignores_a_single_outage) {
  Passes passes;
  passes.Play(Millis(9'000), Millis(100), 8);
  passes.Play(Millis(900), Millis(180), 8);
  passes.Play(Millis(500), Millis(100), 8);
  cr_expect_geq(passes.Limit().value_or(0), kSlots);
}

// With a slow rank every pass is longer than the goal, however few requests
// run. Fewer requests would be served, and none of them on time.
Test(batch_limit, is_none_where_no_batch_keeps_the_goal) {
  Passes passes;
  passes.Play(Millis(8'000), Millis(600), 8);
  cr_expect_not(passes.Limit().has_value());
}

// Streams that meet a shift are late whatever the limit, so that fewer requests
// would only lower the throughput.
Test(batch_limit, is_none_where_the_passes_after_a_shift_stay_too_long) {
  Passes passes;
  for (int shift = 0; shift < 4; ++shift) {
    passes.Play(Millis(500), Millis(350), 8);
    passes.Play(Millis(300), Millis(190), 8);
    passes.Play(Millis(1'400), Millis(100), 8);
  }
  cr_expect_not(passes.Limit().has_value());
}

Test(batch_limit, is_none_for_streams_without_a_goal) {
  BatchLimit limit;
  for (int i = 0; i < 100; ++i) {
    limit.OnPause(Millis(900), Millis(0), 10, kStart + Millis(100 * i));
  }
  cr_expect_not(limit.Limit(kSlots, kStart + Millis(10'000)).has_value());
}

}  // namespace banyanlane::direct
