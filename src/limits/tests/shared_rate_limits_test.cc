#include "limits/internal/shared_rate_limits.h"

#include <criterion/criterion.h>

#include <numeric>

#include "limits/tests/simulated_gateways.h"

namespace banyanlane::limits {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr int kSeeds = 4;
/// Time after which a limit that was named for the first time must hold.
constexpr Millis kSettled{3'000};
constexpr Millis kSpan{16'000};

/// Returns the requests that a server with this limit may get in four seconds.
int Allowed(double per_second) {
  return static_cast<int>(1.5 * 4 * per_second) + 5;
}

struct Case {
  std::size_t size;
  double limit;
  std::vector<double> per_second;  ///< Requests a second by gateway, repeated.
};

/// Few and many gateways, with even traffic, traffic at few of them, and less
/// traffic than the limit at each.
const std::vector<Case> kCases = {
    {1, 2.0, {20}},  {3, 0.5, {8}},         {3, 2.2, {30, 1, 0.2}},
    {9, 2.0, {8}},   {9, 2.7, {1}},         {32, 2.1, {8, 0.5, 0, 2}},
    {32, 0.5, {5}},  {32, 12.0, {6, 1}},    {390, 2.0, {2, 0.2, 0}},
    {390, 0.5, {1}}, {390, 20.0, {3, 0.1}}, {32, 3.0, {90, 0, 0, 0, 0}},
};

/// Lets the server name its limit, and the gateways learn it.
TimePoint Settle(SimulatedGateways& gateways, double limit) {
  gateways.Run(Millis{500});
  gateways.SetLimit(limit);
  gateways.Run(kSettled + Millis{1'000});
  return gateways.Now();
}

}  // namespace

Test(shared_rate_limits, hold_over_all_gateways_and_starve_no_server) {
  for (const Case& test : kCases) {
    for (int seed = 0; seed < (test.size > 100 ? 1 : kSeeds); ++seed) {
      SimulatedGateways gateways(test.size, test.per_second, seed);
      const TimePoint since = Settle(gateways, test.limit);
      gateways.Run(kSpan);
      cr_expect_leq(gateways.MostInFourSeconds(since), Allowed(test.limit),
                    "%zu gateways, limit %g, seed %d: %d", test.size,
                    test.limit, seed, gateways.MostInFourSeconds(since));
      const double seconds = std::chrono::duration<double>(kSpan).count();
      // Half of the limit, or of the traffic where that is less.
      double traffic = 0;
      for (std::size_t i = 0; i < test.size; ++i)
        traffic += test.per_second[i % test.per_second.size()];
      const double least = std::min(test.limit, traffic) * seconds / 2;
      cr_expect_geq(gateways.CountSince(since), least,
                    "%zu gateways, limit %g, seed %d: %d", test.size,
                    test.limit, seed, gateways.CountSince(since));
    }
  }
}

Test(shared_rate_limits, hold_while_gateways_restart_join_and_are_cut) {
  for (const std::size_t size : {3, 9, 32, 390}) {
    for (int seed = 0; seed < (size > 100 ? 1 : 6); ++seed) {
      constexpr double kLimit = 2;
      SimulatedGateways gateways(size, {6, 1}, seed);
      gateways.SetRunning(size - 1, false);
      const TimePoint since = Settle(gateways, kLimit);
      for (std::size_t i = 0; i < 4; ++i) {
        gateways.Restart((i * 7 + seed) % (size - 1));
        gateways.Run(Millis{2'600});
        gateways.SetCut((i * 5 + seed) % (size - 1), true);
        gateways.Run(Millis{2'000});
        gateways.SetCut((i * 5 + seed) % (size - 1), false);
        gateways.Run(Millis{700});
        if (i == 1) gateways.SetRunning(size - 1, true);
      }
      cr_expect_leq(gateways.MostInFourSeconds(since), Allowed(kLimit),
                    "%zu gateways, seed %d: %d", size, seed,
                    gateways.MostInFourSeconds(since));
      const TimePoint calm = gateways.Now();
      gateways.Run(Millis{8'000});
      cr_expect_geq(gateways.CountSince(calm), 8, "%zu gateways, seed %d: %d",
                    size, seed, gateways.CountSince(calm));
    }
  }
}

Test(shared_rate_limits, hold_on_both_sides_of_a_partition_together) {
  constexpr double kLimit = 4;
  for (const std::size_t size : {4, 9, 32}) {
    SimulatedGateways gateways(size, {10}, 1);
    const TimePoint since = Settle(gateways, kLimit);
    gateways.SetSplit(true);
    gateways.Run(kSpan);
    gateways.SetSplit(false);
    gateways.Run(kSpan);
    cr_expect_leq(gateways.MostInFourSeconds(since), Allowed(kLimit),
                  "%zu gateways: %d", size, gateways.MostInFourSeconds(since));
  }
}

Test(shared_rate_limits, hold_when_idle_gateways_get_a_burst) {
  constexpr double kLimit = 4;
  SimulatedGateways gateways(390, {0.1}, 1);
  const TimePoint since = Settle(gateways, kLimit);
  gateways.Run(Millis{30'000});
  gateways.SetTraffic(200);
  gateways.Run(Millis{4'000});
  cr_expect_leq(gateways.MostInFourSeconds(since), Allowed(kLimit), "%d",
                gateways.MostInFourSeconds(since));
}

Test(shared_rate_limits, follow_a_changed_number_and_end) {
  for (const std::size_t size : {3, 32, 390}) {
    SimulatedGateways gateways(size, {4}, 1);
    Settle(gateways, 4);
    gateways.SetLimit(1);
    gateways.Run(Millis{4'000});
    const TimePoint changed = gateways.Now();
    gateways.Run(Millis{8'000});
    cr_expect_leq(gateways.MostInFourSeconds(changed), Allowed(1));
    gateways.SetLimit(0);
    gateways.Run(Millis{3'000});
    const TimePoint ended = gateways.Now();
    gateways.Run(Millis{2'000});
    cr_expect_geq(gateways.CountSince(ended), static_cast<int>(size) * 4,
                  "%zu gateways: %d", size, gateways.CountSince(ended));
  }
}

Test(shared_rate_limits, ignore_a_response_from_before_the_limit) {
  SharedRateLimits limits(1, PermitLimits{});
  limits.OnResponse("s", 2.0, kNow, kNow + Millis{10});
  cr_assert_not(limits.MaySend("s", kNow + Millis{10}));
  limits.OnResponse("s", std::nullopt, kNow, kNow + Millis{20});
  cr_assert(limits.IsLimited("s"), "that request was sent before");
  limits.OnResponse("s", std::nullopt, kNow + Millis{15}, kNow + Millis{30});
  cr_assert_not(limits.IsLimited("s"));
  limits.OnResponse("s", 2.0, kNow + Millis{15}, kNow + Millis{40});
  cr_assert_not(limits.IsLimited("s"), "that request was sent before the end");
  cr_assert(limits.MaySend("other", kNow));
}

Test(shared_rate_limits, are_forgotten_with_their_endpoints) {
  SharedRateLimits limits(1, PermitLimits{});
  limits.OnResponse("s", 2.0, kNow, kNow);
  limits.Retain({"other"});
  cr_assert(limits.MaySend("s", kNow));
  limits.Step(kNow);
  cr_assert_not(limits.IsActive());
}

Test(shared_rate_limits, expire_permits_that_are_not_used) {
  const PermitLimits parameters;
  SharedRateLimits limits(1, parameters);
  limits.OnResponse("s", 1.0, kNow, kNow);
  TimePoint now = kNow + parameters.election.hold_off;
  limits.Step(now);
  cr_assert_not(limits.MaySend("s", now));
  now += Millis{1'000};
  limits.Step(now);
  cr_assert(limits.MaySend("s", now));
  cr_assert(limits.TakePermitsChanged());
  cr_assert_not(limits.MaySend("s", now + parameters.permit_lifetime));
}

}  // namespace banyanlane::limits
