#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Parameters of a BatchLimit.
struct BatchLimitParameters {
  /// Time over which the pauses of one observation are collected.
  kernel::Millis period{250};
  /// Age up to which observations count. It spans several shifts of demand.
  kernel::Millis memory{10'000};
  /// Fraction of the observations that may show a lower limit than the one that
  /// is used.
  double ignored_fraction = 0.1;
  /// Lowest limit, as a fraction of the slots. If fewer requests would be
  /// needed to keep the goal, the batches are not the reason for the pauses.
  double min_fraction = 0.5;
};

/// Learns how many requests the endpoints of a service may have so that the
/// pauses between the events of its streams stay within their goal. Does no
/// I/O; not thread-safe.
///
/// Endpoints that process their requests in batches give each stream one event
/// per pass, and a pass lasts longer the more requests run. At times the same
/// batch takes longer, for example when a group's expert map does not fit the
/// demand. A stream that has begun can't be withdrawn then, so that the limit
/// must leave room for these times before they come.
class BatchLimit {
 public:
  explicit BatchLimit(const BatchLimitParameters& parameters = {})
      : parameters(parameters) {}

  /// Records a pause between two events of a stream.
  /// @param goal longest pause that is on time.
  /// @param running mean number of requests that an endpoint runs.
  void OnPause(kernel::Millis pause, kernel::Millis goal, double running,
               kernel::TimePoint now);

  /// Returns the highest mean number of requests per endpoint that keeps the
  /// goal, or nothing if none is known or no limit would keep it.
  /// @param slots requests that an endpoint runs at once.
  std::optional<double> Limit(double slots, kernel::TimePoint now) const;

 private:
  /// Number of requests that would have kept the goal in one period.
  struct Observation {
    kernel::TimePoint at;
    double affordable = 0;
  };

  BatchLimitParameters parameters;
  std::deque<Observation> observations;  ///< Oldest first.
  kernel::TimePoint period_begun_at;
  std::vector<double> affordable;  ///< Of the pauses in the current period.
};

}  // namespace banyanlane::direct
