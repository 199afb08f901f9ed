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

/// An answer is acknowledged each time this share of the unread window has been
/// taken.
constexpr std::uint64_t kAcknowledgeShare = 4;
constexpr std::uint64_t kRevokeShare = 10;
/// Keeps labels of flows that follow the same answer apart.
constexpr std::uint64_t kLabelsPerFlow = 1'000'000;
constexpr std::string_view kRequestHeader = "banyanlane-request";

/// Whether coming back can help after `reason`.
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
      caller(std::move(request)),
      random(static_cast<std::minstd_rand::result_type>(seed)),
      first_resume_label(seed * kLabelsPerFlow) {}

FlowActions RequestFlow::Start(kernel::TimePoint now) {
  this->deadline = now + kernel::Millis(this->caller.deadline_ms);
  const auto standing =
      this->context.evidence.CrashStatusOf(this->caller.fingerprint, now);
  const bool keyed = !this->caller.key.empty();
  if (standing == evidence::CrashStatus::kQuarantined && !keyed) {
    this->GiveUp(Reason::kQuarantined, "admit", 0);
    return this->Take();
  }
  this->context.retry_budget.OnFirstAttempt(*this->caller.profile,
                                            this->caller.organisation);
  if (keyed) {
    this->SubmitKeyed(now);
  } else {
    this->Attempt(now);
  }
  return this->Take();
}

FlowActions RequestFlow::StartFrom(const AnswerName& name, std::uint64_t offset,
                                   kernel::TimePoint now) {
  this->deadline = now + kernel::Millis(this->caller.deadline_ms);
  this->any_unknown = true;
  this->resumed = true;
  this->answer = std::make_unique<AnswerAssembly>(offset);
  this->acknowledged = offset;
  this->wire_request = name.request;
  this->label = this->first_resume_label;
  this->attempts = static_cast<std::uint64_t>(this->caller.profile->attempts);
  const auto holder = this->context.directory.FindNode(name.node, now);
  if (!holder || holder->incarnation != name.incarnation) {
    this->GiveUp(holder ? Reason::kNotFound : Reason::kNoEndpoint, "resume", 0);
    return this->Take();
  }
  this->Reattach(*holder);
  return this->Take();
}

void RequestFlow::Attempt(kernel::TimePoint now) {
  RouteRequest route;
  route.service = this->caller.profile->service;
  route.affinity = this->caller.affinity;
  route.fingerprint = this->caller.fingerprint;
  route.suspect =
      this->context.evidence.CrashStatusOf(this->caller.fingerprint, now) !=
      evidence::CrashStatus::kClear;
  route.avoid = this->tried;
  auto choice = this->context.directory.Choose(route, now);
  if (!choice && this->any_unknown) {
    // Endpoints that failed may be back; those that refused would refuse again.
    route.avoid = this->refused_by;
    choice = this->context.directory.Choose(route, now);
  }
  if (!choice) {
    const bool refused = this->last_refusal != Reason::kNone;
    this->GiveUp(refused ? this->last_refusal : Reason::kNoEndpoint, "route",
                 this->last_retry_after_ms);
    return;
  }
  this->Submit(*choice, now);
}

void RequestFlow::SubmitKeyed(kernel::TimePoint now) {
  const auto key = agent::IdempotencyKey::Parse(this->caller.key);
  if (!key) {
    this->GiveUp(Reason::kWrongIncarnation, "claim_key", 0);
    return;
  }
  // Only the process that the key names can tell whether its work has run.
  this->any_unknown = true;
  const auto home = this->context.directory.FindNode(key->agent, now);
  if (!home) {
    this->GiveUp(Reason::kNoEndpoint, "claim_key", 0);
    return;
  }
  if (home->incarnation != key->incarnation) {
    this->GiveUp(Reason::kWrongIncarnation, "claim_key", 0);
    return;
  }
  this->Submit(*home, now);
}

std::uint64_t RequestFlow::AgentTimeAt(const EndpointView& endpoint,
                                       kernel::TimePoint when,
                                       kernel::TimePoint now) const {
  const auto left = std::max<std::int64_t>(0, kernel::MillisBetween(now, when));
  return endpoint.clock_ms + static_cast<std::uint64_t>(left);
}

