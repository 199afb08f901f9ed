#include "direct/internal/endpoint_rests.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr Millis kRest{3'000};
/// Time after a rest by which its endpoint is to be in use again.
constexpr Millis kSoon{1'000};

/// Rests of one endpoint.
struct Harness {
  void Ask(Millis rest, TimePoint now, std::int64_t incarnation = 1) {
    this->rests.OnAsked("e", incarnation, rest, this->random, now);
  }
  bool MaySend(std::int64_t in_flight, TimePoint now,
               std::int64_t incarnation = 1) const {
    return this->rests.MaySend("e", incarnation, in_flight, now);
  }

  EndpointRests rests;
  std::minstd_rand random;
};

ResponseHead RefusalOf(Millis rest) {
  ResponseHead head;
  head.status = 503;
  head.not_run = true;
  head.request_id = "r";
  head.rest = rest;
  return head;
}

EndpointPool MakePool(std::uint64_t seed) {
  return EndpointPool(
      "a", PoolLimits{}, seed, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; });
}

}  // namespace

Test(endpoint_rests, ends_soon_after_the_time_that_was_asked_for) {
  for (const Millis rest : {Millis(1), Millis(500), kRest, Millis(60'000)}) {
    Harness harness;
    harness.Ask(rest, kStart);
    cr_assert_not(harness.MaySend(0, kStart + rest - Millis(1)));
    cr_assert(harness.MaySend(0, kStart + rest + kSoon));
  }
}

Test(endpoint_rests, does_not_end_for_many_gateways_at_the_same_moment) {
  std::vector<TimePoint> ends;
  for (int seed = 1; seed <= 390; ++seed) {
    Harness harness;
    harness.random.seed(seed);
    harness.Ask(kRest, kStart);
    ends.push_back(*harness.rests.RestingUntil("e", 1, kStart));
  }
  std::sort(ends.begin(), ends.end());
  // No tenth of the whole time may have half of the ends.
  const auto span = ends.back() - ends.front();
  for (std::size_t i = 0; i + ends.size() / 2 < ends.size(); ++i)
    cr_assert_gt((ends[i + ends.size() / 2] - ends[i]).count(),
                 (span / 10).count());
  cr_assert_gt(span.count(), 0);
}

Test(endpoint_rests, is_not_shortened_by_a_shorter_one) {
  Harness harness;
  harness.Ask(kRest, kStart);
  harness.Ask(Millis(10), kStart + Millis(20));
  cr_assert_not(harness.MaySend(0, kStart + kRest - Millis(1)));
  harness.Ask(kRest * 2, kStart + Millis(20));
  cr_assert_not(harness.MaySend(0, kStart + kRest * 2 - Millis(1)));
}

Test(endpoint_rests, is_no_matter_of_another_start_of_the_endpoint) {
  Harness harness;
  harness.Ask(kRest, kStart);
  cr_assert(harness.MaySend(5, kStart, 2));
  cr_assert_not(harness.rests.RestingUntil("e", 2, kStart).has_value());
}

Test(endpoint_rests, returns_with_one_request_and_doubles_with_each_response) {
  Harness harness;
  harness.Ask(kRest, kStart);
  const TimePoint after = kStart + kRest + kSoon;
  cr_assert(harness.MaySend(0, after));
  cr_assert_not(harness.MaySend(1, after));
  harness.rests.OnResponse("e", after);
  cr_assert(harness.MaySend(1, after));
  cr_assert_not(harness.MaySend(2, after));
  for (int i = 0; i < 10; ++i) harness.rests.OnResponse("e", after);
  cr_assert(harness.MaySend(1'000, after));
}

Test(endpoint_rests, returns_with_one_request_also_after_late_responses) {
  Harness harness;
  harness.Ask(kRest, kStart);
  for (int i = 0; i < 10; ++i)
    harness.rests.OnResponse("e", kStart + kRest / 2);
  cr_assert_not(harness.MaySend(1, kStart + kRest + kSoon));
}

Test(endpoint_rests, names_the_end_of_its_rest_when_there_is_no_other) {
  FlowHarness harness(false, true, 1);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, RefusalOf(kRest), kStart));
  cr_assert_geq(harness.Last<SendRefusal>()->retry_after_ms, kRest.count());
}

Test(endpoint_rests, keeps_a_very_long_rest_without_overflow) {
  Harness harness;
  harness.Ask(Millis::max(), kStart);
  cr_assert_not(harness.MaySend(0, kStart + std::chrono::hours(1)));
}

Test(endpoint_rests, survives_a_gap_in_the_instance_list) {
  EndpointPool pool = MakePool(1);
  pool.OnInstances(ListOf(1));
  const auto choice = pool.Choose("model", {}, kStart);
  pool.OnRestAsked(*choice, kRest, kStart);
  pool.Release(*choice, AttemptResult::kFull, kStart);
  pool.OnInstances(ListOf(0));
  pool.OnInstances(ListOf(1));
  cr_assert_not(pool.Choose("model", {}, kStart + kRest / 2).has_value());
}

Test(endpoint_rests, gives_no_request_also_when_all_others_are_ejected) {
  EndpointPool pool = MakePool(1);
  pool.OnInstances(ListOf(2));
  const auto resting = pool.Choose("model", {}, kStart);
  pool.OnRestAsked(*resting, kRest, kStart);
  pool.Release(*resting, AttemptResult::kFull, kStart);
  for (int i = 0; i < 20; ++i) {
    const auto other = pool.Choose("model", {}, kStart);
    cr_assert(other.has_value());
    cr_assert_neq(other->id, resting->id);
    pool.Release(*other, AttemptResult::kBroken, kStart);
  }
}

Test(endpoint_rests, does_not_make_its_service_count_as_unavailable) {
  EndpointPool pool = MakePool(1);
  pool.OnInstances(ListOf(8));
  for (int i = 0; i < 5; ++i) {
    const auto choice = pool.Choose("model", {}, kStart);
    pool.OnRestAsked(*choice, kRest, kStart);
    pool.Release(*choice, AttemptResult::kFull, kStart);
  }
  cr_assert_not(pool.IsUnavailable("model"));
  cr_assert(pool.Choose("model", {}, kStart).has_value());
}

Test(endpoint_rests, sends_a_retry_and_a_resumed_stream_elsewhere) {
  FlowHarness harness(true, true, 2);
  harness.Apply(harness.flow->Start(kStart));
  const std::string first = harness.Last<CallEndpoint>()->endpoint.id;
  harness.Apply(harness.flow->OnHead(1, RefusalOf(kRest), kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
  cr_assert_neq(harness.Last<CallEndpoint>()->endpoint.id, first);
}

Test(endpoint_rests, refuses_at_once_when_all_endpoints_rest_for_too_long) {
  FlowHarness harness(false, true, 2);
  const std::set<std::string> none;
  for (int i = 0; i < 2; ++i) {
    const auto choice = harness.pool.Choose("model", none, kStart);
    harness.pool.OnRestAsked(*choice, Millis(60'000) * (i + 1), kStart);
    harness.pool.Release(*choice, AttemptResult::kFull, kStart);
  }
  harness.Apply(harness.flow->Start(kStart));
  cr_assert_null(harness.Last<CallEndpoint>());
  const SendRefusal* refusal = harness.Last<SendRefusal>();
  cr_assert_eq(refusal->status, 503);
  cr_assert_geq(refusal->retry_after_ms, 60'000);
  cr_assert_lt(refusal->retry_after_ms, 62'000);
}

Test(endpoint_rests, waits_for_the_end_of_a_rest_that_the_deadline_allows) {
  FlowHarness harness(false, true, 1);
  const auto choice = harness.pool.Choose("model", {}, kStart);
  harness.pool.OnRestAsked(*choice, Millis(200), kStart);
  harness.pool.Release(*choice, AttemptResult::kFull, kStart);
  harness.Apply(harness.flow->Start(kStart));
  cr_assert_null(harness.Last<SendRefusal>());
  harness.Apply(harness.flow->OnCapacity(kStart + Millis(100)));
  cr_assert_null(harness.Last<CallEndpoint>());
  harness.Apply(harness.flow->OnCapacity(kStart + Millis(300)));
  cr_assert_not_null(harness.Last<CallEndpoint>());
}

}  // namespace banyanlane::direct
