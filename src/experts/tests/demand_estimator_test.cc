#include "experts/internal/demand_estimator.h"

#include <criterion/criterion.h>

namespace banyanlane::experts {
namespace {

constexpr std::size_t kExperts = 8;
constexpr std::uint64_t kPreferredCount = 80;
constexpr std::uint64_t kOtherCount = 20;

/// Samples of one rank whose tokens select one expert most often.
class DemandSource {
 public:
  /// Adds counts with some noise for each of `ticks` intervals of 100 ms.
  void Advance(DemandEstimator& estimator, std::size_t preferred, int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      this->now += kernel::Millis(100);
      for (std::size_t expert = 0; expert < kExperts; ++expert) {
        const std::uint64_t noise = (expert * 7 + this->tick_count * 5) % 11;
        this->counts.counts[expert] =
            (expert == preferred ? kPreferredCount : kOtherCount) + noise;
      }
      ++this->tick_count;
      estimator.OnCounts(this->counts, this->now);
    }
  }

  /// Adds the counts of an interval in the middle of which demand shifts.
  void AdvanceThroughShift(DemandEstimator& estimator, std::size_t before,
                           std::size_t after) {
    this->now += kernel::Millis(100);
    for (std::size_t expert = 0; expert < kExperts; ++expert) {
      const bool is_preferred = expert == before || expert == after;
      this->counts.counts[expert] =
          is_preferred ? (kPreferredCount + kOtherCount) / 2 : kOtherCount;
    }
    estimator.OnCounts(this->counts, this->now);
  }

  link::ExpertCounts counts{"g", 1, 0, std::vector<std::uint64_t>(kExperts)};
  kernel::TimePoint now = kernel::TimePoint{} + std::chrono::hours(1);
  std::size_t tick_count = 0;
};

double RatioOf(const DemandEstimator& estimator, std::size_t expert) {
  const auto load = estimator.Load(1);
  double sum = 0;
  for (const double weight : load->front()) sum += weight;
  return load->front()[expert] / sum;
}

}  // namespace

Test(demand_estimator, has_no_load_before_any_selection) {
  DemandEstimator estimator(DemandEstimatorLimits{});
  cr_assert_not(estimator.Load(1).has_value());
  DemandSource source;
  estimator.OnCounts(source.counts, source.now);
  cr_assert_not(estimator.Load(1).has_value());
}

// A map that is planned half a second after a shift must fit the new demand.
Test(demand_estimator, follows_a_change_within_half_a_second) {
  DemandEstimator estimator(DemandEstimatorLimits{});
  DemandSource source;
  source.Advance(estimator, 2, 40);
  cr_assert_gt(RatioOf(estimator, 2), 0.25);
  source.Advance(estimator, 5, 5);
  cr_assert_gt(RatioOf(estimator, 5), 2 * RatioOf(estimator, 2), "%f, %f",
               RatioOf(estimator, 5), RatioOf(estimator, 2));
}

// A plan for a mixture of two demands fits neither of them, and the ranks would
// copy weights twice.
Test(demand_estimator, does_not_mix_demands_after_a_shift) {
  DemandEstimator estimator(DemandEstimatorLimits{});
  DemandSource source;
  source.Advance(estimator, 2, 40);
  source.AdvanceThroughShift(estimator, 2, 5);
  cr_assert_not(estimator.Load(1).has_value());
  source.Advance(estimator, 5, 1);
  cr_assert_gt(RatioOf(estimator, 5), 0.25);
  cr_assert_lt(RatioOf(estimator, 2), 0.15);
}

// One rank whose requests are unlike those of the others is no shift.
Test(demand_estimator, keeps_the_estimate_when_one_window_differs) {
  DemandEstimator estimator(DemandEstimatorLimits{});
  DemandSource source;
  source.Advance(estimator, 2, 40);
  source.Advance(estimator, 5, 1);
  cr_assert_not(estimator.Load(1).has_value());
  source.Advance(estimator, 2, 1);
  cr_assert_gt(RatioOf(estimator, 2), RatioOf(estimator, 5));
}

// The expected time between shifts follows what was observed.
Test(demand_estimator, learns_how_often_demand_shifts) {
  DemandEstimator estimator(DemandEstimatorLimits{});
  DemandSource source;
  source.Advance(estimator, 0, 40);
  const auto before = estimator.ExpectedShiftInterval(source.now);
  for (std::size_t shift = 1; shift <= 6; ++shift)
    source.Advance(estimator, shift, 30);
  const auto often = estimator.ExpectedShiftInterval(source.now);
  cr_assert_lt(often.count(), 6'000);
  cr_assert_gt(often.count(), 3'000);
  cr_assert_lt(often.count(), before.count());
  source.Advance(estimator, 6, 600);
  cr_assert_gt(estimator.ExpectedShiftInterval(source.now).count(), 10'000);
}

// A map that is planned on the first few prompts after a stall would move
// experts without a benefit.
Test(demand_estimator, waits_for_enough_selections_after_a_stall) {
  DemandEstimator estimator(DemandEstimatorLimits{});
  DemandSource source;
  source.Advance(estimator, 2, 40);
  source.now += kernel::Millis(4'000);
  source.Advance(estimator, 5, 1);
  cr_assert_not(estimator.Load(1).has_value());
  source.Advance(estimator, 2, 20);
  cr_assert_gt(RatioOf(estimator, 2), 0.25);
}

}  // namespace banyanlane::experts
