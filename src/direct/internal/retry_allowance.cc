#include "direct/internal/retry_allowance.h"

#include <algorithm>

namespace banyanlane::direct {

void RetryAllowance::Trim(std::deque<kernel::TimePoint>& times,
                          kernel::TimePoint now) const {
  while (!times.empty() && now - times.front() > this->limits.window)
    times.pop_front();
}

void RetryAllowance::OnRequest(const std::string& service,
                               kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Window& window = this->services[service];
  this->Trim(window.requests, now);
  window.requests.push_back(now);
}

bool RetryAllowance::TryAcquire(const std::string& service,
                                std::size_t gateway_count,
                                kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Window& window = this->services[service];
  this->Trim(window.requests, now);
  this->Trim(window.retries, now);
  const double age = std::chrono::duration<double>(now - this->started).count();
  const double span =
      std::chrono::duration<double>(this->limits.window).count();
  const double slack_share =
      static_cast<double>(this->limits.slack) /
      static_cast<double>(std::max<std::size_t>(1, gateway_count)) *
      std::clamp(age / span, 0.0, 1.0);
  const double bound =
      this->limits.used_fraction *
      (this->limits.ratio * static_cast<double>(window.requests.size()) +
       slack_share);
  if (static_cast<double>(window.retries.size() + 1) > bound) return false;
  window.retries.push_back(now);
  return true;
}

}  // namespace banyanlane::direct
