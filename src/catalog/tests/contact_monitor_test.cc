#include "catalog/internal/contact_monitor.h"

#include <criterion/criterion.h>

#include "catalog/tests/simulated_fleet.h"

namespace banyanlane::catalog {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr ContactLimits kLimits{};
constexpr int kSeeds = 6;
/// Number of links of a gateway in a large SimulatedFleet.
constexpr std::size_t kMaxLinks = 96;
/// Time after a disruption from which changes must be known in time.
constexpr Millis kContact{3'000};
/// Time in which all gateways must know a change.
constexpr Millis kBound{2'000};

/// Lets the fleet work for a while in which the store is changed.
void WarmUp(SimulatedFleet& fleet, int seed) {
  fleet.Run(Millis{3'000});
  fleet.store.Change();
  fleet.Run(Millis{1'000 + 770 * seed});
  cr_assert(fleet.AllKnow());
}

}  // namespace

Test(contact_monitor, lets_one_process_ask_and_others_follow) {
  ContactMonitor monitor(kLimits);
  cr_assert_not(monitor.IsDue(0, kNow), "nothing was read yet");
  monitor.OnResponse(kNow);
  const TimePoint due = kNow + kLimits.max_age;
  cr_assert_not(monitor.IsDue(0, due - Millis(1)));
  cr_assert(monitor.IsDue(0, due));
  cr_assert_not(monitor.IsDue(1, due));
  const TimePoint next = due + kLimits.takeover_delay;
  cr_assert(monitor.IsDue(2, next));
  cr_assert_not(monitor.IsDue(3, next));
  cr_assert(monitor.IsDue(389, due + 8 * kLimits.takeover_delay));
}

Test(contact_monitor, counts_the_response_of_a_peer_from_its_time) {
  ContactMonitor monitor(kLimits);
  monitor.OnPeerResponse(Millis{400}, kNow);
  cr_assert_eq(monitor.Age(kNow)->count(), 400);
  monitor.OnPeerResponse(Millis{900}, kNow);
  cr_assert_eq(monitor.Age(kNow)->count(), 400, "an older one changes nothing");
  cr_assert(monitor.IsDue(0, kNow + kLimits.max_age - Millis{400}));
}

Test(contact_fleet, knows_changes_in_time_after_all_watches_were_silenced) {
  for (const std::size_t size : {1, 3, 9, 32, 390}) {
    const int seeds = size > 100 ? 2 : kSeeds;
    for (int seed = 0; seed < seeds; ++seed) {
      for (const int silence_ms : {300, 1'000, 2'500, 4'500, 9'000, 14'000}) {
        SimulatedFleet fleet(size, seed);
        WarmUp(fleet, seed);
        fleet.store.is_silent = true;
        if (seed % 2 == 0) fleet.store.Change();
        fleet.Run(Millis{silence_ms});
        fleet.store.is_silent = false;
        fleet.Run(kContact);
        fleet.store.Change();
        fleet.Run(kBound);
        cr_assert(fleet.AllKnow(), "%zu gateways, seed %d, %d ms", size, seed,
                  silence_ms);
      }
    }
  }
}

Test(contact_fleet, knows_changes_in_time_if_processes_restart_and_are_cut) {
  for (const std::size_t size : {3, 9, 32}) {
    for (int seed = 0; seed < kSeeds; ++seed) {
      SimulatedFleet fleet(size, seed);
      WarmUp(fleet, seed);
      fleet.store.is_silent = true;
      fleet.Run(Millis{1'500});
      fleet.SetCut(0, true);
      fleet.Restart(1);
      fleet.Run(Millis{1'500});
      fleet.store.Change();
      fleet.Restart(size - 1);
      fleet.Run(Millis{700});
      fleet.store.is_silent = false;
      fleet.SetCut(0, false);
      fleet.Run(kContact);
      fleet.store.Change();
      fleet.Run(kBound);
      cr_assert(fleet.AllKnow(), "%zu gateways, seed %d", size, seed);
    }
  }
}

Test(contact_fleet, knows_changes_in_time_if_the_store_answers_few) {
  for (const std::size_t size : {9, 32, 390}) {
    SimulatedFleet fleet(size, 1);
    WarmUp(fleet, 1);
    for (std::size_t i = 0; i < size; ++i) fleet.SetDeaf(i, i % 3 != 0);
    fleet.store.Change();
    fleet.Run(Millis{10'000});
    for (int change = 0; change < 5; ++change) {
      fleet.store.Change();
      fleet.Run(kBound);
      cr_assert(fleet.AllKnow(), "%zu gateways, change %d", size, change);
    }
  }
}

Test(contact_fleet, checks_do_not_multiply_with_its_size) {
  constexpr int kSeconds = 40;
  for (const std::size_t size : {1, 9, 32, 390}) {
    SimulatedFleet fleet(size, 1);
    WarmUp(fleet, 1);
    fleet.store.calls = 0;
    fleet.store.checks = 0;
    fleet.Run(Millis{1'000 * kSeconds});
    // At most one gateway of those that are linked to each other asks each
    // time.
    const int asking = static_cast<int>((size - 1) / kMaxLinks + 1);
    const int rounds =
        1'000 * kSeconds / static_cast<int>(kLimits.max_age.count()) + 1;
    cr_assert_leq(fleet.store.checks, asking * rounds, "%zu: %d checks", size,
                  fleet.store.checks);
    // Each check is followed by a new watch.
    const int watches =
        static_cast<int>(size) * (kSeconds / 8 + 1) + fleet.store.checks;
    cr_assert_leq(fleet.store.calls, watches + fleet.store.checks, "%zu: %d",
                  size, fleet.store.calls);
  }
}

}  // namespace banyanlane::catalog
