#include <algorithm>

#include "direct/internal/direct_flow.h"

namespace banyanlane::direct {

std::optional<kernel::Millis> DirectFlow::TimeLeft(
    kernel::TimePoint now) const {
  if (this->deadline == kernel::TimePoint::max()) return std::nullopt;
  return std::chrono::duration_cast<kernel::Millis>(this->deadline - now);
}

bool DirectFlow::HasTimeForRetry(kernel::TimePoint now) const {
  const auto left = this->TimeLeft(now);
  return !left || *left >= this->context.limits.min_time_left;
}

kernel::Millis DirectFlow::MaxWait(kernel::TimePoint now) const {
  const DirectLimits& limits = this->context.limits;
  const auto time_left = this->TimeLeft(now);
  if (!time_left) return limits.max_stream_wait;
  const auto max_wait = kernel::Millis(static_cast<std::int64_t>(
      static_cast<double>(time_left->count()) * limits.max_wait_fraction));
  return this->request.profile->streaming
             ? std::min(max_wait, limits.max_stream_wait)
             : max_wait;
}

kernel::TimePoint DirectFlow::DispatchBy() const {
  const auto wait = static_cast<std::int64_t>(
      static_cast<double>(this->request.profile->latency_goal_ms) *
      this->context.limits.on_time_wait_fraction);
  return this->arrived_at + kernel::Millis(wait);
}

DirectActions DirectFlow::OnTimer(kernel::TimePoint now) {
  if (this->state == State::kDone) return {};
  if (this->state == State::kQueued) {
    if (now < this->wait_deadline && now < this->deadline) return {};
    this->LeaveQueue(now);
    this->FailRequest("no_room", this->RetryAfter(now), this->RestLeft(now));
    return this->TakeActions();
  }
  if (now >= this->deadline) {
    this->may_have_run = true;
    this->CancelAttempt(AttemptResult::kCancelled);
    this->FailRequest("timeout", this->context.limits.retry_after);
    return this->TakeActions();
  }
  if (now < this->attempt_deadline) return {};
  if (this->is_held_back || !this->IsOutlier(now) || !this->IsRetryUseful()) {
    // A retry at another endpoint would gain nothing: all are silent, as when
    // the ranks of a group wait for one another, or all are busy.
    this->attempt_deadline = now + this->context.limits.stall_check_interval;
    return this->TakeActions();
  }
  this->LeaveSilentEndpoint(now);
  return this->TakeActions();
}

void DirectFlow::LeaveSilentEndpoint(kernel::TimePoint now) {
  // When no retry is possible, the endpoint's silence is no reason to end the
  // response.
  this->attempt_deadline = this->deadline;
  if (!this->CanRetry(now)) return;
  const bool is_quarantined =
      this->context.attribution.QuarantinedUntil(this->request.work_keys, now)
          .has_value();
  const auto next = is_quarantined ? std::nullopt : this->Reserve(now);
  if (!next) {
    this->attempt_deadline = now + this->context.limits.stall_check_interval;
    return;
  }
  if (!this->TryAcquireRetry(now)) {
    this->actions.push_back(ReleaseEndpoint{*next, AttemptResult::kCancelled});
    return;
  }
  this->may_have_run = true;
  this->silent_endpoint = this->endpoint->id;
  this->CancelAttempt(AttemptResult::kBroken);
  this->is_probe =
      this->context.attribution.TryProbe(this->request.work_keys, now);
  this->Dispatch(*next, now);
}

bool DirectFlow::ReturnToSilentEndpoint() {
  if (!this->silent_endpoint) return false;
  this->tried_endpoints.erase(*this->silent_endpoint);
  this->silent_endpoint.reset();
  return true;
}

bool DirectFlow::IsOutlier(kernel::TimePoint now) const {
  if (!this->request.profile->streaming || !this->endpoint) return true;
  return this->context.pool.HasAnotherProgressed(
      *this->endpoint, now - this->context.limits.progress_window);
}

bool DirectFlow::IsRetryUseful() const {
  if (!this->request.profile->streaming || this->attempt_has_events)
    return true;
  const auto limit = static_cast<std::int64_t>(
      static_cast<double>(this->context.limits.stream_stall_timeout.count()) *
      this->context.limits.retry_first_event_fraction);
  return this->context.pool.MeanFirstEventTime(this->request.service).count() <
         limit;
}

kernel::TimePoint DirectFlow::NextTimer() const {
  if (this->state == State::kDone) return kernel::TimePoint::max();
  if (this->state == State::kQueued)
    return std::min(this->wait_deadline, this->deadline);
  return std::min(this->attempt_deadline, this->deadline);
}

DirectActions DirectFlow::OnDelivered(std::size_t bytes,
                                      kernel::TimePoint now) {
  this->undelivered_bytes -= std::min(bytes, this->undelivered_bytes);
  const bool continues =
      this->is_held_back &&
      this->undelivered_bytes <= this->context.limits.max_undelivered_bytes / 2;
  if (!continues) return {};
  this->is_held_back = false;
  if (!this->endpoint) return {};
  this->actions.push_back(ResumeCall{this->attempt});
  // The endpoint was silent because nothing was read from it.
  this->progress.OnResumed(now);
  if (this->attempt_deadline != this->deadline)
    this->attempt_deadline = now + this->context.limits.stream_stall_timeout;
  return this->TakeActions();
}

void DirectFlow::HoldBackEndpoint() {
  const bool must_wait =
      this->undelivered_bytes > this->context.limits.max_undelivered_bytes;
  if (this->is_held_back || !must_wait) return;
  this->is_held_back = true;
  this->actions.push_back(PauseCall{this->attempt});
}

}  // namespace banyanlane::direct
