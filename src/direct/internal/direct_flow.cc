#include "direct/internal/direct_flow.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

using kernel::EventId;

constexpr int kOk = 200;
constexpr int kFirstFailureStatus = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;

bool IsSuccess(int status) { return status >= kOk && status < 300; }

/// Whether callers take `status` as a promise that the request has not run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 ||
         status == kUnavailable;
}

}  // namespace

DirectFlow::DirectFlow(DirectContext context, DirectWork work,
                       std::uint64_t seed)
    : context(context),
      request(std::move(work)),
      random(seed),
      last_event(this->request.last_event_id) {}

DirectActions DirectFlow::Start(kernel::TimePoint now) {
  this->arrived = now;
  std::int64_t bound = this->request.deadline_ms;
  if (this->request.profile->deadline_ms > 0)
    bound = std::min(bound, this->request.profile->deadline_ms);
  this->answer_by = now + kernel::Millis(bound);
  this->context.retries.OnRequest(this->request.service, now);
  this->SendOrWait(now);
  return this->Take();
}

std::int64_t DirectFlow::MillisLeft(kernel::TimePoint now) const {
  return kernel::MillisBetween(now, this->answer_by);
}

bool DirectFlow::IsCurrent(std::uint64_t number) const {
  return number == this->attempt && this->endpoint &&
         this->state != State::kDone;
}

void DirectFlow::SendOrWait(kernel::TimePoint now) {
  const bool is_new = this->attempt == 0;
  const bool others_first =
      is_new && this->context.line.Length(this->request.service) > 0;
  if (!others_first && this->Send(now)) return;
  this->Wait(now);
}

bool DirectFlow::Send(kernel::TimePoint now) {
  const auto choice =
      this->context.pool.Choose(this->request.service, this->tried, now);
  if (!choice) return false;
  this->context.line.OnServed(this->request.service, now);
  this->endpoint = choice;
  this->last_endpoint = choice->id;
  if (this->attempt == 0)
    this->waited_ms = kernel::MillisBetween(this->arrived, now);
  this->tried.insert(choice->id);
  ++this->attempt;
  ++this->sent;
  this->state = State::kSent;
  this->head = AnswerHead{};
  this->body.clear();
  this->splitter = EventSplitter{};
  const std::int64_t left = this->MillisLeft(now);
  const bool another = this->request.IsRepeatable() &&
                       this->sent < this->request.profile->attempts;
  this->attempt_until = this->answer_by;
  if (another && this->request.profile->streaming)
    this->attempt_until = now + this->context.limits.silence;
  if (another && !this->request.profile->streaming)
    this->attempt_until = now + kernel::Millis(left / 2);
  CallEndpoint call;
  call.attempt = this->attempt;
  call.endpoint = *choice;
  call.terms.endpoint_id = choice->id;
  call.terms.organisation = this->request.organisation;
  call.terms.deadline_ms = left;
  call.terms.urgency = this->request.urgency;
  call.terms.last_event_id = this->last_event;
  call.connect_timeout =
      std::min(this->context.limits.connect, kernel::Millis(left));
  this->actions.push_back(std::move(call));
  return true;
}

void DirectFlow::Wait(kernel::TimePoint now) {
  const std::string& service = this->request.service;
  if (!this->context.pool.HasEndpoints(service, this->tried, now)) {
    this->GiveUp("no_endpoint", this->context.limits.retry_after);
    return;
  }
  const kernel::Millis longest = this->LongestWait(now);
  const auto expected =
      this->context.line.ExpectedWait(service, this->request.urgency, now);
  // While a service refuses everything, how fast the line has moved says
  // nothing of how fast it will once the service is open.
  const bool is_closed = this->context.pool.IsClosed(service);
  if (!is_closed && expected && *expected > longest) {
    this->GiveUp("overloaded",
                 *expected - longest + this->context.limits.retry_after);
    return;
  }
  this->state = State::kWaiting;
  this->wait_until = now + longest;
  this->ticket = this->context.line.Join(service, this->request.urgency,
                                         this->InTimeUntil());
}

