#include "experts/internal/demand_estimator.h"

#include <criterion/criterion.h>

namespace banyanlane::experts {
namespace {

constexpr std::size_t kExperts = 8;
constexpr std::uint64_t kMost = 80;
constexpr std::uint64_t kLeast = 20;

/// Counts of one rank whose work prefers one expert.
class Demand {
 public:
  /// Lets `ticks` of 100 ms pass, with a little chance in each.
  void Pass(DemandWindow& window, std::size_t preferred, int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      this->now += kernel::Millis(100);
      for (std::size_t expert = 0; expert < kExperts; ++expert) {
        const std::uint64_t chance = (expert * 7 + this->turn * 5) % 11;
        this->counts.counts[expert] +=
            (expert == preferred ? kMost : kLeast) + chance;
      }
      ++this->turn;
      window.OnCounts(this->counts, this->now);
    }
  }

  link::ExpertCounts counts{"g", 1, 0, std::vector<std::uint64_t>(kExperts)};
  kernel::TimePoint now = kernel::TimePoint{} + std::chrono::hours(1);
  std::size_t turn = 0;
};

double ShareOf(const DemandWindow& window, std::size_t expert) {
  const auto load = window.Load(1);
  double sum = 0;
  for (const double weight : load->front()) sum += weight;
  return load->front()[expert] / sum;
}

}  // namespace

Test(demand_window, has_no_load_before_anything_was_chosen) {
  DemandWindow window(DemandLimits{});
  cr_assert_not(window.Load(1).has_value());
  Demand demand;
  window.OnCounts(demand.counts, demand.now);
  cr_assert_not(window.Load(1).has_value());
}

// A plan half a second after a change must follow the new demand.
Test(demand_window, follows_a_change_within_half_a_second) {
  DemandWindow window(DemandLimits{});
  Demand demand;
  demand.Pass(window, 2, 40);
  cr_assert_gt(ShareOf(window, 2), 0.25);
  demand.Pass(window, 5, 5);
  cr_assert_gt(ShareOf(window, 5), 2 * ShareOf(window, 2), "%f, %f",
               ShareOf(window, 5), ShareOf(window, 2));
}

Test(demand_window, goes_on_when_a_rank_counts_anew) {
  DemandWindow window(DemandLimits{});
  Demand demand;
  demand.Pass(window, 2, 20);
  demand.counts.counts.assign(kExperts, 0);
  demand.Pass(window, 2, 5);
  cr_assert_gt(ShareOf(window, 2), 0.25);
}

// A plan made of the first prompts after a group has stood would move experts
// for nothing.
Test(demand_window, waits_for_enough_choices_after_a_stand) {
  DemandWindow window(DemandLimits{});
  Demand demand;
  demand.Pass(window, 2, 40);
  demand.now += kernel::Millis(4'000);
  demand.Pass(window, 5, 1);
  cr_assert_not(window.Load(1).has_value());
  demand.Pass(window, 2, 20);
  cr_assert_gt(ShareOf(window, 2), 0.25);
}

}  // namespace banyanlane::experts
