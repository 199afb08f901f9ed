#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr std::size_t kBlockBytes = 4'096;
/// Far more than any event of a sound stream.
constexpr int kBlocks = 1'000;

}  // namespace

Test(endless_response, ends_a_stream_whose_event_never_ends) {
  FlowHarness harness(true, false);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  const std::string line = std::string(kBlockBytes - 1, 'x') + "\n";
  int blocks = 0;
  while (blocks < kBlocks && !harness.flow->IsDone()) {
    harness.Apply(harness.flow->OnData(1, line, kStart));
    ++blocks;
  }
  cr_assert_lt(blocks, kBlocks);
  cr_assert_eq(harness.Count<CancelCall>(), 1);
  cr_assert_eq(harness.Last<SendRefusal>()->status, 502);
}

Test(endless_response, continues_a_stream_elsewhere_after_its_sound_events) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "id: 0\ndata: a\n\n", kStart));
  const std::string block(kBlockBytes, 'x');
  for (int i = 0; i < kBlocks && harness.Count<CallEndpoint>() == 1; ++i)
    harness.Apply(harness.flow->OnData(1, block, kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
  cr_assert_eq(*harness.Last<CallEndpoint>()->parameters.last_event_id, 0);
  cr_assert_eq(harness.SentText(), "id: 0\ndata: a\n\n");
}

Test(endless_response, leaves_an_endpoint_that_completes_no_event) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "id: 0\ndata: a\n\n", kStart));
  const std::string other =
      harness.Last<CallEndpoint>()->endpoint.id == "e0" ? "e1" : "e0";
  TimePoint now = kStart;
  while (now < kStart + Millis(4'000) && harness.Count<CallEndpoint>() == 1) {
    now += Millis(100);
    harness.pool.OnProgress({other, "", "model"}, now);
    harness.Apply(harness.flow->OnData(1, "x", now));
    if (now >= harness.flow->NextTimer())
      harness.Apply(harness.flow->OnTimer(now));
  }
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
}

Test(endless_response, never_leaves_a_slow_stream_that_completes_events) {
  FlowHarness harness(true, true);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, HeadOf(200), kStart));
  TimePoint now = kStart;
  for (int i = 0; i < 6; ++i) {
    now += Millis(1'200);
    harness.pool.OnProgress({"other", "", "model"}, now);
    harness.Apply(harness.flow->OnData(
        1, "id: " + std::to_string(i) + "\ndata: a\n\n", now));
    if (now >= harness.flow->NextTimer())
      harness.Apply(harness.flow->OnTimer(now));
  }
  cr_assert_eq(harness.Count<CallEndpoint>(), 1);
}

}  // namespace banyanlane::direct
