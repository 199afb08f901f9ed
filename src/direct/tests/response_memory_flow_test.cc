#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

constexpr int kBadGateway = 502;
constexpr std::uint64_t kBodyBytes = 100'000;

/// Begins the response to the first attempt.
void Respond(FlowHarness& harness) {
  harness.Apply(harness.flow->Start(kStart));
  ResponseHead head = HeadOf(200);
  head.body_bytes = kBodyBytes;
  harness.Apply(harness.flow->OnHead(1, std::move(head), kStart));
}

}  // namespace

Test(response_memory_flow, counts_a_body_from_its_head_on) {
  FlowHarness harness(false, true);
  Respond(harness);
  cr_expect_eq(harness.flow->ResponseBytes(), kBodyBytes);
  harness.Apply(harness.flow->OnData(1, std::string(kBodyBytes, 'x'), kStart));
  harness.Apply(harness.flow->OnEnd(1, kStart));
  cr_expect_eq(harness.flow->ResponseBytes(), kBodyBytes,
               "until the caller has taken it");
}

// Guards against a promise that a request has not run, and against another
// attempt, which would need as much memory.
Test(response_memory_flow, gives_a_response_up_that_finds_no_memory) {
  FlowHarness harness(false, true);
  Respond(harness);
  harness.Apply(harness.flow->OnNoMemory(kStart));
  const auto* refusal = harness.Last<SendRefusal>();
  cr_assert_not_null(refusal);
  cr_expect_eq(refusal->status, kBadGateway);
  cr_expect_eq(harness.Count<CallEndpoint>(), 1);
  cr_expect_eq(harness.Count<CancelCall>(), 1);
  cr_expect(harness.flow->IsDone());
}

Test(response_memory_flow, cuts_a_stream_that_finds_no_memory) {
  FlowHarness harness(true, true);
  Respond(harness);
  cr_expect_eq(harness.flow->ResponseBytes(), 0, "events are sent on");
  const std::string event = "id: 1\ndata: x\n\n";
  harness.Apply(harness.flow->OnData(1, event, kStart));
  cr_expect_eq(harness.flow->ResponseBytes(), event.size());
  harness.Apply(harness.flow->OnDelivered(event.size(), kStart));
  cr_expect_eq(harness.flow->ResponseBytes(), 0);
  harness.Apply(harness.flow->OnNoMemory(kStart));
  cr_expect_eq(harness.Count<AbortResponse>(), 1);
  cr_expect_eq(harness.Count<SendRefusal>(), 0);
}

}  // namespace banyanlane::direct
