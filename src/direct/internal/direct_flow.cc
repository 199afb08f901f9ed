#include "direct/internal/direct_flow.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

using kernel::EventId;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr double kMillisPerSecond = 1'000;

}  // namespace

DirectFlow::DirectFlow(DirectContext context, DirectRequest direct_request,
                       std::uint64_t number)
    : context(context),
      request(std::move(direct_request)),
      number(number),
      random(static_cast<std::minstd_rand::result_type>(number)),
      last_delivered_id(this->request.last_event_id) {}

DirectActions DirectFlow::Start(kernel::TimePoint now) {
  // The end of a stop may have answered the request already.
  if (this->state == State::kDone) return {};
  this->arrived_at = now;
  if (const auto limit = this->request.TimeLimit())
    this->deadline = now + *limit;
  this->context.retries.OnRequest(this->request.service, now);
  this->SendOrWait(now);
  return this->TakeActions();
}

bool DirectFlow::IsCurrent(std::uint64_t number) const {
  return number == this->attempt && this->endpoint &&
         this->state != State::kDone;
}

bool DirectFlow::FailIfQuarantined(kernel::TimePoint now) {
  const auto until =
      this->context.attribution.QuarantinedUntil(this->request.work_keys, now);
  if (!until) {
    this->is_probe =
        this->context.attribution.TryProbe(this->request.work_keys, now);
    return false;
  }
  this->FailRequest("quarantined",
                    std::chrono::duration_cast<kernel::Millis>(*until - now));
  return true;
}

void DirectFlow::ReportEndpointSurvived() {
  if (this->attempt_survived) return;
  this->attempt_survived = true;
  this->actions.push_back(ReportSurvival{this->attempt_began_at});
}

void DirectFlow::ReportConnectionLost(kernel::TimePoint now) {
  if (this->attempt_survived || !this->endpoint) return;
  this->actions.push_back(
      ReportLostConnection{*this->endpoint, {this->attempt_began_at, now}});
}

void DirectFlow::SendOrWait(kernel::TimePoint now) {
  if (this->FailIfQuarantined(now)) return;
  const bool is_new = this->attempt == 0;
  const bool must_queue =
      is_new && this->context.queue.Length(this->request.service) > 0;
  if (!must_queue && this->Send(now)) return;
  this->WaitForCapacity(now);
}

std::optional<std::string> DirectFlow::LimitedWork(
    kernel::TimePoint now) const {
  if (this->context.rate_limits == nullptr) return std::nullopt;
  const auto key =
      this->context.attribution.DoubtfulKey(this->request.work_keys, now);
  return key ? std::optional(limits::WorkResource(*key)) : std::nullopt;
}

bool DirectFlow::Send(kernel::TimePoint now) {
  const auto choice = this->Reserve(now);
  if (!choice) return false;
  this->Dispatch(*choice, now);
  return true;
}

std::optional<EndpointChoice> DirectFlow::Reserve(kernel::TimePoint now) {
  const auto work = this->LimitedWork(now);
  const bool is_permitted =
      !work || (this->context.pool.HasCapacity(this->request.service, now) &&
                this->context.rate_limits->MaySend(*work, now));
  if (!is_permitted) return std::nullopt;
  auto choice = this->context.pool.Choose(this->request.service,
                                          this->tried_endpoints, now);
  if (choice && work) this->context.rate_limits->OnSent(*work, now);
  return choice;
}

void DirectFlow::Dispatch(const EndpointChoice& choice, kernel::TimePoint now) {
  this->context.queue.OnDispatched(this->request.service, now);
  this->endpoint = choice;
  this->last_endpoint = choice.id;
  if (this->attempt == 0)
    this->waited_ms = kernel::MillisBetween(this->arrived_at, now);
  this->tried_endpoints.insert(choice.id);
  ++this->attempt;
  ++this->sent_attempts;
  this->state = State::kSent;
  this->attempt_began_at = now;
  this->attempt_has_events = false;
  this->attempt_survived = false;
  this->attempt_resumes = this->head_sent;
  this->is_held_back = false;
  this->head = ResponseHead{};
  this->body = std::string();
  this->expected_bytes = 0;
  this->splitter = EventSplitter{};
  const auto time_left = this->TimeLeft(now);
  const bool can_retry = this->request.IsRepeatable() &&
                         this->sent_attempts < this->request.profile->attempts;
  this->attempt_deadline = this->deadline;
  if (can_retry && this->request.profile->streaming)
    this->attempt_deadline = now + this->context.limits.stream_stall_timeout;
  if (can_retry && !this->request.profile->streaming && time_left)
    this->attempt_deadline = now + *time_left / 2;
  CallEndpoint call;
  call.attempt = this->attempt;
  call.endpoint = choice;
  call.parameters.endpoint_id = choice.id;
  call.parameters.organisation = this->request.organisation;
  if (time_left) call.parameters.deadline_ms = time_left->count();
  call.parameters.urgency = this->request.urgency;
  call.parameters.last_event_id = this->last_delivered_id;
  const kernel::Millis connect_timeout = this->context.limits.connect_timeout;
  call.connect_timeout =
      std::min(connect_timeout, time_left.value_or(connect_timeout));
  this->actions.push_back(std::move(call));
}

