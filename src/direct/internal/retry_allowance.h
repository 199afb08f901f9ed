#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Bound on sendings beyond the first, over all gateways together.
struct RetryLimits {
  double ratio = 0.2;  ///< Of the requests in the window.
  kernel::Millis window{10'000};
  std::int64_t slack = 0;  ///< Allowed besides, over all gateways.
  /// Part of the bound that is used: the windows of the gateways and of those
  /// who count differ by their moments.
  double used_fraction = 0.75;
};

/// Allows sendings beyond the first of each request, by service.
class RetryAllowance {
 public:
  /// @param started when this process began: an earlier life of it may have
  /// used the slack, which therefore comes back over one window.
  RetryAllowance(const RetryLimits& limits, kernel::TimePoint started)
      : limits(limits), started(started) {}

  /// Counts a request for `service`.
  void OnRequest(const std::string& service, kernel::TimePoint now);

  /// Takes one further sending. @param gateways that share the slack.
  /// @return whether there was one.
  bool TryAcquire(const std::string& service, std::size_t gateway_count,
                  kernel::TimePoint now);

 private:
  /// What happened within the window, oldest first.
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
