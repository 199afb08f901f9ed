#include "direct/internal/outage_estimator.h"

namespace banyanlane::direct {
namespace {

/// Weight of the newest outage in the mean.
constexpr double kNewestWeight = 0.3;

}  // namespace

void OutageEstimator::OnUnavailable(kernel::TimePoint now) {
  if (!this->unavailable_since) this->unavailable_since = now;
}

void OutageEstimator::OnAvailable(kernel::TimePoint now) {
  if (!this->unavailable_since) return;
  const double duration_ms =
      std::chrono::duration<double, std::milli>(now - *this->unavailable_since)
          .count();
  this->mean_ms += kNewestWeight * (duration_ms - this->mean_ms);
  this->unavailable_since.reset();
}

kernel::Millis OutageEstimator::ExpectedDuration() const {
  return kernel::Millis(static_cast<std::int64_t>(this->mean_ms));
}

}  // namespace banyanlane::direct