void DirectFlow::WaitForCapacity(kernel::TimePoint now) {
  const std::string& service = this->request.service;
  if (!this->context.pool.HasEndpoints(service, this->tried_endpoints, now)) {
    this->FailRequest("no_endpoint", this->context.limits.retry_after,
                      this->RestLeft(now));
    return;
  }
  const kernel::Millis max_wait = this->MaxWait(now);
  const auto resting_until =
      this->context.pool.RestingUntil(service, this->tried_endpoints, now);
  if (resting_until && *resting_until - now > max_wait) {
    this->FailRequest("resting", this->context.limits.retry_after,
                      this->RestLeft(now));
    return;
  }
  const auto expected = this->ExpectedWait(now);
  // While a service is unavailable, the recent rate of the queue does not
  // predict the rate once the service accepts requests again.
  const bool is_unavailable = this->context.pool.IsUnavailable(service);
  if (!is_unavailable && expected && *expected > max_wait) {
    this->FailRequest("overloaded",
                      *expected - max_wait + this->context.limits.retry_after);
    return;
  }
  this->state = State::kQueued;
  this->wait_deadline = now + max_wait;
  this->ticket = this->context.queue.Enqueue(service, this->request.urgency,
                                             this->number, this->DispatchBy());
}

std::optional<kernel::Millis> DirectFlow::ExpectedWait(
    kernel::TimePoint now) const {
  const std::string& service = this->request.service;
  const std::int64_t urgency = this->request.urgency;
  const auto expected = this->context.queue.ExpectedWait(service, urgency, now);
  if (expected) return expected;
  return this->PermitWait(this->context.queue.CountAhead(service, urgency, now),
                          now);
}

std::optional<kernel::Millis> DirectFlow::PermitWait(
    std::size_t requests, kernel::TimePoint now) const {
  const auto rate =
      this->context.pool.PermittedRate(this->request.service, now);
  if (!rate) return std::nullopt;
  const double own_rate =
      *rate / static_cast<double>(this->context.gateway_count);
  return kernel::Millis(static_cast<std::int64_t>(
      static_cast<double>(requests) / own_rate * kMillisPerSecond));
}

void DirectFlow::LeaveQueue(kernel::TimePoint /*now*/) {
  this->context.queue.Remove(this->request.service, this->request.urgency,
                             this->ticket);
  this->state = State::kIdle;
}

DirectActions DirectFlow::OnCapacity(kernel::TimePoint now) {
  if (this->state != State::kQueued) return {};
  const bool is_quarantined =
      !this->is_probe &&
      this->context.attribution.QuarantinedUntil(this->request.work_keys, now);
  if (is_quarantined) {
    this->LeaveQueue(now);
    this->FailIfQuarantined(now);
    return this->TakeActions();
  }
  if (this->Send(now)) {
    this->context.queue.Remove(this->request.service, this->request.urgency,
                               this->ticket);
  }
  return this->TakeActions();
}

DirectActions DirectFlow::OnFailed(std::uint64_t number, http::SendState state,
                                   kernel::TimePoint now) {
  if (!this->IsCurrent(number)) return {};
  if (state == http::SendState::kMaybeSent) {
    this->ReportConnectionLost(now);
    this->Release(AttemptResult::kBroken);
    this->OnResponseLost(AttemptResult::kBroken, now);
    return this->TakeActions();
  }
  this->Release(AttemptResult::kUnreachable);
  --this->sent_attempts;
  ++this->connect_failures;
  this->ReturnToSilentEndpoint();
  const bool should_fail =
      this->connect_failures > this->context.limits.max_connect_failures ||
      !this->HasTimeForRetry(now);
  if (should_fail) {
    this->FailRequest("unreachable", this->RetryAfter(now));
  } else {
    this->SendOrWait(now);
  }
  return this->TakeActions();
}

void DirectFlow::OnRefused(kernel::TimePoint now) {
  ++this->refusals;
  // The refused attempt has not run, and the endpoint that was left may only
  // have been silent for a while.
  if (this->ReturnToSilentEndpoint()) --this->sent_attempts;
  if (this->refusals <= this->context.limits.max_refusals &&
      this->TryAcquireRetry(now)) {
    this->SendOrWait(now);
    return;
  }
  this->FailRequest("endpoints_full", this->RetryAfter(now),
                    this->RestLeft(now));
}

void DirectFlow::OnResponseLost(AttemptResult /*result*/,
                                kernel::TimePoint now) {
  this->may_have_run = true;
  if (this->request.IsRepeatable() && this->TryAcquireRetry(now)) {
    this->SendOrWait(now);
    return;
  }
  this->FailRequest("answer_lost", this->context.limits.retry_after);
}

