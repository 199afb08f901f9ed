#include "direct/internal/graceful_stop.h"

#include <criterion/criterion.h>

namespace banyanlane::direct {
namespace {

constexpr kernel::Millis kGracePeriod{8'000};
constexpr kernel::Millis kAddressTtl{1'000};
constexpr kernel::Millis kLongLimit{8'000};
constexpr kernel::Millis kShortLimit{1'000};
constexpr kernel::Millis kStep{50};
constexpr kernel::TimePoint kBegin =
    kernel::TimePoint{} + std::chrono::hours(1);

kernel::TimePoint At(std::int64_t millis) {
  return kBegin + kernel::Millis(millis);
}

}  // namespace

Test(graceful_stop,
     accepts_everything_before_it_and_while_callers_learn_of_it) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  cr_expect(stop.TryAccept(kLongLimit, kBegin));
  stop.Begin(kBegin, kBegin);
  cr_expect(stop.TryAccept(kLongLimit, At(0)));
  cr_expect(stop.TryAccept(kLongLimit, At(3'000)));
}

// Guards against the acceptance of requests that the end of the stop cuts off.
Test(graceful_stop, accepts_later_only_what_ends_before_it_is_over) {
  for (kernel::Millis limit{0}; limit <= kLongLimit; limit += kStep) {
    GracefulStop stop(kGracePeriod, kAddressTtl);
    stop.Begin(kBegin, kBegin);
    for (auto now = At(3'001); now < kBegin + kGracePeriod; now += kStep) {
      if (!stop.TryAccept(limit, now)) continue;
      cr_assert_neq(stop.Pending(0, now + limit), "");
      cr_assert_not(stop.IsClosing(), "limit %ld, %ld after",
                    static_cast<long>(limit.count()),
                    static_cast<long>(kernel::MillisBetween(kBegin, now)));
    }
  }
}

Test(graceful_stop, accepts_short_requests_longer_than_long_ones) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  stop.Begin(kBegin, kBegin);
  cr_expect_not(stop.TryAccept(kLongLimit, At(3'500)));
  cr_expect(stop.TryAccept(kShortLimit, At(3'500)));
  cr_expect(stop.TryAccept(kShortLimit, At(6'000)));
  cr_expect_not(stop.TryAccept(kShortLimit, At(6'500)));
}

Test(graceful_stop, waits_for_accepted_requests_and_for_callers) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  stop.Begin(kBegin, kBegin);
  cr_expect_neq(stop.Pending(0, At(2'900)), "");
  cr_assert(stop.TryAccept(kLongLimit, At(2'950)));
  cr_expect_neq(stop.Pending(0, At(3'100)), "");
  stop.OnEnded();
  cr_expect_eq(stop.Pending(0, At(3'200)), "");
}

// Guards against a stop that ends while a request still arrives.
Test(graceful_stop, waits_for_busy_connections) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  stop.Begin(kBegin, kBegin);
  cr_expect_neq(stop.Pending(1, At(3'100)), "");
  cr_expect(stop.TryAccept(kShortLimit, At(3'200)));
  stop.OnEnded();
  cr_expect_neq(stop.Pending(1, At(7'200)), "");
  cr_expect_not(stop.IsClosing());
  cr_expect_neq(stop.Pending(1, At(7'300)), "");
  cr_expect(stop.IsClosing());
  cr_expect_eq(stop.Pending(1, At(7'600)), "");
}

// Guards against a request that is accepted while the process exits.
Test(graceful_stop, accepts_nothing_once_it_is_over) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  stop.Begin(kBegin, kBegin);
  cr_assert_eq(stop.Pending(0, At(3'100)), "");
  cr_expect_not(stop.TryAccept(kShortLimit, At(3'100)));
  cr_expect_eq(stop.Pending(0, At(3'200)), "");
}

Test(graceful_stop, ends_before_the_grace_period_does) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  cr_assert(stop.TryAccept(kLongLimit, kBegin));
  stop.Begin(kBegin, kBegin);
  cr_expect_neq(stop.Pending(0, At(7'200)), "");
  cr_expect_not(stop.IsClosing());
  cr_expect_neq(stop.Pending(0, At(7'300)), "");
  cr_expect(stop.IsClosing());
  cr_expect_not(stop.TryAccept(kernel::Millis(0), At(7'300)));
  cr_expect_eq(stop.Pending(0, At(7'600)), "");
}

// Guards against a stop that ends before the requests that are left have their
// answers.
Test(graceful_stop, waits_for_the_last_answers) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  cr_assert(stop.TryAccept(kLongLimit, kBegin));
  stop.Begin(kBegin, kBegin);
  cr_expect_neq(stop.Pending(0, At(7'300)), "");
  cr_expect_neq(stop.Pending(0, At(7'500)), "");
  stop.OnEnded();
  cr_expect_eq(stop.Pending(0, At(7'500)), "");
}

// Guards against a stop that outlasts the grace period because the process was
// frozen when it was asked to stop.
Test(graceful_stop, counts_its_time_from_the_request_to_stop) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  cr_assert(stop.TryAccept(kLongLimit, kBegin));
  stop.Begin(kBegin, At(4'000));
  cr_expect_not(stop.TryAccept(kLongLimit, At(4'000)));
  cr_expect(stop.TryAccept(kShortLimit, At(6'000)));
  cr_expect_not(stop.TryAccept(kShortLimit, At(6'500)));
  cr_expect_neq(stop.Pending(0, At(7'200)), "");
  cr_expect_not(stop.IsClosing());
  cr_expect_neq(stop.Pending(0, At(7'300)), "");
  cr_expect(stop.IsClosing());
  cr_expect_eq(stop.Pending(0, At(7'600)), "");
}

Test(graceful_stop, gives_callers_time_from_when_they_can_learn_of_it) {
  GracefulStop stop(kGracePeriod, kAddressTtl);
  stop.Begin(kBegin, At(2'000));
  cr_expect_neq(stop.Pending(0, At(4'900)), "");
  cr_expect_eq(stop.Pending(0, At(5'100)), "");
}

}  // namespace banyanlane::direct