void RequestFlow::Submit(const EndpointView& endpoint, kernel::TimePoint now) {
  this->endpoint = endpoint;
  this->tried.insert(endpoint.node);
  this->context.directory.OnAssigned(endpoint.node);
  ++this->attempts;
  ++this->label;
  this->wire_request = this->id + "." + std::to_string(this->attempts);
  this->state = State::kSubmitted;
  this->revoked = false;
  this->acknowledged = 0;
  this->answer = std::make_unique<AnswerAssembly>();
  link::Submit submit;
  submit.request = this->wire_request;
  submit.attempt = this->label;
  submit.incarnation = endpoint.incarnation;
  submit.organisation = this->caller.organisation;
  submit.profile = this->caller.profile->name;
  submit.priority = this->caller.priority;
  submit.start_by_ms = this->AgentTimeAt(endpoint, this->deadline, now);
  submit.deadline_ms = submit.start_by_ms;
  submit.reserved_tokens = this->caller.reserved_tokens;
  submit.non_streaming = this->caller.non_streaming;
  submit.key = this->caller.key;
  submit.fingerprint = this->caller.fingerprint;
  submit.method = this->caller.method;
  submit.target = this->caller.target;
  submit.headers = this->caller.headers;
  submit.body = link::Blob{this->caller.body};
  this->start_by_ms = submit.start_by_ms;
  this->SendToEndpoint(std::move(submit));
}

void RequestFlow::Reattach(const EndpointView& endpoint) {
  if (!this->endpoint) this->context.directory.OnAssigned(endpoint.node);
  this->endpoint = endpoint;
  ++this->label;
  this->state = this->answer->HasHead() ? State::kAnswering : State::kStarted;
  this->acknowledged = this->answer->Received();
  this->actions.push_back(
      FlowReport{EventId::kAnswerResumed,
                 {{"request", this->wire_request},
                  {"offset", std::to_string(this->answer->Received())}}});
  this->SendToEndpoint(link::Resume{this->wire_request, this->label,
                                    this->caller.organisation,
                                    this->answer->Received()});
}

FlowActions RequestFlow::OnMessage(std::uint64_t link, link::Message message,
                                   kernel::TimePoint now) {
  const bool from_endpoint = this->endpoint && this->endpoint->link == link;
  if (this->IsDone() || !from_endpoint) return this->Take();
  std::visit([this, now](auto& known) { this->On(known, now); }, message);
  return this->Take();
}

bool RequestFlow::IsCurrent(const std::string& request,
                            std::uint64_t attempt) const {
  return request == this->wire_request && attempt == this->label;
}

void RequestFlow::On(const link::Started& started, kernel::TimePoint /*now*/) {
  if (!this->IsCurrent(started.request, started.attempt)) return;
  if (this->state == State::kSubmitted) this->state = State::kStarted;
}

void RequestFlow::On(link::Head& head, kernel::TimePoint /*now*/) {
  if (!this->IsCurrent(head.request, head.attempt)) return;
  if (head.incarnation != this->endpoint->incarnation ||
      this->answer->HasHead())
    return;
  this->state = State::kAnswering;
  const AnswerName name{this->endpoint->node, this->endpoint->incarnation,
                        this->wire_request};
  head.headers.emplace_back(kRequestHeader, name.Format());
  this->answer->SetHead(static_cast<int>(head.status), std::move(head.headers));
}

void RequestFlow::On(const link::Chunk& chunk, kernel::TimePoint /*now*/) {
  if (!this->IsCurrent(chunk.request, chunk.attempt)) return;
  const bool foreign = chunk.incarnation != this->endpoint->incarnation;
  if (foreign || !this->answer->HasHead()) return;
  const AnswerAssembly::Taken taken = this->answer->Take(chunk);
  if (taken == AnswerAssembly::Taken::kOld) return;
  if (taken == AnswerAssembly::Taken::kGap) {
    // Asks for the missing part again instead of passing on a hole.
    this->Reattach(*this->endpoint);
    return;
  }
  const bool too_long =
      this->answer->HeldBytes() > this->context.limits.whole_answer_bytes;
  if (this->answer->IsEventStream() || too_long || this->streaming) {
    this->BeginStreaming();
    return;
  }
  this->AcknowledgeUpTo(this->answer->Received());
}

void RequestFlow::BeginStreaming() {
  if (!this->streaming) {
    this->streaming = true;
    this->actions.push_back(
        DeliverHead{this->answer->status(), this->answer->headers()});
  }
  if (this->answer->HeldBytes() == 0) return;
  DeliverData part;
  part.data = this->answer->Release();
  part.end_offset = this->answer->Received();
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
    this->GiveUp(Reason::kAnswerTooLarge, "replay", 0);
    return;
  }
  if (!this->answer->IsWhole(ended)) {
    this->OnUnknown(Reason::kEndpointFailed, 0, now);
    return;
  }
  this->ReleaseEndpoint();
  if (this->streaming || this->resumed) {
    this->BeginStreaming();
    this->actions.push_back(DeliverEnd{});
  } else {
    DeliverWhole whole_answer;
    whole_answer.response.status = this->answer->status();
    whole_answer.response.headers = this->answer->headers();
    whole_answer.response.body = this->answer->Release();
    this->actions.push_back(std::move(whole_answer));
  }
  this->Finish();
}

