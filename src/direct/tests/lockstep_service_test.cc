#include "direct/tests/lockstep_service.h"

#include <criterion/criterion.h>

namespace banyanlane::direct {
namespace {

using kernel::Millis;

constexpr Millis kDuration{16'000};
/// Part of the streams that callers are promised on time on loaded days.
constexpr double kTarget = 0.60;
/// Part of the mean that each organisation and each size of prompt gets.
constexpr double kMinFairness = 0.9;
constexpr double kAlmostAll = 0.98;

LockstepResults Play(const LockstepShape& shape, std::uint64_t seed) {
  const LockstepResults results = LockstepService(shape, seed).Play(kDuration);
  cr_log_info(
      "%d requests: %d on time, %d late, %d refused, %d gave up, %d failed; "
      "%d rejected, pass %.0f ms, %.1f running",
      results.requests, results.on_time, results.late, results.refused,
      results.gave_up, results.failed, results.rejected, results.pass_millis,
      results.running);
  return results;
}

}  // namespace

// Guards against batches that are so large that each shift of demand makes all
// streams in progress late.
Test(lockstep_service, streams_are_on_time_while_demand_shifts) {
  for (const Millis unfit_time : {Millis(450), Millis(600)}) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      LockstepShape shape;
      shape.unfit_time = unfit_time;
      const LockstepResults results = Play(shape, seed);
      cr_expect_geq(results.OnTimeRatio(), kTarget, "%f",
                    results.OnTimeRatio());
      cr_expect_leq(results.refused + results.gave_up + results.failed,
                    results.requests / 20);
    }
  }
}

// With the time that maps of large groups took, the group had to be full before
// the demand shifted again.
Test(lockstep_service, streams_are_on_time_while_maps_follow_slowly) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    LockstepShape shape;
    shape.unfit_time = Millis(900);
    const LockstepResults results = Play(shape, seed);
    cr_expect_geq(results.OnTimeRatio(), kTarget, "%f", results.OnTimeRatio());
  }
}

// Guards against gateways that all send to the few endpoints that had room half
// a second ago, until those refuse.
Test(lockstep_service, endpoints_of_a_busy_group_refuse_nothing) {
  LockstepShape shape;
  shape.unfit_time = Millis(950);
  const LockstepResults results = Play(shape, 1);
  cr_expect_eq(results.rejected, 0, "%d", results.rejected);
}

Test(lockstep_service, no_organisation_and_no_size_of_prompt_is_starved) {
  LockstepShape shape;
  shape.unfit_time = Millis(900);
  const LockstepResults results = Play(shape, 1);
  const double mean =
      static_cast<double>(results.on_time + results.late) / results.requests;
  for (const auto& [group, counts] : results.completed_by_group) {
    const double ratio = static_cast<double>(counts.second) / counts.first;
    cr_expect_geq(ratio, kMinFairness * mean, "%s: %f of %f", group.c_str(),
                  ratio, mean);
  }
}

// The load of a quiet day, at which nothing needs to wait.
Test(lockstep_service, a_quiet_group_refuses_and_delays_nothing) {
  LockstepShape shape;
  shape.streams_per_second = 170;
  const LockstepResults results = Play(shape, 1);
  cr_expect_geq(results.OnTimeRatio(), kAlmostAll, "%f", results.OnTimeRatio());
  cr_expect_eq(results.refused + results.gave_up + results.failed, 0);
}

// Guards against a backlog that makes all streams late for long after work that
// crashes a rank has ended all of a small group's streams.
Test(lockstep_service, streams_are_on_time_soon_after_an_outage) {
  for (const Millis down_time : {Millis(2'100), Millis(5'000)}) {
    LockstepShape shape;
    shape.gateways = 9;
    shape.endpoints = 16;
    shape.slots = 12;
    shape.streams_per_second = 75;
    shape.shift_interval = Millis(0);
    shape.down_at = Millis(5'000);
    shape.down_time = down_time;
    const LockstepResults results = Play(shape, 1);
    const double ratio = static_cast<double>(results.on_time_after_outage) /
                         results.requests_after_outage;
    cr_expect_geq(ratio, kTarget, "%f", ratio);
  }
}

// A small group with few gateways, whose counts are as old.
Test(lockstep_service, a_small_group_serves_its_load_on_time) {
  LockstepShape shape;
  shape.gateways = 9;
  shape.endpoints = 16;
  shape.slots = 12;
  shape.streams_per_second = 60;
  shape.unfit_time = Millis(400);
  const LockstepResults results = Play(shape, 1);
  cr_expect_geq(results.OnTimeRatio(), kTarget, "%f", results.OnTimeRatio());
  cr_expect_eq(results.rejected, 0);
}

}  // namespace banyanlane::direct
