#include "direct/internal/stream_progress.h"

#include <criterion/criterion.h>

namespace banyanlane::direct {
namespace {

using kernel::Millis;

constexpr kernel::TimePoint kArrival =
    kernel::TimePoint{} + std::chrono::hours(1);

config::Profile Goals() {
  config::Profile profile;
  profile.latency_goal_ms = 500;
  profile.pause_goal_ms = 150;
  return profile;
}

StreamLateness LatenessOf(const std::vector<int>& event_millis) {
  StreamProgress progress;
  for (const int millis : event_millis)
    progress.OnEvents(kArrival + Millis(millis));
  return progress.Lateness(Goals(), kArrival);
}

}  // namespace

Test(stream_progress, names_the_goal_that_a_stream_missed) {
  cr_assert_eq(LatenessOf({}), StreamLateness::kOnTime);
  cr_assert_eq(LatenessOf({500, 650, 800}), StreamLateness::kOnTime);
  cr_assert_eq(LatenessOf({501, 600}), StreamLateness::kFirstEvent);
  cr_assert_eq(LatenessOf({100, 251, 300}), StreamLateness::kPause);
  cr_assert_eq(LatenessOf({600, 800, 900}), StreamLateness::kBoth);
}

Test(stream_progress, misses_no_goal_that_the_profile_does_not_name) {
  StreamProgress progress;
  progress.OnEvents(kArrival + Millis(5'000));
  progress.OnEvents(kArrival + Millis(9'000));
  cr_assert_eq(progress.Lateness(config::Profile{}, kArrival),
               StreamLateness::kOnTime);
  cr_assert_eq(progress.longest_pause(), Millis(4'000));
}

}  // namespace banyanlane::direct