void RequestFlow::OnNotRun(const link::Ended& ended, kernel::TimePoint now) {
  // For a keyed request this is final: the agent will never run that key.
  if (!this->caller.key.empty()) this->any_unknown = false;
  this->last_refusal = ended.reason;
  this->refused_by.insert(this->endpoint->node);
  this->last_retry_after_ms = ended.retry_after_ms;
  const bool can_move =
      this->caller.key.empty() && ended.reason != Reason::kQuarantined &&
      ended.reason != Reason::kUnknownProfile && !this->revoked;
  if (can_move && this->CanRetry(false, now)) {
    this->Retry(ended.reason, now);
    return;
  }
  const Reason reason = this->revoked ? Reason::kDeadline : ended.reason;
  this->GiveUp(reason, "agent", ended.retry_after_ms);
}

void RequestFlow::OnUnknown(Reason reason, std::uint64_t retry_after_ms,
                            kernel::TimePoint now) {
  this->any_unknown = true;
  this->last_refusal = reason;
  const auto standing =
      this->context.evidence.CrashStatusOf(this->caller.fingerprint, now);
  if (standing == evidence::CrashStatus::kQuarantined) {
    this->GiveUp(Reason::kQuarantined, "endpoint", 0);
    return;
  }
  const bool can_move = this->caller.key.empty() &&
                        this->caller.profile->repeatable && !this->streaming;
  if (can_move && this->CanRetry(true, now)) {
    this->Retry(reason, now);
    return;
  }
  this->GiveUp(reason, "endpoint", retry_after_ms);
}

bool RequestFlow::CanRetry(bool used_capacity, kernel::TimePoint now) {
  const bool left = this->attempts <
                    static_cast<std::uint64_t>(this->caller.profile->attempts);
  if (!left || now >= this->deadline) return false;
  // A refusal cost the endpoint nothing, so it does not draw on the budget.
  if (!used_capacity) return true;
  return this->context.retry_budget.TakeRetry(*this->caller.profile,
                                              this->caller.organisation);
}

void RequestFlow::Retry(Reason reason, kernel::TimePoint now) {
  this->actions.push_back(
      FlowReport{EventId::kRequestRetried,
                 {{"request", this->wire_request},
                  {"peer", this->endpoint->node},
                  {"reason", std::string(link::ReasonName(reason))}}});
  this->ReleaseEndpoint();
  this->Attempt(now);
}

void RequestFlow::GiveUp(Reason reason, std::string_view step,
                         std::uint64_t retry_after_ms) {
  Problem problem;
  const bool replayed = reason == Reason::kAnswerTooLarge;
  problem.outcome =
      replayed ? Outcome::kCompleted
               : (this->any_unknown ? Outcome::kUnknown : Outcome::kNotRun);
  if (this->attempts == 0 && this->any_unknown)
    problem.attempt_outcome = Outcome::kNotRun;
  problem.status = StatusFor(reason, problem.outcome);
  problem.reason = std::string(link::ReasonName(reason));
  problem.step = std::string(step);
  if (this->endpoint) problem.peer = this->endpoint->node;
  if (IsTransient(reason)) {
    const auto fallback =
        static_cast<std::uint64_t>(this->context.limits.retry_after.count());
    problem.retry_after_ms =
        this->Jittered(retry_after_ms > 0 ? retry_after_ms : fallback);
  }
  this->ReleaseEndpoint();
  const EventId event =
      this->streaming ? EventId::kAnswerCut : EventId::kRequestRefused;
  this->actions.push_back(
      FlowReport{event,
                 {{"request", this->id},
                  {"organisation", this->caller.organisation},
                  {"outcome", std::string(link::OutcomeName(problem.outcome))},
                  {"reason", problem.reason},
                  {"step", problem.step},
                  {"peer", problem.peer}}});
  if (this->streaming) {
    this->actions.push_back(DeliverCut{std::move(problem)});
  } else {
    this->actions.push_back(DeliverProblem{std::move(problem)});
  }
  this->Finish();
}

