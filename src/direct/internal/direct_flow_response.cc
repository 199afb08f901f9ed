#include <algorithm>

#include "direct/internal/direct_flow.h"
#include "kernel/text.h"

namespace banyanlane::direct {
namespace {

constexpr int kOk = 200;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kUnavailable = 503;

bool IsSuccess(int status) { return status >= kOk && status < 300; }

/// Returns whether callers take `status` as a promise that the request has not
/// run.
bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 ||
         status == kUnavailable;
}

/// Returns whether `event` consists of comments only, which belong to no event.
bool IsComment(const StreamEvent& event) {
  const auto lines = kernel::Split(event.text, '\n');
  return std::all_of(lines.begin(), lines.end(), [](std::string_view line) {
    return line.empty() || line == "\r" || line.front() == ':';
  });
}

}  // namespace

DirectActions DirectFlow::OnHead(std::uint64_t number,
                                 ResponseHead response_head,
                                 kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  this->head = std::move(response_head);
  this->state = State::kResponding;
  const bool is_foreign = !this->head.request_id.empty() &&
                          this->head.request_id != this->request.request_id;
  if (is_foreign) {
    this->CancelAttempt(AttemptResult::kBroken);
    this->OnResponseLost(AttemptResult::kBroken, now);
    return this->TakeActions();
  }
  this->ReportLimit();
  this->RecordLeaving(now);
  this->RecordRest(now);
  if (this->head.not_run || this->head.wrong_endpoint) {
    this->CancelAttempt(this->head.wrong_endpoint ? AttemptResult::kReplaced
                                                  : AttemptResult::kFull);
    this->OnRefused(now);
    return this->TakeActions();
  }
  this->ExpectBody();
  const bool is_unusable = IsSuccess(this->head.status) &&
                           (!this->head.is_signed || this->head.is_encoded ||
                            !this->CanContinueStream());
  if (is_unusable) {
    this->CancelAttempt(AttemptResult::kBroken);
    this->OnResponseLost(AttemptResult::kBroken, now);
  }
  return this->TakeActions();
}

void DirectFlow::ExpectBody() {
  const bool is_stream =
      this->request.ExpectsEvents() && IsSuccess(this->head.status);
  const bool has_body = this->request.message.method != http::kHeadMethod;
  if (is_stream || !has_body || !this->head.body_bytes) return;
  this->expected_bytes = static_cast<std::size_t>(std::min<std::uint64_t>(
      *this->head.body_bytes, this->context.limits.max_response_bytes));
  // Growth in steps would need up to three times the memory.
  this->body.reserve(this->expected_bytes);
}

bool DirectFlow::CanContinueStream() const {
  if (!this->attempt_resumes) return true;
  return this->head.status == this->stream_status &&
         this->head.media_type == this->stream_media_type;
}

void DirectFlow::ReportLimit() {
  const auto limit = this->head.max_requests_per_second;
  // A refusal without a signature may come from another server, so that it does
  // not end a limit.
  const bool shows_limit = limit || this->head.is_signed;
  if (this->head.wrong_endpoint || !shows_limit) return;
  this->actions.push_back(
      ReportRateLimit{this->endpoint->id, limit, this->attempt_began_at});
}

void DirectFlow::RecordLeaving(kernel::TimePoint now) {
  const bool is_leaving = this->head.is_leaving && !this->head.wrong_endpoint;
  if (!is_leaving || !this->context.pool.OnLeaving(*this->endpoint, now))
    return;
  this->actions.push_back(WriteLogEvent{kernel::EventId::kEndpointLeaving,
                                        {{"endpoint", this->endpoint->id}}});
}

void DirectFlow::RecordRest(kernel::TimePoint now) {
  if (!this->head.rest || this->head.wrong_endpoint) return;
  this->context.pool.OnRestAsked(*this->endpoint, *this->head.rest, now);
  this->actions.push_back(
      WriteLogEvent{kernel::EventId::kEndpointResting,
                    {{"endpoint", this->endpoint->id},
                     {"rest_ms", std::to_string(this->head.rest->count())}}});
}

DirectActions DirectFlow::OnData(std::uint64_t number, std::string_view data,
                                 kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  const bool is_stream =
      this->request.ExpectsEvents() && IsSuccess(this->head.status);
  if (is_stream) {
    this->ProcessEvents(data, now);
    return this->TakeActions();
  }
  this->body += data;
  if (this->body.size() > this->context.limits.max_response_bytes) {
    this->CancelAttempt(AttemptResult::kBroken);
    this->OnResponseLost(AttemptResult::kBroken, now);
  }
  return this->TakeActions();
}

