#pragma once

#include <optional>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Estimates how long a service that is unavailable will remain so, from the
/// outages that have ended. Callers are told to retry after that time. Not
/// thread-safe.
class OutageEstimator {
 public:
  /// @param initial duration that is expected before any outage has ended.
  explicit OutageEstimator(kernel::Millis initial)
      : mean_ms(static_cast<double>(initial.count())) {}

  /// Records that the service is unavailable.
  void OnUnavailable(kernel::TimePoint now);
  /// Records that the service is available.
  void OnAvailable(kernel::TimePoint now);

  /// Returns the mean duration of outages, the last ones weighted most. It is
  /// the expected rest of an outage at any time of it.
  kernel::Millis ExpectedDuration() const;

 private:
  double mean_ms = 0;
  std::optional<kernel::TimePoint> unavailable_since;
};

}  // namespace banyanlane::direct
