#include "catalog/internal/follower_driver.h"

#include <optional>

#include "kernel/event_log.h"

namespace banyanlane::catalog {
namespace {

/// Minimum time between two restarts of a watch.
constexpr kernel::Millis kMinRestartInterval{1'000};

}  // namespace

FollowerDriver::FollowerDriver(std::shared_ptr<ICatalog> catalog,
                               std::string prefix, CatalogFollower follower,
                               ChangeHandler on_changed, SharedContact contact,
                               ClockFunction clock)
    : catalog(std::move(catalog)),
      prefix(std::move(prefix)),
      on_changed(std::move(on_changed)),
      contact(std::move(contact)),
      clock(std::move(clock)),
      follower(std::move(follower)) {}

void FollowerDriver::OnTick(kernel::TimePoint now) {
  std::optional<CatalogSnapshot> update;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->follower.EndGracePeriods(now)) update = this->follower.Snapshot();
    if (!this->call_in_progress && !this->stopped) this->Begin(now);
    this->CheckIfDue(now);
  }
  if (update) this->on_changed(*update);
}

void FollowerDriver::CheckIfDue(kernel::TimePoint now) {
  if (!this->watching || !this->contact.monitor->IsOverdue(now)) return;
  if (!this->contact.monitor->IsDue(this->contact.rank(), now)) return;
  this->follower.RequestCheck();
  this->call->Cancel();
  this->Begin(now);
}

void FollowerDriver::RestartWatch(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->watching || now - this->restarted_at < kMinRestartInterval) return;
  this->restarted_at = now;
  this->call->Cancel();
  this->Begin(now);
}

void FollowerDriver::Stop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->stopped = true;
  this->watching = false;
  ++this->call_number;
  if (this->call) this->call->Cancel();
}

void FollowerDriver::Begin(kernel::TimePoint now) {
  const FollowStep step = this->follower.NextStep(now);
  const CatalogLimits& limits = this->follower.Limits();
  const auto* watch = std::get_if<WatchStep>(&step);
  this->watching = watch != nullptr && !watch->is_check;
  this->call_in_progress = !std::holds_alternative<PauseStep>(step);
  const std::uint64_t number = ++this->call_number;
  const auto receive = [weak = this->weak_from_this(),
                        number](const CatalogResponse& response) {
    const auto self = weak.lock();
    if (self) self->OnResponse(number, response, self->clock());
  };
  if (const auto* page = std::get_if<ReadPageStep>(&step)) {
    this->call = this->catalog->ReadPage(this->prefix, page->after_key,
                                         limits.response_timeout, receive);
  }
  if (watch != nullptr) {
    const auto wait = watch->is_check ? kernel::Millis{0} : limits.watch_wait;
    this->call = this->catalog->Watch(this->prefix, watch->after_revision, wait,
                                      wait + limits.response_timeout, receive);
  }
}

void FollowerDriver::OnResponse(std::uint64_t number,
                                const CatalogResponse& response,
                                kernel::TimePoint now) {
  std::optional<CatalogSnapshot> update;
  bool has_responded = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (number != this->call_number || this->stopped) return;
    const bool was_failing = this->follower.IsFailing();
    const std::uint64_t previous_era = this->follower.era();
    const bool changed_items = this->follower.OnResponse(response, now);
    this->LogReachability(was_failing, response);
    this->LogRestore(previous_era);
    if (changed_items && this->follower.IsLoaded())
      update = this->follower.Snapshot();
    has_responded = !this->follower.IsFailing();
    this->Begin(now);
  }
  if (update) this->on_changed(*update);
  // Only now, so that peers are told of the response after its changes are in
  // force.
  if (has_responded) this->contact.monitor->OnResponse(now);
}

void FollowerDriver::LogReachability(bool was_failing,
                                     const CatalogResponse& response) const {
  const bool failing = this->follower.IsFailing();
  if (failing == was_failing) return;
  if (!failing) {
    kernel::LogEvent(kernel::EventId::kPlatformRecovered,
                     {{"what", this->prefix}});
    return;
  }
  const auto* error = std::get_if<kernel::Error>(&response);
  kernel::LogEvent(
      kernel::EventId::kPlatformUnreachable,
      {{"what", this->prefix},
       {"reason", error != nullptr ? kernel::Describe(*error)
                                   : "the response is older than a previous "
                                     "one"}});
}

void FollowerDriver::LogRestore(std::uint64_t previous_era) const {
  const std::uint64_t era = this->follower.era();
  if (previous_era == 0 || era == previous_era) return;
  kernel::LogEvent(kernel::EventId::kPlatformRestored,
                   {{"what", this->prefix},
                    {"era", std::to_string(era)},
                    {"before", std::to_string(previous_era)}});
}

}  // namespace banyanlane::catalog
