#include "soak/loss_judge.h"

#include <criterion/criterion.h>

namespace banyanlane::soak {
namespace {

constexpr const char* kGateway = "g1";
constexpr kernel::TimePoint kStopAt{};

kernel::TimePoint At(int millis) { return kStopAt + kernel::Millis(millis); }

RequestSpec Spec(RequestKind kind, int deadline_ms) {
  RequestSpec spec;
  spec.name = "class";
  spec.kind = kind;
  spec.deadline = kernel::Millis(deadline_ms);
  return spec;
}

const RequestSpec kStreamSpec = Spec(RequestKind::kStream, 8'000);
const RequestSpec kUnrepeatableSpec = Spec(RequestKind::kUnrepeatable, 1'500);

SentRequest Cut(const RequestSpec& spec, int sent_ms, int ended_ms) {
  SentRequest request;
  request.id = "r1";
  request.spec = &spec;
  request.gateway = kGateway;
  request.sent_at = At(sent_ms);
  request.deadline = request.sent_at + spec.deadline;
  request.ended_at = At(ended_ms);
  request.ending = Ending::kNoResponse;
  return request;
}

/// Returns the rule that is broken by one request during a stop at time 0, or
/// "".
std::string RuleOf(const SentRequest& request, bool passed_on) {
  LossJudge judge{LossBounds{}};
  judge.OnPlannedWork(PlannedWork::kStop, kGateway, kStopAt);
  if (passed_on) {
    judge.OnArrival(request.id, request.sent_at);
    judge.OnRun(request.id);
  }
  judge.OnEnded(request);
  const auto findings = judge.Findings();
  return findings.empty() ? "" : findings.front().rule;
}

}  // namespace

Test(loss_judge, finds_a_request_that_was_passed_on_and_cut) {
  cr_expect_eq(RuleOf(Cut(kStreamSpec, 1'000, 3'000), true), "lost");
  cr_expect_eq(RuleOf(Cut(kUnrepeatableSpec, 1'000, 1'100), true), "lost");
}

Test(loss_judge, finds_a_late_request_that_is_cut_by_the_end_of_a_stop) {
  cr_expect_eq(RuleOf(Cut(kStreamSpec, 3'100, 7'300), true), "lost");
}

Test(loss_judge, excuses_early_work_in_the_last_part_of_the_grace_period) {
  cr_expect_eq(RuleOf(Cut(kStreamSpec, 2'900, 7'300), true), "");
  cr_expect_eq(RuleOf(Cut(kStreamSpec, 2'900, 6'000), true), "lost");
}

Test(loss_judge, does_not_excuse_work_that_the_server_had_finished) {
  LossJudge judge{LossBounds{}};
  judge.OnPlannedWork(PlannedWork::kStop, kGateway, kStopAt);
  judge.OnArrival("r1", At(1'000));
  judge.OnServerDone("r1", At(5'000));
  judge.OnEnded(Cut(kStreamSpec, 1'000, 7'300));
  cr_expect_eq(judge.Findings().size(), 1U);
}

Test(loss_judge, excuses_requests_whose_time_is_over) {
  cr_expect_eq(RuleOf(Cut(kUnrepeatableSpec, 1'000, 2'500), true), "");
}

Test(loss_judge, tells_unread_requests_from_unanswered_ones) {
  cr_expect_eq(RuleOf(Cut(kStreamSpec, 1'000, 1'100), false), "");
  cr_expect_eq(RuleOf(Cut(kStreamSpec, 1'000, 1'300), false), "lost");
}

Test(loss_judge, finds_a_refusal_of_work_that_has_run) {
  SentRequest request = Cut(kUnrepeatableSpec, 0, 10);
  request.ending = Ending::kComplete;
  request.status = 503;
  cr_expect_eq(RuleOf(request, true), "called not run");
  cr_expect_eq(RuleOf(request, false), "");
}

Test(loss_judge, finds_a_part_that_is_shown_as_the_whole) {
  SentRequest request = Cut(kStreamSpec, 0, 10);
  request.ending = Ending::kComplete;
  request.status = 200;
  request.has_whole_body = false;
  cr_expect_eq(RuleOf(request, true), "partial response shown as whole");
}

}  // namespace banyanlane::soak
