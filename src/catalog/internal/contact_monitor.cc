#include "catalog/internal/contact_monitor.h"

#include <algorithm>

namespace banyanlane::catalog {

void ContactMonitor::OnResponse(kernel::TimePoint now) {
  this->OnPeerResponse(kernel::Millis{0}, now);
}

void ContactMonitor::OnPeerResponse(kernel::Millis age, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const kernel::TimePoint at = now - age;
  if (!this->responded_at || *this->responded_at < at) this->responded_at = at;
}

std::optional<kernel::Millis> ContactMonitor::Age(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->responded_at) return std::nullopt;
  return std::max(kernel::Millis{0}, std::chrono::duration_cast<kernel::Millis>(
                                         now - *this->responded_at));
}

bool ContactMonitor::IsOverdue(kernel::TimePoint now) {
  return this->IsDue(0, now);
}

bool ContactMonitor::IsDue(std::size_t rank, kernel::TimePoint now) {
  kernel::Millis due_age = this->limits.max_age;
  for (std::size_t asking = 1; asking <= rank; asking = 2 * asking + 1)
    due_age += this->limits.takeover_delay;
  const auto age = this->Age(now);
  return age && *age >= due_age;
}

}  // namespace banyanlane::catalog
