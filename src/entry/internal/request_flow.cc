#include "entry/internal/request_flow.h"

#include <fmt/format.h>

#include <algorithm>

#include "agent/idempotency_key.h"
#include "kernel/text.h"

namespace banyanlane::entry {
namespace {

using kernel::EventId;
using link::Outcome;
using link::Reason;

/// Number of Consumed messages that are sent to the agent for each unread
/// window of response bytes.
constexpr std::uint64_t kAcknowledgementsPerWindow = 4;
/// The revoke margin is at most the time from the request's arrival to its
/// deadline, divided by this number.
constexpr std::uint64_t kRevokeMarginDivisor = 10;
/// Number of attempt numbers that are reserved for each flow that resumes a
/// response, so that flows that resume the same one use different numbers.
constexpr std::uint64_t kAttemptNumbersPerFlow = 1'000'000;
constexpr std::string_view kRequestHeader = "banyanlane-request";

/// Returns whether the caller's retry can succeed after `reason`.
bool IsTransient(Reason reason) {
  switch (reason) {
    case Reason::kUnknownProfile:
    case Reason::kKeyConflict:
    case Reason::kKeyExpired:
    case Reason::kWrongIncarnation:
    case Reason::kQuarantined:
    case Reason::kNotFound:
    case Reason::kOffsetGone:
    case Reason::kAnswerTooLarge:
      return false;
    default:
      return true;
  }
}

}  // namespace

std::string RequestFlow::FlowIdOf(std::string_view wire_request) {
  return std::string(wire_request.substr(0, wire_request.find('.')));
}

RequestFlow::RequestFlow(FlowContext context, std::string id,
                         CallerRequest request, std::uint64_t seed)
    : context(context),
      id(std::move(id)),
      caller_request(std::move(request)),
      random(static_cast<std::minstd_rand::result_type>(seed)),
      first_resume_attempt_number(seed * kAttemptNumbersPerFlow) {}

FlowActions RequestFlow::Start(kernel::TimePoint now) {
  this->deadline = now + kernel::Millis(this->caller_request.deadline_ms);
  const auto crash_status = this->context.evidence.CrashStatusOf(
      this->caller_request.fingerprint, now);
  const bool keyed = !this->caller_request.key.empty();
  if (crash_status == evidence::CrashStatus::kQuarantined && !keyed) {
    this->Fail(Reason::kQuarantined, "admit", 0);
    return this->TakeActions();
  }
  this->context.retry_budget.OnFirstAttempt(*this->caller_request.profile,
                                            this->caller_request.organisation);
  if (keyed) {
    this->SubmitKeyed(now);
  } else {
    this->StartAttempt(now);
  }
  return this->TakeActions();
}

FlowActions RequestFlow::StartResumed(const ResponseId& response_id,
                                      std::uint64_t offset,
                                      kernel::TimePoint now) {
  this->deadline = now + kernel::Millis(this->caller_request.deadline_ms);
  this->may_have_run = true;
  this->resumed = true;
  this->assembly = std::make_unique<ResponseAssembly>(offset);
  this->acknowledged_offset = offset;
  this->wire_request = response_id.request;
  this->attempt_number = this->first_resume_attempt_number;
  // A resumed response is not retried: only its agent can continue it.
  this->attempt_count =
      static_cast<std::uint64_t>(this->caller_request.profile->attempts);
  const auto holder = this->context.directory.FindNode(response_id.node, now);
  if (!holder || holder->incarnation != response_id.incarnation) {
    this->Fail(holder ? Reason::kNotFound : Reason::kNoEndpoint, "resume", 0);
    return this->TakeActions();
  }
  this->SendResume(*holder);
  return this->TakeActions();
}

void RequestFlow::StartAttempt(kernel::TimePoint now) {
  RouteRequest route;
  route.service = this->caller_request.profile->service;
  route.affinity = this->caller_request.affinity;
  route.fingerprint = this->caller_request.fingerprint;
  route.suspect = this->context.evidence.CrashStatusOf(
                      this->caller_request.fingerprint, now) !=
                  evidence::CrashStatus::kClear;
  route.excluded_nodes = this->tried_nodes;
  auto choice = this->context.directory.Choose(route, now);
  if (!choice && this->may_have_run) {
    // Endpoints that failed during an attempt may have recovered. Those that
    // refused an attempt would refuse the next one too.
    route.excluded_nodes = this->refusing_nodes;
    choice = this->context.directory.Choose(route, now);
  }
  if (!choice) {
    const bool refused = this->last_failure_reason != Reason::kNone;
    this->Fail(refused ? this->last_failure_reason : Reason::kNoEndpoint,
               "route", this->last_retry_after_ms);
    return;
  }
  this->Submit(*choice, now);
}

void RequestFlow::SubmitKeyed(kernel::TimePoint now) {
  const auto key = agent::IdempotencyKey::Parse(this->caller_request.key);
  if (!key) {
    this->Fail(Reason::kWrongIncarnation, "claim_key", 0);
    return;
  }
  // Only the agent process that the key names knows whether the work has run.
  this->may_have_run = true;
  const auto key_endpoint = this->context.directory.FindNode(key->agent, now);
  if (!key_endpoint) {
    this->Fail(Reason::kNoEndpoint, "claim_key", 0);
    return;
  }
  if (key_endpoint->incarnation != key->incarnation) {
    this->Fail(Reason::kWrongIncarnation, "claim_key", 0);
    return;
  }
  this->Submit(*key_endpoint, now);
}

std::uint64_t RequestFlow::AgentClockMillisAt(const EndpointView& endpoint,
                                              kernel::TimePoint when,
                                              kernel::TimePoint now) const {
  const auto remaining_ms =
      std::max<std::int64_t>(0, kernel::MillisBetween(now, when));
  return endpoint.clock_ms + static_cast<std::uint64_t>(remaining_ms);
}

void RequestFlow::Submit(const EndpointView& endpoint, kernel::TimePoint now) {
  this->endpoint = endpoint;
  this->tried_nodes.insert(endpoint.node);
  this->context.directory.OnAssigned(endpoint.node);
  ++this->attempt_count;
  ++this->attempt_number;
  this->wire_request = this->id + "." + std::to_string(this->attempt_count);
  this->state = State::kSubmitted;
  this->revoke_sent = false;
  this->acknowledged_offset = 0;
  this->assembly = std::make_unique<ResponseAssembly>();
  link::Submit submit;
  submit.request = this->wire_request;
  submit.attempt = this->attempt_number;
  submit.incarnation = endpoint.incarnation;
  submit.organisation = this->caller_request.organisation;
  submit.profile = this->caller_request.profile->name;
  submit.priority = this->caller_request.priority;
  submit.start_by_ms = this->AgentClockMillisAt(endpoint, this->deadline, now);
  submit.deadline_ms = submit.start_by_ms;
  submit.reserved_tokens = this->caller_request.reserved_tokens;
  submit.non_streaming = this->caller_request.non_streaming;
  submit.key = this->caller_request.key;
  submit.fingerprint = this->caller_request.fingerprint;
  submit.method = this->caller_request.method;
  submit.target = this->caller_request.target;
  submit.headers = this->caller_request.headers;
  submit.body = link::Blob{this->caller_request.body};
  this->start_by_ms = submit.start_by_ms;
  this->SendToEndpoint(std::move(submit));
}

void RequestFlow::SendResume(const EndpointView& endpoint) {
  if (!this->endpoint) this->context.directory.OnAssigned(endpoint.node);
  this->endpoint = endpoint;
  ++this->attempt_number;
  this->state =
      this->assembly->HasHead() ? State::kResponding : State::kStarted;
  this->acknowledged_offset = this->assembly->ReceivedOffset();
  this->actions.push_back(WriteLogEvent{
      EventId::kAnswerResumed,
      {{"request", this->wire_request},
       {"offset", std::to_string(this->assembly->ReceivedOffset())}}});
  this->SendToEndpoint(link::Resume{this->wire_request, this->attempt_number,
                                    this->caller_request.organisation,
                                    this->assembly->ReceivedOffset()});
}

FlowActions RequestFlow::OnMessage(std::uint64_t link, link::Message message,
                                   kernel::TimePoint now) {
  const bool from_endpoint = this->endpoint && this->endpoint->link == link;
  if (this->IsDone() || !from_endpoint) return this->TakeActions();
  std::visit([this, now](auto& known) { this->On(known, now); }, message);
  return this->TakeActions();
}

bool RequestFlow::IsCurrent(const std::string& request,
                            std::uint64_t attempt) const {
  return request == this->wire_request && attempt == this->attempt_number;
}

void RequestFlow::On(const link::Started& started, kernel::TimePoint /*now*/) {
  if (!this->IsCurrent(started.request, started.attempt)) return;
  if (this->state == State::kSubmitted) this->state = State::kStarted;
}

void RequestFlow::On(link::Head& head, kernel::TimePoint /*now*/) {
  if (!this->IsCurrent(head.request, head.attempt)) return;
  if (head.incarnation != this->endpoint->incarnation ||
      this->assembly->HasHead())
    return;
  this->state = State::kResponding;
  const ResponseId response_id{this->endpoint->node,
                               this->endpoint->incarnation, this->wire_request};
  head.headers.emplace_back(kRequestHeader, response_id.Format());
  this->assembly->SetHead(static_cast<int>(head.status),
                          std::move(head.headers));
}

void RequestFlow::On(const link::Chunk& chunk, kernel::TimePoint /*now*/) {
  if (!this->IsCurrent(chunk.request, chunk.attempt)) return;
  const bool other_incarnation =
      chunk.incarnation != this->endpoint->incarnation;
  if (other_incarnation || !this->assembly->HasHead()) return;
  const ResponseAssembly::AddResult add_result = this->assembly->Add(chunk);
  if (add_result == ResponseAssembly::AddResult::kDuplicate) return;
  if (add_result == ResponseAssembly::AddResult::kGap) {
    // The caller must not receive a response with a gap, so the missing bytes
    // are requested again.
    this->SendResume(*this->endpoint);
    return;
  }
  const bool too_long =
      this->assembly->BufferedBytes() > this->context.limits.max_buffered_bytes;
  if (this->assembly->IsEventStream() || too_long || this->streaming) {
    this->StreamBufferedData();
    return;
  }
  this->AcknowledgeIfDue(this->assembly->ReceivedOffset());
}

void RequestFlow::StreamBufferedData() {
  if (!this->streaming) {
    this->streaming = true;
    this->actions.push_back(
        DeliverHead{this->assembly->status(), this->assembly->headers()});
  }
  if (this->assembly->BufferedBytes() == 0) return;
  DeliverData part;
  part.data = this->assembly->TakeBuffer();
  part.end_offset = this->assembly->ReceivedOffset();
  this->actions.push_back(std::move(part));
}

void RequestFlow::On(const link::Ended& ended, kernel::TimePoint now) {
  if (!this->IsCurrent(ended.request, ended.attempt)) return;
  if (ended.incarnation != this->endpoint->incarnation) return;
  switch (ended.outcome) {
    case Outcome::kCompleted:
      this->OnCompleted(ended, now);
      return;
    case Outcome::kNotRun:
      this->OnNotRun(ended, now);
      return;
    case Outcome::kUnknown:
      this->OnUnknown(ended.reason, ended.retry_after_ms, now);
      return;
  }
}

void RequestFlow::OnCompleted(const link::Ended& ended, kernel::TimePoint now) {
  if (ended.reason == Reason::kAnswerTooLarge) {
    this->Fail(Reason::kAnswerTooLarge, "replay", 0);
    return;
  }
  if (!this->assembly->IsComplete(ended)) {
    this->OnUnknown(Reason::kEndpointFailed, 0, now);
    return;
  }
  this->ReleaseEndpoint();
  if (this->streaming || this->resumed) {
    this->StreamBufferedData();
    this->actions.push_back(DeliverEnd{});
  } else {
    DeliverResponse delivery;
    delivery.response.status = this->assembly->status();
    delivery.response.headers = this->assembly->headers();
    delivery.response.body = this->assembly->TakeBuffer();
    this->actions.push_back(std::move(delivery));
  }
  this->Finish();
}

void RequestFlow::OnNotRun(const link::Ended& ended, kernel::TimePoint now) {
  // This outcome is final for a request with a key: the agent will never run
  // this work under that key.
  if (!this->caller_request.key.empty()) this->may_have_run = false;
  this->last_failure_reason = ended.reason;
  this->refusing_nodes.insert(this->endpoint->node);
  this->last_retry_after_ms = ended.retry_after_ms;
  const bool is_retryable = this->caller_request.key.empty() &&
                            ended.reason != Reason::kQuarantined &&
                            ended.reason != Reason::kUnknownProfile &&
                            !this->revoke_sent;
  if (is_retryable && this->TryTakeRetry(false, now)) {
    this->Retry(ended.reason, now);
    return;
  }
  const Reason reason = this->revoke_sent ? Reason::kDeadline : ended.reason;
  this->Fail(reason, "agent", ended.retry_after_ms);
}

void RequestFlow::OnUnknown(Reason reason, std::uint64_t retry_after_ms,
                            kernel::TimePoint now) {
  this->may_have_run = true;
  this->last_failure_reason = reason;
  const auto crash_status = this->context.evidence.CrashStatusOf(
      this->caller_request.fingerprint, now);
  if (crash_status == evidence::CrashStatus::kQuarantined) {
    this->Fail(Reason::kQuarantined, "endpoint", 0);
    return;
  }
  const bool is_retryable = this->caller_request.key.empty() &&
                            this->caller_request.profile->repeatable &&
                            !this->streaming;
  if (is_retryable && this->TryTakeRetry(true, now)) {
    this->Retry(reason, now);
    return;
  }
  this->Fail(reason, "endpoint", retry_after_ms);
}

bool RequestFlow::TryTakeRetry(bool used_capacity, kernel::TimePoint now) {
  const bool attempts_left =
      this->attempt_count <
      static_cast<std::uint64_t>(this->caller_request.profile->attempts);
  if (!attempts_left || now >= this->deadline) return false;
  // A refused attempt used no endpoint capacity, so its retry is not charged to
  // the budget.
  if (!used_capacity) return true;
  return this->context.retry_budget.TakeRetry(
      *this->caller_request.profile, this->caller_request.organisation);
}

void RequestFlow::Retry(Reason reason, kernel::TimePoint now) {
  this->actions.push_back(
      WriteLogEvent{EventId::kRequestRetried,
                    {{"request", this->wire_request},
                     {"peer", this->endpoint->node},
                     {"reason", std::string(link::ReasonName(reason))}}});
  this->ReleaseEndpoint();
  this->StartAttempt(now);
}

void RequestFlow::Fail(Reason reason, std::string_view step,
                       std::uint64_t retry_after_ms) {
  Problem problem;
  const bool has_completed = reason == Reason::kAnswerTooLarge;
  problem.outcome = has_completed ? Outcome::kCompleted
                                  : (this->may_have_run ? Outcome::kUnknown
                                                        : Outcome::kNotRun);
  // No attempt was submitted, but an earlier request with the same key may have
  // run the work.
  if (this->attempt_count == 0 && this->may_have_run)
    problem.attempt_outcome = Outcome::kNotRun;
  problem.status = StatusFor(reason, problem.outcome);
  problem.reason = std::string(link::ReasonName(reason));
  problem.step = std::string(step);
  if (this->endpoint) problem.peer = this->endpoint->node;
  if (IsTransient(reason)) {
    const auto fallback = static_cast<std::uint64_t>(
        this->context.limits.default_retry_after.count());
    problem.retry_after_ms =
        this->AddJitter(retry_after_ms > 0 ? retry_after_ms : fallback);
  }
  this->ReleaseEndpoint();
  const EventId event =
      this->streaming ? EventId::kAnswerCut : EventId::kRequestRefused;
  this->actions.push_back(WriteLogEvent{
      event,
      {{"request", this->id},
       {"organisation", this->caller_request.organisation},
       {"outcome", std::string(link::OutcomeName(problem.outcome))},
       {"reason", problem.reason},
       {"step", problem.step},
       {"peer", problem.peer}}});
  if (this->streaming) {
    this->actions.push_back(DeliverAbort{std::move(problem)});
  } else {
    this->actions.push_back(DeliverProblem{std::move(problem)});
  }
  this->Finish();
}

FlowActions RequestFlow::OnLinkUp(const std::string& node,
                                  kernel::TimePoint now) {
  const bool is_awaited_node =
      this->state == State::kAwaitingLink && this->endpoint->node == node;
  if (!is_awaited_node) return this->TakeActions();
  const auto restored = this->context.directory.FindNode(node, now);
  if (!restored || restored->incarnation != this->endpoint->incarnation) {
    this->OnUnknown(Reason::kLinkLost, 0, now);
    return this->TakeActions();
  }
  const bool keyed_without_head =
      !this->caller_request.key.empty() && !this->assembly->HasHead();
  if (keyed_without_head) {
    // The agent's ledger ensures that the work runs at most once, whether or
    // not the first Submit message arrived.
    this->ReleaseEndpoint();
    this->Submit(*restored, now);
  } else {
    this->SendResume(*restored);
  }
  return this->TakeActions();
}

FlowActions RequestFlow::OnLinkDown(std::uint64_t link, kernel::TimePoint now) {
  const bool affected =
      !this->IsDone() && this->endpoint && this->endpoint->link == link;
  if (!affected || this->state == State::kAwaitingLink)
    return this->TakeActions();
  // An agent that loses the link cancels queued work, so a response can be
  // resumed only if its work is known to have started. A request with a key can
  // be submitted again instead.
  const bool may_wait =
      this->state != State::kSubmitted || !this->caller_request.key.empty();
  if (!may_wait) {
    this->OnUnknown(Reason::kLinkLost, 0, now);
    return this->TakeActions();
  }
  this->state = State::kAwaitingLink;
  this->link_wait_deadline =
      std::min(this->deadline, now + this->context.limits.link_wait_timeout);
  return this->TakeActions();
}

FlowActions RequestFlow::OnTimer(kernel::TimePoint now) {
  if (this->IsDone()) return this->TakeActions();
  if (now >= this->deadline) {
    if (this->endpoint && this->state != State::kAwaitingLink) {
      this->SendToEndpoint(
          link::Cancel{this->wire_request, this->attempt_number, true});
    }
    this->may_have_run = true;
    this->Fail(Reason::kDeadline, "deadline", 0);
    return this->TakeActions();
  }
  if (this->state == State::kAwaitingLink && now >= this->link_wait_deadline) {
    this->OnUnknown(Reason::kLinkLost, 0, now);
    return this->TakeActions();
  }
  const bool revoke_due =
      this->state == State::kSubmitted && !this->revoke_sent;
  if (revoke_due && now >= this->NextTimer()) {
    this->revoke_sent = true;
    this->SendToEndpoint(link::Revoke{this->wire_request, this->attempt_number,
                                      this->start_by_ms,
                                      !this->caller_request.key.empty()});
  }
  return this->TakeActions();
}

kernel::TimePoint RequestFlow::NextTimer() const {
  if (this->state == State::kAwaitingLink) return this->link_wait_deadline;
  if (this->state != State::kSubmitted || this->revoke_sent)
    return this->deadline;
  const auto max_margin =
      kernel::Millis(this->caller_request.deadline_ms / kRevokeMarginDivisor);
  return this->deadline -
         std::min(this->context.limits.revoke_margin, max_margin);
}

FlowActions RequestFlow::OnCallerConsumed(std::uint64_t offset,
                                          kernel::TimePoint /*now*/) {
  if (!this->IsDone() && this->state != State::kAwaitingLink)
    this->AcknowledgeIfDue(offset);
  return this->TakeActions();
}

void RequestFlow::AcknowledgeIfDue(std::uint64_t offset) {
  const auto window = static_cast<std::uint64_t>(
      this->caller_request.profile->unread_window_bytes);
  if (offset < this->acknowledged_offset + window / kAcknowledgementsPerWindow)
    return;
  this->acknowledged_offset = offset;
  this->SendToEndpoint(
      link::Consumed{this->wire_request, this->attempt_number, offset});
}

FlowActions RequestFlow::OnCallerDisconnected(kernel::TimePoint /*now*/) {
  if (this->IsDone()) return this->TakeActions();
  if (this->endpoint && this->state != State::kAwaitingLink) {
    // The response head carries the id that the caller needs to resume, so the
    // caller can't resume before it has received the head.
    const bool can_resume = this->streaming;
    this->SendToEndpoint(
        link::Cancel{this->wire_request, this->attempt_number, !can_resume});
  }
  this->ReleaseEndpoint();
  this->Finish();
  return this->TakeActions();
}

void RequestFlow::ReleaseEndpoint() {
  if (!this->endpoint) return;
  this->context.directory.OnReleased(this->endpoint->node);
  this->endpoint.reset();
}

void RequestFlow::Finish() { this->state = State::kDone; }

std::uint64_t RequestFlow::AddJitter(std::uint64_t millis) {
  std::uniform_int_distribution<std::uint64_t> distribution(
      millis / 2, millis + millis / 2);
  return std::max<std::uint64_t>(1, distribution(this->random));
}

void RequestFlow::SendToEndpoint(link::Message message) {
  this->actions.push_back(
      SendToAgent{this->endpoint->link, std::move(message)});
}

FlowActions RequestFlow::TakeActions() {
  FlowActions result;
  result.swap(this->actions);
  return result;
}

}  // namespace banyanlane::entry
