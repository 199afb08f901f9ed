#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Limit on retries, over all gateways together.
struct RetryLimits {
  double ratio = 0.2;  ///< Retries allowed per request in the window.
  kernel::Millis window{10'000};
  std::int64_t slack = 0;  ///< Additional retries, over all gateways.
  /// Fraction of the limit that is used. The rest is a margin, since the
  /// gateways and those who check the limit count retries in windows that begin
  /// at different times.
  double used_fraction = 0.75;
};

/// Limits the retries of requests, by service.
class RetryAllowance {
 public:
  /// @param started time at which this process started. The process may have
  /// used the slack before it restarted, so the slack becomes available
  /// gradually over one window.
  RetryAllowance(const RetryLimits& limits, kernel::TimePoint started)
      : limits(limits), started(started) {}

  /// Counts a request for `service`.
  void OnRequest(const std::string& service, kernel::TimePoint now);

  /// Uses one retry if the limit allows it.
  /// @param gateway_count number of gateways that share the slack.
  /// @return whether the retry is allowed.
  bool TryAcquire(const std::string& service, std::size_t gateway_count,
                  kernel::TimePoint now);

 private:
  /// Times of the requests and retries within the window, oldest first.
  struct Window {
    std::deque<kernel::TimePoint> requests;
    std::deque<kernel::TimePoint> retries;
  };

  void Trim(std::deque<kernel::TimePoint>& times, kernel::TimePoint now) const;

  RetryLimits limits;
  kernel::TimePoint started;
  std::mutex mutex;
  std::unordered_map<std::string, Window> services;
};

}  // namespace banyanlane::direct
