#include <criterion/criterion.h>

#include "experts/tests/simulated_group.h"

namespace banyanlane::experts {
namespace {

using kernel::Millis;

/// Longest time for which callers accept that a stream has no new event.
constexpr Millis kMaxPause{1'500};
constexpr Millis kGracePeriod{8'000};
constexpr Millis kWarmUp{4'000};
/// Time before and after a switch in which the agents order and settle it.
constexpr Millis kSwitchTime{400};
constexpr Millis kMaxReaction{6'000};
constexpr Millis kStopInterval{2};

SimulatedGroupShape SmallGroup() {
  SimulatedGroupShape shape;
  shape.ranks = 8;
  shape.layers = 2;
  shape.experts = 16;
  shape.max_experts_per_rank = 3;
  shape.link_bytes_per_second = 1'000'000;
  return shape;
}

/// Returns the time from a shift of demand to the switch that follows.
Millis ReactionTime() {
  SimulatedGroup group(SmallGroup());
  group.Run(kWarmUp);
  group.ShiftDemand();
  const int changes = group.MapChanges();
  Millis elapsed{0};
  for (; group.MapChanges() == changes && elapsed < kMaxReaction; ++elapsed)
    group.Run(Millis(1));
  return elapsed;
}

/// Stops the agents of `ranks` together, at each moment around a switch.
void StopAtEachMoment(const std::vector<std::size_t>& ranks) {
  const Millis reaction = ReactionTime();
  cr_assert_lt(reaction.count(), kMaxReaction.count());
  int held = 0;
  for (Millis after = reaction - kSwitchTime; after < reaction + kSwitchTime;
       after += kStopInterval) {
    SimulatedGroup group(SmallGroup());
    group.Run(kWarmUp);
    group.ShiftDemand();
    group.Run(after);
    for (const std::size_t rank : ranks) group.StopAgent(rank);
    group.Run(kGracePeriod);
    for (const std::size_t rank : ranks) cr_expect(group.HasEnded(rank));
    const std::uint64_t steps = group.StepCount();
    group.Run(kGracePeriod);
    held += group.StepCount() == steps ? 1 : 0;
    cr_expect(group.HadOneMapInEachStep());
    cr_expect_leq(group.MaxStepPause().count(), kMaxPause.count(),
                  "%lld ms, stopped after %lld ms",
                  static_cast<long long>(group.MaxStepPause().count()),
                  static_cast<long long>(after.count()));
  }
  cr_expect_eq(held, 0, "the group was held after %d stops", held);
}

}  // namespace

// Guards against a leader whose end leaves its group held.
Test(group_stop, steps_go_on_when_the_leader_stops) { StopAtEachMoment({0}); }

// Guards against a rank whose end keeps the leader from releasing the group.
Test(group_stop, steps_go_on_when_another_agent_stops) {
  StopAtEachMoment({5});
}

// Guards against a leader that waits for an agent which waits for the leader.
Test(group_stop, steps_go_on_when_the_leader_and_another_agent_stop) {
  StopAtEachMoment({0, 5});
}

}  // namespace banyanlane::experts