kernel::Millis DirectFlow::LongestWait(kernel::TimePoint now) const {
  const DirectLimits& limits = this->context.limits;
  const auto part = kernel::Millis(static_cast<std::int64_t>(
      static_cast<double>(this->MillisLeft(now)) * limits.longest_wait_part));
  return this->request.profile->streaming
             ? std::min(part, limits.longest_stream_wait)
             : part;
}

kernel::TimePoint DirectFlow::InTimeUntil() const {
  const auto wait = static_cast<std::int64_t>(
      static_cast<double>(this->request.profile->latency_goal_ms) *
      this->context.limits.in_time_part);
  return this->arrived + kernel::Millis(wait);
}

void DirectFlow::EndWait(kernel::TimePoint /*now*/) {
  this->context.line.Leave(this->request.service, this->request.urgency,
                           this->ticket);
  this->state = State::kIdle;
}

DirectActions DirectFlow::OnRoom(kernel::TimePoint now) {
  if (this->state != State::kWaiting) return {};
  if (this->Send(now)) {
    this->context.line.Leave(this->request.service, this->request.urgency,
                             this->ticket);
  }
  return this->Take();
}

DirectActions DirectFlow::OnHead(std::uint64_t number, AnswerHead answer,
                                 kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  this->head = std::move(answer);
  this->state = State::kAnswering;
  const bool foreign = !this->head.request_id.empty() &&
                       this->head.request_id != this->request.request_id;
  if (foreign) {
    this->Abandon(AttemptResult::kBroken);
    this->OnLost(AttemptResult::kBroken, now);
    return this->Take();
  }
  if (this->head.not_run || this->head.wrong_endpoint) {
    this->Abandon(this->head.wrong_endpoint ? AttemptResult::kReplaced
                                            : AttemptResult::kFull);
    this->OnRefused(now);
    return this->Take();
  }
  const bool unusable = IsSuccess(this->head.status) &&
                        (!this->head.is_signed || this->head.is_encoded);
  if (unusable) {
    this->Abandon(AttemptResult::kBroken);
    this->OnLost(AttemptResult::kBroken, now);
  }
  return this->Take();
}

DirectActions DirectFlow::OnData(std::uint64_t number, std::string_view data,
                                 kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  const bool as_stream =
      this->request.profile->streaming && IsSuccess(this->head.status);
  if (as_stream) {
    this->TakeEvents(data, now);
    return this->Take();
  }
  this->body += data;
  if (this->body.size() > this->context.limits.whole_answer_bytes) {
    this->Abandon(AttemptResult::kBroken);
    this->OnLost(AttemptResult::kBroken, now);
  }
  return this->Take();
}

void DirectFlow::TakeEvents(std::string_view data, kernel::TimePoint now) {
  std::string text;
  bool continues = true;
  for (const StreamEvent& event : this->splitter.Feed(data)) {
    continues = continues && this->TakeEvent(event, text);
  }
  this->context.pool.OnProgress(*this->endpoint, now);
  if (this->attempt_until != this->answer_by)
    this->attempt_until = now + this->context.limits.silence;
  if (!text.empty()) {
    if (!this->streaming) {
      this->streaming = true;
      this->actions.push_back(PassHead{this->head.status, this->head.headers});
    }
    this->actions.push_back(PassEvents{std::move(text)});
  }
  if (continues) return;
  this->Abandon(AttemptResult::kBroken);
  this->OnLost(AttemptResult::kBroken, now);
}

bool DirectFlow::TakeEvent(const StreamEvent& event, std::string& text) {
  if (event.id) {
    const bool repeated = this->last_event && *event.id <= *this->last_event;
    if (repeated) return true;
    const bool gap = this->last_event && *event.id != *this->last_event + 1;
    if (gap) return false;
    this->last_event = event.id;
  }
  text += event.text;
  return true;
}

