#include "direct/internal/leaving_endpoints.h"

#include <criterion/criterion.h>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

ResponseHead LeavingHeadOf(int status) {
  ResponseHead head = HeadOf(status);
  head.is_leaving = true;
  return head;
}

}  // namespace

Test(leaving_endpoints, are_not_used_again_by_this_gateway) {
  FlowHarness harness(false, false, 2);
  harness.Apply(harness.flow->Start(kStart));
  const std::string leaving = harness.Last<CallEndpoint>()->endpoint.id;
  harness.Apply(harness.flow->OnHead(1, LeavingHeadOf(200), kStart));
  harness.Apply(harness.flow->OnEnd(1, kStart));
  cr_assert_not_null(harness.Last<SendResponse>(), "the response is delivered");
  for (int i = 0; i < 5; ++i) {
    const auto choice = harness.pool.Choose("model", {}, kStart);
    cr_assert(!choice || choice->id != leaving);
  }
}

Test(leaving_endpoints, complete_the_streams_that_they_have) {
  FlowHarness harness(true, true, 2);
  harness.Apply(harness.flow->Start(kStart));
  harness.Apply(harness.flow->OnHead(1, LeavingHeadOf(200), kStart));
  harness.Apply(harness.flow->OnData(1, "id: 0\ndata: x\n\n", kStart));
  harness.Apply(harness.flow->OnEnd(1, kStart));
  cr_assert_eq(harness.Count<SendStreamEnd>(), 1);
  cr_assert_eq(harness.Count<CallEndpoint>(), 1);
}

Test(leaving_endpoints, do_not_get_a_resumed_stream) {
  FlowHarness harness(true, true, 2);
  harness.Apply(harness.flow->Start(kStart));
  const std::string leaving = harness.Last<CallEndpoint>()->endpoint.id;
  harness.Apply(harness.flow->OnHead(1, LeavingHeadOf(200), kStart));
  harness.Apply(harness.flow->OnFailed(1, http::SendState::kMaybeSent, kStart));
  cr_assert_eq(harness.Count<CallEndpoint>(), 2);
  cr_assert_neq(harness.Last<CallEndpoint>()->endpoint.id, leaving);
}

Test(leaving_endpoints, are_not_named_by_another_endpoint_at_the_address) {
  FlowHarness harness(false, true, 1);
  harness.Apply(harness.flow->Start(kStart));
  ResponseHead head = LeavingHeadOf(421);
  head.wrong_endpoint = true;
  harness.Apply(harness.flow->OnHead(1, head, kStart));
  cr_assert(harness.pool.HasEndpoints("model", {},
                                      kStart + PoolLimits{}.replaced_pause));
}

Test(leaving_endpoints, are_used_after_another_start) {
  LeavingEndpoints leaving;
  cr_assert(leaving.Add("e", 1, kStart));
  cr_assert_not(leaving.Add("e", 1, kStart));
  cr_assert(leaving.Contains("e", 1));
  cr_assert_not(leaving.Contains("e", 2));
}

}  // namespace banyanlane::direct