FlowActions RequestFlow::OnLinkUp(const std::string& node,
                                  kernel::TimePoint now) {
  const bool waited_for =
      this->state == State::kReattaching && this->endpoint->node == node;
  if (!waited_for) return this->Take();
  const auto back = this->context.directory.FindNode(node, now);
  if (!back || back->incarnation != this->endpoint->incarnation) {
    this->OnUnknown(Reason::kLinkLost, 0, now);
    return this->Take();
  }
  const bool keyed_without_head =
      !this->caller.key.empty() && !this->answer->HasHead();
  if (keyed_without_head) {
    // The agent's ledger tells whether the first copy arrived.
    this->ReleaseEndpoint();
    this->Submit(*back, now);
  } else {
    this->Reattach(*back);
  }
  return this->Take();
}

FlowActions RequestFlow::OnLinkDown(std::uint64_t link, kernel::TimePoint now) {
  const bool affected =
      !this->IsDone() && this->endpoint && this->endpoint->link == link;
  if (!affected || this->state == State::kReattaching) return this->Take();
  const bool may_wait =
      this->state != State::kSubmitted || !this->caller.key.empty();
  if (!may_wait) {
    this->OnUnknown(Reason::kLinkLost, 0, now);
    return this->Take();
  }
  this->state = State::kReattaching;
  this->reattach_until =
      std::min(this->deadline, now + this->context.limits.reattach);
  return this->Take();
}

FlowActions RequestFlow::OnTimer(kernel::TimePoint now) {
  if (this->IsDone()) return this->Take();
  if (now >= this->deadline) {
    if (this->endpoint && this->state != State::kReattaching) {
      this->SendToEndpoint(link::Cancel{this->wire_request, this->label, true});
    }
    this->any_unknown = true;
    this->GiveUp(Reason::kDeadline, "deadline", 0);
    return this->Take();
  }
  if (this->state == State::kReattaching && now >= this->reattach_until) {
    this->OnUnknown(Reason::kLinkLost, 0, now);
    return this->Take();
  }
  const bool revoke_due = this->state == State::kSubmitted && !this->revoked;
  if (revoke_due && now >= this->NextTimer()) {
    this->revoked = true;
    this->SendToEndpoint(link::Revoke{this->wire_request, this->label,
                                      this->start_by_ms,
                                      !this->caller.key.empty()});
  }
  return this->Take();
}

kernel::TimePoint RequestFlow::NextTimer() const {
  if (this->state == State::kReattaching) return this->reattach_until;
  if (this->state != State::kSubmitted || this->revoked) return this->deadline;
  const auto share = kernel::Millis(this->caller.deadline_ms / kRevokeShare);
  return this->deadline - std::min(this->context.limits.revoke_margin, share);
}

FlowActions RequestFlow::OnCallerTook(std::uint64_t offset,
                                      kernel::TimePoint /*now*/) {
  if (!this->IsDone() && this->state != State::kReattaching)
    this->AcknowledgeUpTo(offset);
  return this->Take();
}

void RequestFlow::AcknowledgeUpTo(std::uint64_t offset) {
  const auto window =
      static_cast<std::uint64_t>(this->caller.profile->unread_window_bytes);
  if (offset < this->acknowledged + window / kAcknowledgeShare) return;
  this->acknowledged = offset;
  this->SendToEndpoint(link::Consumed{this->wire_request, this->label, offset});
}

FlowActions RequestFlow::OnCallerGone(kernel::TimePoint /*now*/) {
  if (this->IsDone()) return this->Take();
  if (this->endpoint && this->state != State::kReattaching) {
    // Before its head is delivered the caller has no name to come back with.
    const bool can_return = this->streaming;
    this->SendToEndpoint(
        link::Cancel{this->wire_request, this->label, !can_return});
  }
  this->ReleaseEndpoint();
  this->Finish();
  return this->Take();
}

void RequestFlow::ReleaseEndpoint() {
  if (!this->endpoint) return;
  this->context.directory.OnReleased(this->endpoint->node);
  this->endpoint.reset();
}

void RequestFlow::Finish() { this->state = State::kDone; }

std::uint64_t RequestFlow::Jittered(std::uint64_t millis) {
  // Spread over half to one and a half times, so that callers do not return
  // together.
  std::uniform_int_distribution<std::uint64_t> spread(millis / 2,
                                                      millis + millis / 2);
  return std::max<std::uint64_t>(1, spread(this->random));
}

void RequestFlow::SendToEndpoint(link::Message message) {
  this->actions.push_back(
      SendToAgent{this->endpoint->link, std::move(message)});
}

FlowActions RequestFlow::Take() {
  FlowActions taken;
  taken.swap(this->actions);
  return taken;
}

}  // namespace banyanlane::entry