DirectActions DirectFlow::OnEnd(std::uint64_t number, kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  const bool as_stream =
      this->request.profile->streaming && IsSuccess(this->head.status);
  if (as_stream) {
    this->OnStreamEnd(now);
  } else {
    this->OnWholeAnswer(now);
  }
  return this->Take();
}

void DirectFlow::OnStreamEnd(kernel::TimePoint now) {
  const bool nothing_to_say =
      !this->streaming && !this->request.last_event_id.has_value();
  if (this->splitter.IsMidEvent() || nothing_to_say) {
    this->Release(AttemptResult::kBroken);
    this->OnLost(AttemptResult::kBroken, now);
    return;
  }
  this->Release(AttemptResult::kAnswered);
  if (!this->streaming)
    this->actions.push_back(PassHead{this->head.status, this->head.headers});
  this->actions.push_back(PassEnd{});
  this->Finish("completed");
}

void DirectFlow::OnWholeAnswer(kernel::TimePoint now) {
  const int status = this->head.status;
  const bool failed = status >= kFirstFailureStatus;
  if (failed && this->request.IsRepeatable() && this->TakeRetry(now)) {
    this->Release(AttemptResult::kFailed);
    this->may_have_run = true;
    this->SendOrWait(now);
    return;
  }
  this->Release(failed ? AttemptResult::kFailed : AttemptResult::kAnswered);
  // The endpoint did not say that the request has not run; nor can a whole
  // answer follow the part of a stream that the caller has.
  if (this->streaming || PromisesNotRun(status)) {
    this->may_have_run = true;
    this->GiveUp("endpoint_failed", this->context.limits.retry_after);
    return;
  }
  http::HttpResponse response;
  response.status = status;
  response.headers = this->head.headers;
  response.body = std::move(this->body);
  this->actions.push_back(PassAnswer{std::move(response)});
  this->Finish("completed");
}

DirectActions DirectFlow::OnFailed(std::uint64_t number, http::SendState state,
                                   kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  if (state == http::SendState::kMaybeSent) {
    this->Release(AttemptResult::kBroken);
    this->OnLost(AttemptResult::kBroken, now);
    return this->Take();
  }
  this->Release(AttemptResult::kUnreachable);
  --this->sent;
  ++this->unreachable;
  const bool give_up =
      this->unreachable > this->context.limits.most_unreachable ||
      this->MillisLeft(now) < this->context.limits.least_time.count();
  if (give_up) {
    this->GiveUp("unreachable", this->RetryAfter());
  } else {
    this->SendOrWait(now);
  }
  return this->Take();
}

void DirectFlow::OnRefused(kernel::TimePoint now) {
  ++this->refusals;
  if (this->refusals <= this->context.limits.most_refusals &&
      this->TakeRetry(now)) {
    this->SendOrWait(now);
    return;
  }
  this->GiveUp("endpoints_full", this->RetryAfter());
}

void DirectFlow::OnLost(AttemptResult /*result*/, kernel::TimePoint now) {
  this->may_have_run = true;
  if (this->request.IsRepeatable() && this->TakeRetry(now)) {
    this->SendOrWait(now);
    return;
  }
  this->GiveUp("answer_lost", this->context.limits.retry_after);
}

bool DirectFlow::TakeRetry(kernel::TimePoint now) {
  const bool allowed =
      this->sent < this->request.profile->attempts &&
      this->MillisLeft(now) >= this->context.limits.least_time.count() &&
      this->context.retries.Take(this->request.service, this->context.gateways,
                                 now);
  if (!allowed) return false;
  this->actions.push_back(
      Report{EventId::kRequestRetried,
             {{"request", this->request.request_id},
              {"service", this->request.service},
              {"after", this->endpoint ? this->endpoint->id : ""},
              {"sent", std::to_string(this->sent)}}});
  return true;
}

