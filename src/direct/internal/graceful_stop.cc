#include "direct/internal/graceful_stop.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

/// Callers may keep addresses for up to this multiple of their time to live.
constexpr int kAddressTtlFactor = 3;
/// Time from the moment at which the stop closes to the end of the grace
/// period.
constexpr kernel::Millis kGraceMargin{700};
/// Longest time for the answers to the requests that are left when the stop
/// closes.
constexpr kernel::Millis kClosingTime{300};
/// Time from the request to stop in which callers learn of it.
constexpr kernel::Millis kNoticeTime{3'000};
/// Time that a response needs to reach the caller when its request has reached
/// its time limit.
constexpr kernel::Millis kResponseMargin{200};

}  // namespace

GracefulStop::GracefulStop(kernel::Millis grace_period,
                           kernel::Millis address_ttl)
    : duration(grace_period - kGraceMargin),
      address_use(address_ttl * kAddressTtlFactor) {}

void GracefulStop::Begin(kernel::TimePoint requested_at,
                         kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->requested_at) return;
  this->requested_at = requested_at;
  this->began_at = now;
}

bool GracefulStop::HasBegun() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->requested_at.has_value();
}

bool GracefulStop::TryAccept(kernel::Millis time_limit, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->closing_since) return false;
  if (this->requested_at) {
    const auto elapsed = now - *this->requested_at;
    const bool ends_in_time =
        time_limit <= this->duration - kResponseMargin - elapsed;
    if (elapsed > kNoticeTime && !ends_in_time) return false;
  }
  ++this->accepted;
  return true;
}

void GracefulStop::OnEnded() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->accepted;
}

std::string GracefulStop::Pending(std::size_t busy_connections,
                                  kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->requested_at) return "";
  if (!this->closing_since && now - *this->requested_at < this->duration) {
    if (this->accepted > 0)
      return std::to_string(this->accepted) + " requests in flight";
    if (busy_connections > 0)
      return std::to_string(busy_connections) + " busy connections";
    if (now - this->began_at < this->address_use)
      return "callers that keep this address";
  }
  if (!this->closing_since) this->closing_since = now;
  const std::size_t unanswered = std::max(this->accepted, busy_connections);
  if (unanswered > 0 && now - *this->closing_since < kClosingTime)
    return std::to_string(unanswered) + " last answers";
  return "";
}

bool GracefulStop::IsClosing() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->closing_since.has_value();
}

}  // namespace banyanlane::direct
