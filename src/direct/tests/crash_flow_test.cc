#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"
#include "direct/tests/stub_limits.h"

namespace banyanlane::direct {
namespace {

using http::SendState;
using kernel::Millis;
using kernel::TimePoint;

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
const char* const kWork = "work";

/// Records as many crashes of the work as quarantine it.
void Quarantine(FlowHarness& harness) {
  TimePoint sent_at = kStart - Millis(1'000);
  for (const char* crash : {"c1", "c2", "c3"}) {
    sent_at += Millis(200);
    harness.attribution.RecordCrash({kWork}, crash, {sent_at, sent_at}, kStart);
  }
}

std::string EventOf(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

}  // namespace

Test(crash_flow, refuses_quarantined_work_at_once_as_not_run) {
  FlowHarness harness(false, true);
  Quarantine(harness);
  harness.Apply(harness.flow->Start(kStart));
  cr_assert_null(harness.Last<CallEndpoint>());
  cr_assert_eq(harness.Last<SendRefusal>()->status, kUnavailable);
  cr_assert_geq(harness.Last<SendRefusal>()->retry_after_ms, 0);
}

Test(crash_flow, does_not_retry_work_that_has_become_quarantined) {
  FlowHarness harness(false, true);
  harness.Apply(harness.flow->Start(kStart));
  Quarantine(harness);
  harness.Apply(harness.flow->OnFailed(1, SendState::kMaybeSent, kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 1);
  cr_assert_eq(harness.Last<SendRefusal>()->status, kBadGateway,
               "it may have run");
}

Test(crash_flow, refuses_queued_work_that_has_become_quarantined) {
  FlowHarness harness(false, true);
  harness.FillAllEndpoints();
  harness.Apply(harness.flow->Start(kStart));
  Quarantine(harness);
  harness.pool.Release({"e1", "", "model"}, AttemptResult::kCompleted, kStart);
  harness.Apply(harness.flow->OnCapacity(kStart));
  cr_assert_null(harness.Last<CallEndpoint>());
  cr_assert_eq(harness.Last<SendRefusal>()->status, kUnavailable);
  cr_assert_eq(harness.queue.TotalLength(), 0);
}

Test(crash_flow, reports_a_connection_that_is_lost_early_in_a_stream) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  const std::string first = harness.Last<CallEndpoint>()->endpoint.id;
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, EventOf(0), kStart + Millis(50)));
  harness.Apply(
      harness.flow->OnFailed(1, SendState::kMaybeSent, kStart + Millis(60)));
  cr_assert_eq(harness.Last<ReportLostConnection>()->endpoint.id, first);
  cr_assert_eq(harness.Count<ReportSurvival>(), 0);
}

Test(crash_flow, reports_a_stream_that_its_endpoint_has_survived) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  const TimePoint begun = kStart + Millis(400);
  const Millis survival_time = DirectLimits{}.survival_time;
  harness.Apply(harness.flow->OnData(1, EventOf(0), begun));
  harness.Apply(
      harness.flow->OnData(1, EventOf(1), begun + survival_time - Millis(1)));
  cr_assert_eq(harness.Count<ReportSurvival>(), 0);
  cr_assert_eq(harness.Count<ReportBegun>(), 1);
  harness.Apply(harness.flow->OnData(1, EventOf(2), begun + survival_time));
  harness.Apply(harness.flow->OnData(1, EventOf(3), begun + survival_time * 2));
  cr_assert_eq(harness.Count<ReportSurvival>(), 1);
  harness.Apply(harness.flow->OnFailed(1, SendState::kMaybeSent,
                                       begun + survival_time * 2));
  cr_assert_eq(harness.Count<ReportLostConnection>(), 0);
}

Test(crash_flow, probes_work_whose_quarantine_has_ended_with_one_request) {
  FlowHarness harness(false, true);
  Quarantine(harness);
  const TimePoint end = *harness.attribution.QuarantinedUntil({kWork}, kStart);
  harness.Apply(harness.flow->Start(end));
  cr_assert_not_null(harness.Last<CallEndpoint>());
  cr_assert(harness.attribution.QuarantinedUntil({kWork}, end).has_value());
  harness.Apply(harness.flow->OnFailed(1, SendState::kMaybeSent, end));
  cr_assert_eq(harness.Count<CallEndpoint>(), 1, "a probe is not retried");
}

Test(crash_flow, sends_doubtful_work_only_with_a_permit) {
  StubLimits permits;
  FlowHarness harness(false, true, 3,
                      RetryLimits{0.2, Millis(10'000), 100, 1.0}, &permits);
  const TimePoint crashed_at =
      kStart - evidence::AttributionLimits{}.permit_free_time;
  const TimePoint before = crashed_at - Millis(200);
  for (const char* crash : {"c1", "c2"})
    harness.attribution.RecordCrash({kWork}, crash, {before, before}, before);
  harness.attribution.RecordCrash({kWork}, "c3", {crashed_at, crashed_at},
                                  crashed_at);
  const std::string resource = limits::WorkResource(kWork);
  permits.SetLimit(resource, 2, crashed_at);
  harness.Apply(harness.flow->Start(kStart));
  cr_assert_null(harness.Last<CallEndpoint>());
  cr_assert_null(harness.Last<SendRefusal>(), "it waits for a permit");
  permits.permits[resource] = 1;
  harness.Apply(harness.flow->OnCapacity(kStart));
  cr_assert_not_null(harness.Last<CallEndpoint>());
  cr_assert_eq(permits.permits[resource], 0);
}

Test(crash_flow, reports_a_success_as_survived_but_no_failure) {
  for (const int status : {200, 500}) {
    FlowHarness harness(false, false);
    harness.Apply(harness.flow->Start(kStart));
    harness.Apply(harness.flow->OnHead(1, HeadOf(status), kStart));
    harness.Apply(harness.flow->OnEnd(1, kStart));
    cr_assert_eq(harness.Count<ReportSurvival>(), status == 200 ? 1 : 0);
  }
}

Test(crash_flow, reports_nothing_about_an_attempt_that_never_connected) {
  FlowHarness harness(false, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnFailed(1, SendState::kNotSent, kStart));
  cr_assert_eq(harness.Count<ReportLostConnection>(), 0);
}

}  // namespace banyanlane::direct
