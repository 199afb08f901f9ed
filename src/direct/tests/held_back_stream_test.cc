#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

const DirectLimits kLimits;

std::string EventOf(int number, std::size_t bytes) {
  return "id: " + std::to_string(number) +
         "\ndata: " + std::string(bytes, 'x') + "\n\n";
}

/// Stream whose caller has taken nothing, so that its endpoint is held back.
class HeldBackStream : public FlowHarness {
 public:
  HeldBackStream() : FlowHarness(true, true) {
    this->Apply(this->flow->Start(kStart));
    this->Apply(this->flow->OnHead(1, HeadOf(200), kStart));
    while (this->Count<PauseCall>() == 0) this->SendNext(kStart);
  }

  void SendNext(kernel::TimePoint now) {
    const std::string event =
        EventOf(++this->events, kLimits.max_undelivered_bytes / 8);
    this->Apply(this->flow->OnData(1, event, now));
  }

  /// Records that another endpoint has sent an event.
  void ProgressElsewhere(kernel::TimePoint now) {
    const auto other = this->pool.Choose(
        "model", {this->Last<CallEndpoint>()->endpoint.id}, now);
    this->pool.OnProgress(*other, now);
    this->pool.Release(*other, AttemptResult::kCompleted, now);
  }

 private:
  int events = 0;
};

}  // namespace

// Guards against a stream that is collected without bound.
Test(held_back_stream, reads_on_when_its_caller_has_taken_more) {
  HeldBackStream stream;
  const std::size_t sent = stream.SentText().size();
  cr_expect_leq(sent, 2 * kLimits.max_undelivered_bytes);
  stream.Apply(stream.flow->OnDelivered(1, kStart));
  cr_expect_eq(stream.Count<ResumeCall>(), 0);
  stream.Apply(stream.flow->OnDelivered(sent - 1, kStart));
  cr_expect_eq(stream.Count<ResumeCall>(), 1);
  cr_expect_eq(stream.Count<PauseCall>(), 1);
  while (stream.Count<PauseCall>() == 1) stream.SendNext(kStart);
  cr_expect_leq(stream.SentText().size() - sent,
                2 * kLimits.max_undelivered_bytes);
}

// Guards against an endpoint that counts as silent for its caller's slowness.
Test(held_back_stream, is_not_sent_elsewhere) {
  HeldBackStream stream;
  auto now = kStart + kLimits.stream_stall_timeout * 2;
  stream.ProgressElsewhere(now);
  stream.Apply(stream.flow->OnTimer(now));
  cr_expect_eq(stream.Count<CancelCall>(), 0);
  stream.Apply(stream.flow->OnDelivered(stream.SentText().size(), now));
  now += kLimits.stream_stall_timeout - kernel::Millis(1);
  stream.ProgressElsewhere(now);
  stream.Apply(stream.flow->OnTimer(now));
  cr_expect_eq(stream.Count<CancelCall>(), 0);
  stream.SendNext(now);
  const auto* pause = stream.Last<ReportPause>();
  cr_assert_not_null(pause);
  cr_expect_lt(pause->pause.count(), kLimits.stream_stall_timeout.count());
}

}  // namespace banyanlane::direct