void DirectFlow::ProcessEvents(std::string_view data, kernel::TimePoint now) {
  std::string text;
  bool continues = true;
  const std::vector<StreamEvent> events = this->splitter.Feed(data);
  for (const StreamEvent& event : events)
    continues = continues && this->AppendEvent(event, text);
  if (!events.empty()) this->OnProgress(now);
  if (!text.empty()) {
    if (!this->head_sent) {
      this->head_sent = true;
      this->stream_status = this->head.status;
      this->stream_media_type = this->head.media_type;
      this->actions.push_back(
          SendStreamHead{this->head.status, this->head.headers});
    }
    this->undelivered_bytes += text.size();
    this->actions.push_back(SendEvents{std::move(text)});
    this->HoldBackEndpoint();
  }
  const bool is_endless =
      this->splitter.PartialEventBytes() > this->context.limits.max_event_bytes;
  if (continues && !is_endless) return;
  this->CancelAttempt(AttemptResult::kBroken);
  this->OnResponseLost(AttemptResult::kBroken, now);
}

void DirectFlow::OnProgress(kernel::TimePoint now) {
  this->context.pool.OnProgress(*this->endpoint, now);
  const auto pause = this->progress.OnEvents(now);
  // A pause between two attempts is not one of the endpoint.
  if (pause && this->attempt_has_events) {
    const kernel::Millis goal(this->request.profile->pause_goal_ms);
    this->context.pool.OnPause(this->request.service, *pause, goal, now);
    this->actions.push_back(ReportPause{*pause});
  }
  if (!this->attempt_has_events) {
    this->attempt_has_events = true;
    this->first_event_at = now;
    this->actions.push_back(ReportBegun{this->attempt_began_at});
    this->context.pool.OnFirstEvent(*this->endpoint,
                                    std::chrono::duration_cast<kernel::Millis>(
                                        now - this->attempt_began_at),
                                    now);
  }
  if (now - this->first_event_at >= this->context.limits.survival_time)
    this->ReportEndpointSurvived();
  if (this->attempt_deadline != this->deadline)
    this->attempt_deadline = now + this->context.limits.stream_stall_timeout;
}

bool DirectFlow::AppendEvent(const StreamEvent& event, std::string& text) {
  if (event.id) {
    const bool repeated =
        this->last_delivered_id && *event.id <= *this->last_delivered_id;
    if (repeated) return true;
    const bool gap =
        this->last_delivered_id && *event.id != *this->last_delivered_id + 1;
    if (gap) return false;
    this->last_delivered_id = event.id;
  }
  if (!IsComment(event)) {
    if (!event.id && this->attempt_resumes) return false;
    this->last_delivered_has_id = event.id.has_value();
  }
  text += event.text;
  return true;
}

DirectActions DirectFlow::OnEnd(std::uint64_t number, kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  const bool is_stream =
      this->request.ExpectsEvents() && IsSuccess(this->head.status);
  if (is_stream) {
    this->OnStreamEnd(now);
  } else {
    this->OnCompleteResponse(now);
  }
  return this->TakeActions();
}

void DirectFlow::OnStreamEnd(kernel::TimePoint now) {
  const bool is_empty_stream =
      !this->head_sent && !this->request.last_event_id.has_value();
  if (this->splitter.HasPartialEvent() || is_empty_stream) {
    this->ReportConnectionLost(now);
    this->Release(AttemptResult::kBroken);
    this->OnResponseLost(AttemptResult::kBroken, now);
    return;
  }
  this->ReportEndpointSurvived();
  this->Release(AttemptResult::kCompleted);
  if (!this->head_sent)
    this->actions.push_back(
        SendStreamHead{this->head.status, this->head.headers});
  this->actions.push_back(SendStreamEnd{});
  this->Finish("completed");
}

void DirectFlow::OnCompleteResponse(kernel::TimePoint now) {
  const int status = this->head.status;
  // An endpoint can respond with a failure without having run the work.
  if (IsSuccess(status)) this->ReportEndpointSurvived();
  const bool failed = status >= kFirstServerErrorStatus;
  if (failed && this->request.IsRepeatable() && this->TryAcquireRetry(now)) {
    this->Release(AttemptResult::kFailed);
    this->may_have_run = true;
    this->SendOrWait(now);
    return;
  }
  this->Release(failed ? AttemptResult::kFailed : AttemptResult::kCompleted);
  // Callers take these statuses as a promise that the request has not run,
  // which the endpoint did not give. And once the caller has received a part of
  // a stream, no complete response can follow.
  if (this->head_sent || ImpliesNotRun(status)) {
    this->may_have_run = true;
    this->FailRequest("endpoint_failed", this->context.limits.retry_after);
    return;
  }
  http::HttpResponse response;
  response.status = status;
  response.headers = this->head.headers;
  response.body = std::move(this->body);
  this->expected_bytes = 0;
  this->undelivered_bytes = response.body.size();
  this->actions.push_back(SendResponse{std::move(response)});
  this->Finish("completed");
}

DirectActions DirectFlow::OnStopEnd(kernel::TimePoint now) {
  if (this->state == State::kDone) return {};
  if (this->state == State::kQueued) this->LeaveQueue(now);
  if (!this->endpoint) {
    this->FailRequest("leaving", kernel::Millis(0));
    return this->TakeActions();
  }
  this->may_have_run = true;
  this->CancelAttempt(AttemptResult::kCancelled);
  this->FailRequest("timeout", this->context.limits.retry_after);
  return this->TakeActions();
}

}  // namespace banyanlane::direct