bool DirectFlow::CanRetry(kernel::TimePoint now) const {
  const bool can_resume = !this->head_sent || this->last_delivered_has_id;
  return can_resume && this->sent_attempts < this->request.profile->attempts &&
         this->HasTimeForRetry(now);
}

bool DirectFlow::TryAcquireRetry(kernel::TimePoint now) {
  const bool allowed =
      this->CanRetry(now) &&
      this->context.retries.TryAcquire(this->request.service,
                                       this->context.gateway_count, now);
  if (!allowed) return false;
  this->actions.push_back(
      WriteLogEvent{EventId::kRequestRetried,
                    {{"request", this->request.request_id},
                     {"service", this->request.service},
                     {"after", this->last_endpoint},
                     {"sent", std::to_string(this->sent_attempts)}}});
  return true;
}

DirectActions DirectFlow::OnCallerDisconnected(kernel::TimePoint now) {
  if (this->state == State::kDone) return {};
  if (this->state == State::kQueued) this->LeaveQueue(now);
  this->CancelAttempt(AttemptResult::kCancelled);
  this->Finish("caller_gone");
  return this->TakeActions();
}

DirectActions DirectFlow::OnNoMemory(kernel::TimePoint /*now*/) {
  if (this->state == State::kDone || !this->endpoint) return {};
  this->may_have_run = true;
  this->CancelAttempt(AttemptResult::kCancelled);
  this->FailRequest("response_memory", this->context.limits.retry_after);
  this->body = std::string();
  return this->TakeActions();
}

std::size_t DirectFlow::ResponseBytes() const {
  return std::max(this->body.size(), this->expected_bytes) +
         this->splitter.PartialEventBytes() + this->undelivered_bytes;
}

void DirectFlow::CancelAttempt(AttemptResult result) {
  if (!this->endpoint) return;
  this->actions.push_back(CancelCall{this->attempt});
  this->Release(result);
}

void DirectFlow::Release(AttemptResult result) {
  if (!this->endpoint) return;
  this->actions.push_back(ReleaseEndpoint{*this->endpoint, result});
  this->endpoint.reset();
}

kernel::Millis DirectFlow::RetryAfter(kernel::TimePoint now) const {
  const std::string& service = this->request.service;
  const std::size_t ahead =
      this->context.queue.CountAhead(service, this->request.urgency, now);
  return std::max(
      {this->context.limits.retry_after,
       this->context.pool.ExpectedOutage(service),
       this->PermitWait(ahead + 1, now).value_or(kernel::Millis{0})});
}

kernel::Millis DirectFlow::RestLeft(kernel::TimePoint now) const {
  const auto until =
      this->context.pool.RestingUntil(this->request.service, {}, now);
  return until ? std::chrono::ceil<kernel::Millis>(*until - now)
               : kernel::Millis{0};
}

void DirectFlow::FailRequest(std::string_view reason,
                             kernel::Millis retry_after,
                             kernel::Millis not_before) {
  if (this->head_sent) {
    // The caller has received a part of the stream, which no other response can
    // continue.
    this->actions.push_back(AbortResponse{std::string(reason)});
    this->Finish(reason);
    return;
  }
  SendRefusal refusal;
  refusal.reason = std::string(reason);
  if (this->may_have_run) {
    refusal.status = reason == "timeout" ? kGatewayTimeout : kBadGateway;
  } else {
    refusal.status = kUnavailable;
    refusal.retry_after_ms = not_before.count() + this->Jittered(retry_after);
  }
  this->actions.push_back(std::move(refusal));
  this->Finish(reason);
}

void DirectFlow::Finish(std::string_view outcome) {
  this->state = State::kDone;
  kernel::EventFields fields = {
      {"request", this->request.request_id},
      {"profile", this->request.profile->name},
      {"outcome", std::string(outcome)},
      {"sent", std::to_string(this->sent_attempts)},
      {"endpoint", this->last_endpoint},
      {"waited_ms", std::to_string(this->waited_ms)},
      {"organisation", this->request.organisation},
      {"revision", std::to_string(this->request.config->revision)}};
  this->AddProgress(fields);
  this->actions.push_back(
      WriteLogEvent{EventId::kRequestEnded, std::move(fields)});
}

void DirectFlow::AddProgress(kernel::EventFields& fields) const {
  const auto first = this->progress.FirstEventTime(this->arrived_at);
  if (!this->request.profile->streaming || !first) return;
  const StreamLateness lateness =
      this->progress.Lateness(*this->request.profile, this->arrived_at);
  fields.emplace_back("first_event_ms", std::to_string(first->count()));
  fields.emplace_back("longest_pause_ms",
                      std::to_string(this->progress.longest_pause().count()));
  fields.emplace_back("late", std::string(StreamLatenessName(lateness)));
}

std::int64_t DirectFlow::Jittered(kernel::Millis span) {
  std::uniform_int_distribution<std::int64_t> distribution(span.count() / 2,
                                                           span.count());
  return distribution(this->random);
}

DirectActions DirectFlow::TakeActions() {
  DirectActions taken;
  taken.swap(this->actions);
  return taken;
}

}  // namespace banyanlane::direct
