#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

using http::SendState;

const kernel::TimePoint kSilent = kStart + DirectLimits{}.stream_stall_timeout;
const RetryLimits kNoRetries = {0.0, kernel::Millis(10'000), 0, 1.0};
const RetryLimits kRetries = {0.2, kernel::Millis(10'000), 100, 1.0};

/// Stream of which the caller has received an event, and whose endpoint is then
/// silent while another one sends events.
class SilentStream : public FlowHarness {
 public:
  explicit SilentStream(const RetryLimits& retry_limits = kRetries)
      : FlowHarness(true, true, 2, retry_limits) {
    this->Apply(this->flow->Start(kStart));
    this->Apply(this->flow->OnHead(1, HeadOf(200), kStart));
    this->Apply(this->flow->OnData(1, "id: 1\ndata: a\n\n", kStart));
    this->begun_at = this->Last<CallEndpoint>()->endpoint.id;
  }

  /// Lets the time pass after which silence counts.
  void Stall(kernel::TimePoint now) {
    this->pool.OnProgress({this->Other(), "", "model"}, now);
    this->Apply(this->flow->OnTimer(now));
  }

  std::string Other() const { return this->begun_at == "e0" ? "e1" : "e0"; }
  std::string Current() const {
    return this->Last<CallEndpoint>()->endpoint.id;
  }

  std::string begun_at;  ///< Id of the endpoint that began the stream.
};

ResponseHead Refusal() {
  ResponseHead head = HeadOf(503);
  head.not_run = true;
  return head;
}

}  // namespace

// Guards against a stream that is cut off because no other endpoint has room.
Test(silent_stream, stays_where_it_is_until_another_endpoint_has_room) {
  SilentStream stream;
  stream.FillAllEndpoints();
  stream.Stall(kSilent);
  cr_expect_eq(stream.Count<CancelCall>(), 0);
  const auto later = stream.flow->NextTimer();
  cr_expect(later > kSilent);
  stream.FreeOneSlotElsewhere();
  stream.Stall(later);
  cr_expect_eq(stream.Count<CancelCall>(), 1);
  cr_expect_eq(stream.Current(), stream.Other());
  cr_expect_eq(stream.Last<CallEndpoint>()->parameters.last_event_id, 1);
}

Test(silent_stream, goes_on_when_its_endpoint_sends_again) {
  SilentStream stream;
  stream.FillAllEndpoints();
  stream.Stall(kSilent);
  stream.Apply(stream.flow->OnData(1, "id: 2\ndata: b\n\n", kSilent));
  stream.Apply(stream.flow->OnEnd(1, kSilent));
  cr_expect_eq(stream.SentText(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_expect_eq(stream.Count<SendStreamEnd>(), 1);
}

// Guards against a place that stays taken when no retry is allowed.
Test(silent_stream, frees_the_reserved_place_without_a_retry_allowance) {
  SilentStream stream(kNoRetries);
  stream.Stall(kSilent);
  cr_expect_eq(stream.Count<CancelCall>(), 0);
  cr_expect_eq(stream.Count<CallEndpoint>(), 1);
  const auto in_flight = stream.pool.InFlight(1);
  cr_assert_eq(in_flight.size(), 1);
  cr_expect_eq(in_flight.front().first, stream.begun_at);
  cr_expect_eq(in_flight.front().second, 1);
}

// Guards against a stream that is cut off because another endpoint refuses it
// or can't be reached.
Test(silent_stream,
     returns_to_its_endpoint_when_the_other_one_does_not_run_it) {
  for (const bool is_reachable : {true, false}) {
    SilentStream stream;
    stream.Stall(kSilent);
    cr_assert_eq(stream.Current(), stream.Other());
    if (is_reachable)
      stream.Apply(stream.flow->OnHead(2, Refusal(), kSilent));
    else
      stream.Apply(stream.flow->OnFailed(2, SendState::kNotSent, kSilent));
    cr_assert_eq(stream.Count<CallEndpoint>(), 3);
    cr_expect_eq(stream.Current(), stream.begun_at);
    cr_expect_eq(stream.Count<AbortResponse>(), 0);
    stream.Apply(stream.flow->OnData(1, "id: 2\ndata: old\n\n", kSilent));
    stream.Apply(stream.flow->OnHead(3, HeadOf(200), kSilent));
    stream.Apply(stream.flow->OnData(3, "id: 2\ndata: b\n\n", kSilent));
    stream.Apply(stream.flow->OnEnd(3, kSilent));
    cr_expect_eq(stream.SentText(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_expect_eq(stream.Count<SendStreamEnd>(), 1);
  }
}

// Guards against a stream that fails because another endpoint refuses it
// before its first event.
Test(silent_stream, returns_to_its_endpoint_before_the_first_event) {
  FlowHarness stream(true, true, 2, kRetries);
  stream.Apply(stream.flow->Start(kStart));
  const std::string first = stream.Last<CallEndpoint>()->endpoint.id;
  stream.pool.OnFirstEvent({first == "e0" ? "e1" : "e0", "", "model"},
                           kernel::Millis(1), kSilent);
  stream.pool.OnProgress({first == "e0" ? "e1" : "e0", "", "model"}, kSilent);
  stream.Apply(stream.flow->OnTimer(kSilent));
  cr_assert_eq(stream.Count<CallEndpoint>(), 2);
  stream.Apply(stream.flow->OnHead(2, Refusal(), kSilent));
  cr_assert_eq(stream.Count<CallEndpoint>(), 3);
  cr_expect_eq(stream.Last<CallEndpoint>()->endpoint.id, first);
  cr_expect_eq(stream.Count<SendRefusal>(), 0);
}

Test(silent_stream, runs_at_no_more_endpoints_than_its_profile_allows) {
  SilentStream stream;
  stream.Stall(kSilent);
  stream.Apply(stream.flow->OnHead(2, Refusal(), kSilent));
  stream.Apply(stream.flow->OnFailed(3, SendState::kMaybeSent, kSilent));
  cr_expect_eq(stream.Count<CallEndpoint>(), 3);
  cr_assert_eq(stream.Count<AbortResponse>(), 1);
  cr_expect_eq(stream.Last<AbortResponse>()->reason, "answer_lost");
}

}  // namespace banyanlane::direct
