#include "catalog/internal/follower_driver.h"

#include <optional>

#include "kernel/event_log.h"

namespace banyanlane::catalog {
namespace {

/// Minimum time between two restarts of a watch.
constexpr kernel::Millis kRenewPeriod{1'000};

}  // namespace

FollowerDriver::FollowerDriver(std::shared_ptr<ICatalog> catalog,
                               std::string prefix, const CatalogLimits& limits,
                               std::uint64_t seed, Changed changed)
    : catalog(std::move(catalog)),
      prefix(std::move(prefix)),
      limits(limits),
      changed(std::move(changed)),
      follower(limits, seed) {}

void FollowerDriver::OnTick(kernel::TimePoint now) {
  std::optional<CatalogSnapshot> news;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->follower.DropSettled(now)) news = this->follower.Snapshot();
    if (!this->under_way && !this->stopped) this->Begin(now);
  }
  if (news) this->changed(*news);
}

void FollowerDriver::Renew(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->watching || now - this->renewed_at < kRenewPeriod) return;
  this->renewed_at = now;
  this->call->Cancel();
  this->Begin(now);
}

void FollowerDriver::Stop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->stopped = true;
  ++this->calls;
  if (this->call) this->call->Cancel();
}

void FollowerDriver::Begin(kernel::TimePoint now) {
  const FollowStep step = this->follower.Next(now);
  this->watching = std::holds_alternative<WatchStep>(step);
  this->under_way = !std::holds_alternative<PauseStep>(step);
  const std::uint64_t number = ++this->calls;
  const auto receive = [weak = this->weak_from_this(),
                        number](const CatalogResponse& answer) {
    const auto self = weak.lock();
    if (self) self->OnAnswer(number, answer, kernel::Clock::now());
  };
  if (const auto* page = std::get_if<ReadPageStep>(&step)) {
    this->call = this->catalog->ReadPage(this->prefix, page->after_key,
                                         this->limits.answer, receive);
  }
  if (const auto* watch = std::get_if<WatchStep>(&step)) {
    this->call = this->catalog->Watch(
        this->prefix, watch->after_revision, this->limits.watch,
        this->limits.watch + this->limits.answer, receive);
  }
}

void FollowerDriver::OnAnswer(std::uint64_t number,
                              const CatalogResponse& answer,
                              kernel::TimePoint now) {
  std::optional<CatalogSnapshot> news;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (number != this->calls || this->stopped) return;
    const bool was_failing = this->follower.IsFailing();
    const bool changed_items = this->follower.OnAnswer(answer, now);
    this->LogReachability(was_failing, answer);
    if (changed_items && this->follower.IsLoaded())
      news = this->follower.Snapshot();
    this->Begin(now);
  }
  if (news) this->changed(*news);
}

void FollowerDriver::LogReachability(bool was_failing,
                                     const CatalogResponse& answer) const {
  const bool failing = this->follower.IsFailing();
  if (failing == was_failing) return;
  if (!failing) {
    kernel::LogEvent(kernel::EventId::kPlatformRecovered,
                     {{"what", this->prefix}});
    return;
  }
  const auto* error = std::get_if<kernel::Error>(&answer);
  kernel::LogEvent(
      kernel::EventId::kPlatformUnreachable,
      {{"what", this->prefix},
       {"reason", error != nullptr ? kernel::Describe(*error)
                                   : "the revision of the store decreased"}});
}

}  // namespace banyanlane::catalog
