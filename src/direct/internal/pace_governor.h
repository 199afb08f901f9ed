#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Bounds on how far endpoints are filled.
struct PaceLimits {
  double least_part = 0.35;  ///< Of the slots.
  double first_part = 0.75;
  double most_part = 1.0;
  /// A pause longer than this part of the goal counts as slow.
  double slow_part = 0.85;
  /// Slow pauses, as a part of all in one span, that call for less work.
  double slow_share = 0.05;
  double decrease = 0.88;
  double increase = 0.03;
  kernel::Millis span{200};
};

/// Decides how many requests at a time the endpoints of a service are given,
/// so that their streams keep the pace that profiles ask for: an engine that
/// runs more requests takes longer for the next event of each.
class PaceGovernor {
 public:
  explicit PaceGovernor(const PaceLimits& limits) : limits(limits) {}

  /// Takes the pause between two events of a stream of `service`.
  /// @param goal_ms longest pause that its profile asks for; 0: none.
  void OnPause(const std::string& service, std::int64_t pause_ms,
               std::int64_t goal_ms, kernel::TimePoint now);

  /// Returns the part of their slots that endpoints of `service` are given.
  /// Services without streams are given all.
  double PartFor(const std::string& service);

 private:
  struct Pace {
    double part = 0;
    std::int64_t pauses = 0;  ///< In this span.
    std::int64_t slow = 0;    ///< Of these.
    kernel::TimePoint since;
  };

  void Adjust(Pace& pace) const;

  PaceLimits limits;
  std::mutex mutex;
  std::unordered_map<std::string, Pace> services;
};

}  // namespace banyanlane::direct
