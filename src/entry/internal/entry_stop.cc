#include "entry/internal/entry_stop.h"

#include <algorithm>

namespace banyanlane::entry {
namespace {

/// Time that a response needs to reach the caller when its request has reached
/// its deadline.
constexpr kernel::Millis kResponseMargin{1'000};

}  // namespace

void EntryStop::Begin(kernel::Millis duration, kernel::Millis address_use,
                      kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->schedule)
    this->schedule = Schedule{now + address_use, now + duration};
}

bool EntryStop::HasBegun() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->schedule.has_value();
}

void EntryStop::OnArrived(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->in_flight;
  this->latest_deadline = std::max(this->latest_deadline, now);
}

void EntryStop::OnEnded() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->in_flight;
}

std::optional<kernel::Millis> EntryStop::TryAccept(kernel::Millis time_limit,
                                                   kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->is_over) return std::nullopt;
  kernel::Millis granted = time_limit;
  if (this->schedule) {
    if (now >= this->schedule->address_use_end) return std::nullopt;
    const kernel::Millis remaining(
        kernel::MillisBetween(now, this->schedule->last_deadline));
    granted = std::clamp(time_limit, kernel::Millis(1),
                         std::max(kernel::Millis(1), remaining));
  }
  this->latest_deadline = std::max(this->latest_deadline, now + granted);
  return granted;
}

std::string EntryStop::Pending(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->schedule) return "";
  if (!this->is_over) {
    const bool awaits_responses =
        this->in_flight > 0 && now < this->latest_deadline + kResponseMargin;
    if (awaits_responses)
      return std::to_string(this->in_flight) + " requests in flight";
    if (now < this->schedule->address_use_end)
      return "callers that may still use this address";
  }
  this->is_over = true;
  return "";
}

}  // namespace banyanlane::entry
