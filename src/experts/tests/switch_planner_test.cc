#include "experts/internal/switch_planner.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace banyanlane::experts {
namespace {

constexpr std::size_t kRanks = 12;
constexpr std::size_t kExperts = 96;
constexpr std::size_t kLayers = 3;
constexpr double kPopularLoad = 30;

const RankSlowdowns kNoSlowdown(kRanks, 1.0);

SwitchPlannerLimits Limits() {
  SwitchPlannerLimits limits;
  limits.bounds = {11, 4, 4};
  return limits;
}

ExpertMap RoundRobinMap() {
  ExpertMap map(kLayers, std::vector<std::vector<std::uint64_t>>(kRanks));
  for (auto& layer : map) {
    for (std::size_t expert = 0; expert < kExperts; ++expert)
      layer[expert % kRanks].push_back(expert);
  }
  return map;
}

/// Returns a load in which three experts of each layer are popular, beginning
/// with `first`.
GroupLoad PopularFrom(std::size_t first) {
  GroupLoad load(kLayers, LayerLoad(kExperts, 1.0));
  for (std::size_t layer = 0; layer < kLayers; ++layer) {
    for (std::size_t i = 0; i < 3; ++i)
      load[layer][(first + layer * 31 + i * 5) % kExperts] = kPopularLoad;
  }
  return load;
}

/// Returns the total of the step times over `times.demand_ms` when the switch
/// of `plan` is made, in the unit of the load times milliseconds.
double TotalOf(const SwitchPlan& plan, const SwitchTimes& times) {
  return plan.current_time * Limits().copying_slowdown * plan.switch_ms +
         plan.planned_time * (times.demand_ms - plan.switch_ms);
}

}  // namespace

// The load is that of a group whose popular experts change every few seconds.
// Copies that take a long time are made one per rank, so that the better map is
// in use early.
Test(switch_planner, copies_less_when_copies_take_long) {
  const SwitchPlanner planner(Limits());
  const SwitchTimes fast{20, 200, 4'000};
  const SwitchTimes slow{400, 200, 4'000};
  std::size_t fast_copies = 0;
  std::size_t slow_copies = 0;
  for (std::size_t first = 0; first < kExperts; first += 7) {
    const GroupLoad load = PopularFrom(first);
    const auto quick = planner.Plan(RoundRobinMap(), load, kNoSlowdown, fast);
    const auto careful = planner.Plan(RoundRobinMap(), load, kNoSlowdown, slow);
    cr_assert(quick && careful);
    fast_copies += MaxCopiesOfRank(RoundRobinMap(), quick->map);
    slow_copies += MaxCopiesOfRank(RoundRobinMap(), careful->map);
    // A planner that copies as much as it may waits for more copies than the
    // map is worth.
    SwitchPlannerLimits eager = Limits();
    eager.bounds.max_copies = 3;
    SwitchPlan most;
    most.map = EqualSharePlanner(eager.bounds, 0.015)
                   .Improve(RoundRobinMap(), load, kNoSlowdown);
    most.current_time = MapStepTime(RoundRobinMap(), load, kNoSlowdown);
    most.planned_time = MapStepTime(most.map, load, kNoSlowdown);
    most.switch_ms =
        slow.overhead_ms + slow.copy_ms * static_cast<double>(MaxCopiesOfRank(
                                              RoundRobinMap(), most.map));
    cr_assert_leq(TotalOf(*careful, slow), TotalOf(most, slow));
  }
  cr_assert_lt(slow_copies, fast_copies);
}

Test(switch_planner, makes_no_switch_that_would_be_late) {
  const SwitchPlanner planner(Limits());
  const GroupLoad load = PopularFrom(0);
  cr_assert(
      planner.Plan(RoundRobinMap(), load, kNoSlowdown, {400, 200, 4'000}));
  cr_assert_not(
      planner.Plan(RoundRobinMap(), load, kNoSlowdown, {400, 200, 500}));
}

// Any expert can become popular next, so a group without requests copies as
// many experts as its ranks have places for.
Test(switch_planner, fills_the_free_places_of_an_idle_group) {
  const SwitchPlanner planner(Limits());
  const SwitchTimes times{100, 200, 4'000};
  const auto plan = planner.PlanWhileIdle(RoundRobinMap(), times);
  cr_assert(plan);
  for (const auto& layer : plan->map) {
    std::vector<int> holders(kExperts, 0);
    for (const auto& experts : layer) {
      cr_assert_eq(experts.size(), 11);
      for (const std::uint64_t expert : experts) ++holders[expert];
    }
    const auto shared = std::count(holders.begin(), holders.end(), 2);
    cr_assert_eq(shared, 11 * kRanks - kExperts, "%d",
                 static_cast<int>(shared));
  }
  cr_assert_not(planner.PlanWhileIdle(plan->map, times));
  const GroupLoad load = PopularFrom(0);
  cr_assert_lt(MapStepTime(plan->map, load, kNoSlowdown),
               MapStepTime(RoundRobinMap(), load, kNoSlowdown));
}

// An order to copy that takes longer would be repeated, and refused.
Test(switch_planner, bounds_the_time_of_copies_while_idle) {
  const SwitchPlanner planner(Limits());
  for (const double copy_ms : {400.0, 900.0, 5'000.0}) {
    const auto plan =
        planner.PlanWhileIdle(RoundRobinMap(), {copy_ms, 200, 4'000});
    cr_assert(plan);
    const std::size_t copies = MaxCopiesOfRank(RoundRobinMap(), plan->map);
    cr_assert(copies == 1 || static_cast<double>(copies) * copy_ms <= 3'000);
  }
}

// Ranks that have almost copied a map do not begin again for a slightly better
// one, but they do when demand has shifted meanwhile.
Test(switch_planner, replaces_a_plan_only_when_it_pays) {
  const SwitchPlanner planner(Limits());
  const SwitchTimes times{400, 200, 4'000};
  const GroupLoad load = PopularFrom(0);
  const auto plan = planner.Plan(RoundRobinMap(), load, kNoSlowdown, times);
  cr_assert(plan);
  cr_assert_not(planner.Replan(RoundRobinMap(), plan->map, 100, load,
                               kNoSlowdown, times));
  cr_assert(planner.Replan(RoundRobinMap(), plan->map, 100, PopularFrom(50),
                           kNoSlowdown, times));
}

}  // namespace banyanlane::experts