DirectActions DirectFlow::OnTimer(kernel::TimePoint now) {
  if (this->state == State::kDone) return {};
  if (this->state == State::kWaiting) {
    if (now < this->wait_until && now < this->answer_by) return {};
    this->EndWait(now);
    this->GiveUp("no_room", this->RetryAfter());
    return this->Take();
  }
  if (now >= this->answer_by) {
    this->may_have_run = true;
    this->Abandon(AttemptResult::kCancelled);
    this->GiveUp("timeout", this->context.limits.retry_after);
    return this->Take();
  }
  if (now < this->attempt_until) return {};
  if (!this->IsOutlier(now)) {
    // All endpoints are silent: they wait for one another, and would elsewhere.
    this->attempt_until = now + this->context.limits.silence_check;
    return this->Take();
  }
  // Without another sending in sight, the endpoint's silence is no reason to
  // end the answer.
  if (!this->TakeRetry(now)) {
    this->attempt_until = this->answer_by;
    return this->Take();
  }
  this->may_have_run = true;
  this->Abandon(AttemptResult::kBroken);
  this->SendOrWait(now);
  return this->Take();
}

bool DirectFlow::IsOutlier(kernel::TimePoint now) const {
  if (!this->request.profile->streaming || !this->endpoint) return true;
  return this->context.pool.OthersProgress(*this->endpoint,
                                           now - this->context.limits.progress);
}

DirectActions DirectFlow::OnCallerGone(kernel::TimePoint now) {
  if (this->state == State::kDone) return {};
  if (this->state == State::kWaiting) this->EndWait(now);
  this->Abandon(AttemptResult::kCancelled);
  this->Finish("caller_gone");
  return this->Take();
}

kernel::TimePoint DirectFlow::NextTimer() const {
  if (this->state == State::kDone) return kernel::TimePoint::max();
  if (this->state == State::kWaiting)
    return std::min(this->wait_until, this->answer_by);
  return std::min(this->attempt_until, this->answer_by);
}

void DirectFlow::Abandon(AttemptResult result) {
  if (!this->endpoint) return;
  this->actions.push_back(AbandonCall{this->attempt});
  this->Release(result);
}

void DirectFlow::Release(AttemptResult result) {
  if (!this->endpoint) return;
  this->actions.push_back(ReleaseEndpoint{*this->endpoint, result});
  this->endpoint.reset();
}

kernel::Millis DirectFlow::RetryAfter() const {
  if (this->context.pool.Stands(this->request.service))
    return this->context.limits.retry_after_standing;
  return this->context.pool.IsClosed(this->request.service)
             ? this->context.limits.retry_after_closed
             : this->context.limits.retry_after;
}

void DirectFlow::GiveUp(std::string_view reason, kernel::Millis retry_after) {
  if (this->streaming) {
    // The caller has a part of the stream, which nothing else can follow.
    this->actions.push_back(CutAnswer{});
    this->Finish(reason);
    return;
  }
  Refuse refusal;
  refusal.reason = std::string(reason);
  if (this->may_have_run) {
    refusal.status = reason == "timeout" ? kTimedOut : kBadGateway;
  } else {
    refusal.status = kUnavailable;
    refusal.retry_after_ms = this->Jittered(retry_after);
  }
  this->actions.push_back(std::move(refusal));
  this->Finish(reason);
}

void DirectFlow::Finish(std::string_view outcome) {
  this->state = State::kDone;
  this->actions.push_back(
      Report{EventId::kRequestEnded,
             {{"request", this->request.request_id},
              {"profile", this->request.profile->name},
              {"outcome", std::string(outcome)},
              {"sent", std::to_string(this->sent)},
              {"endpoint", this->last_endpoint},
              {"waited_ms", std::to_string(this->waited_ms)},
              {"organisation", this->request.organisation},
              {"revision", std::to_string(this->request.config->revision)}}});
}

std::int64_t DirectFlow::Jittered(kernel::Millis span) {
  std::uniform_int_distribution<std::int64_t> part(span.count() / 2,
                                                   span.count());
  return part(this->random);
}

DirectActions DirectFlow::Take() {
  DirectActions taken;
  taken.swap(this->actions);
  return taken;
}

}  // namespace banyanlane::direct
