#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"
#include "direct/tests/stub_limits.h"

namespace banyanlane::direct {
namespace {

/// Returns a flow whose three endpoints all have a limit of one request a
/// second and no permit, and `ahead` requests of `urgency` that wait already.
std::unique_ptr<FlowHarness> MakeOverloaded(StubLimits& limits, int ahead,
                                            std::int64_t urgency) {
  limits.permits = {{"e0", 0}, {"e1", 0}, {"e2", 0}};
  auto harness = std::make_unique<FlowHarness>(
      true, true, 3, RetryLimits{0.2, kernel::Millis(10'000), 100, 1.0},
      &limits);
  for (int i = 0; i < ahead; ++i)
    harness->queue.Enqueue("model", urgency, 100 + i,
                           kStart + kernel::Millis(500));
  return harness;
}

EndpointPool PoolOf(StubLimits& limits) {
  return EndpointPool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; }, &limits);
}

}  // namespace

Test(limited_endpoint, gets_requests_only_with_permits) {
  StubLimits limits;
  limits.permits = {{"e0", 0}, {"e1", 0}};
  EndpointPool pool = PoolOf(limits);
  pool.OnInstances(ListOf(2));
  cr_assert_not(pool.Choose("model", {}, kStart));
  cr_assert_not(pool.HasCapacity("model", kStart));
  cr_assert(pool.HasEndpoints("model", {}, kStart),
            "requests can wait for permits");
  limits.permits["e1"] = 1;
  cr_assert(pool.HasCapacity("model", kStart));
  cr_assert_eq(pool.Choose("model", {}, kStart)->id, "e1");
  cr_assert_not(pool.Choose("model", {}, kStart), "the permit was used");
}

Test(limited_endpoint, leaves_its_requests_to_the_others) {
  StubLimits limits;
  limits.permits = {{"e0", 0}};
  EndpointPool pool = PoolOf(limits);
  pool.OnInstances(ListOf(3));
  for (int i = 0; i < 4; ++i) {
    const auto choice = pool.Choose("model", {}, kStart);
    cr_assert(choice);
    cr_assert_neq(choice->id, "e0");
  }
}

Test(limited_endpoint, refuses_at_once_what_the_limits_cannot_carry) {
  StubLimits limits;
  // Ten requests take 3.3 s, of which 1.5 s may be spent in the queue.
  const auto harness = MakeOverloaded(limits, 10, 0);
  harness->Apply(harness->flow->Start(kStart));
  const auto* refusal = harness->Last<SendRefusal>();
  cr_assert_not_null(refusal);
  cr_assert_eq(refusal->status, 503);
  const double expected = 10 * 1'000.0 / 3 - 1'500 + 300;
  cr_assert_leq(refusal->retry_after_ms, expected);
  cr_assert_geq(refusal->retry_after_ms, expected / 2 - 1);
}

Test(limited_endpoint, keeps_what_the_limits_carry_in_time) {
  StubLimits limits;
  const auto harness = MakeOverloaded(limits, 3, 0);
  harness->Apply(harness->flow->Start(kStart));
  cr_assert_null(harness->Last<SendRefusal>());
  limits.permits["e1"] = 1;
  harness->Apply(harness->flow->OnCapacity(kStart + kernel::Millis{100}));
  cr_assert_eq(harness->Last<CallEndpoint>()->endpoint.id, "e1");
}

Test(limited_endpoint, does_not_let_urgent_requests_wait_for_others) {
  StubLimits limits;
  const auto harness = MakeOverloaded(limits, 10, 5);
  harness->Apply(harness->flow->Start(kStart));
  cr_assert_null(harness->Last<SendRefusal>());
}

Test(limited_endpoint, gives_the_time_to_return_from_the_rate) {
  StubLimits limits;
  const auto harness = MakeOverloaded(limits, 4, 0);
  harness->Apply(harness->flow->Start(kStart));
  cr_assert_null(harness->Last<SendRefusal>());
  harness->Apply(harness->flow->OnTimer(kStart + kernel::Millis{1'500}));
  const auto* refusal = harness->Last<SendRefusal>();
  cr_assert_not_null(refusal);
  cr_assert_geq(refusal->retry_after_ms, 300 / 2);
  cr_assert_leq(refusal->retry_after_ms, 5 * 1'000 / 3);
}

Test(limited_endpoint, is_reported_by_what_its_responses_say) {
  FlowHarness harness(false, true);
  harness.Apply(harness.flow->Start(kStart));
  const auto call = *harness.Last<CallEndpoint>();
  ResponseHead head = HeadOf(200);
  head.max_requests_per_second = 2.5;
  const auto later = kStart + kernel::Millis{40};
  harness.Apply(harness.flow->OnHead(call.attempt, head, later));
  const auto* report = harness.Last<ReportRateLimit>();
  cr_assert_not_null(report);
  cr_assert_eq(report->endpoint, call.endpoint.id);
  cr_assert_eq(*report->per_second, 2.5);
  cr_assert_eq((report->sent_at - kStart).count(), 0);
}

Test(limited_endpoint, is_not_reported_by_another_server) {
  for (const bool is_replaced : {true, false}) {
    FlowHarness harness(false, true);
    harness.Apply(harness.flow->Start(kStart));
    const auto attempt = harness.Last<CallEndpoint>()->attempt;
    ResponseHead head = HeadOf(is_replaced ? 421 : 503);
    head.not_run = true;
    head.wrong_endpoint = is_replaced;
    head.is_signed = false;
    if (is_replaced) head.max_requests_per_second = 2.5;
    harness.Apply(harness.flow->OnHead(attempt, head, kStart));
    cr_assert_null(harness.Last<ReportRateLimit>());
  }
}

}  // namespace banyanlane::direct
