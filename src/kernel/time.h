#pragma once

#include <chrono>

namespace banyanlane::kernel {

/// Monotonic clock. Its values are meaningful only within one process.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Returns the milliseconds from `start` to `end`, rounded toward zero.
inline std::int64_t MillisBetween(TimePoint start, TimePoint end) {
  return std::chrono::duration_cast<Millis>(end - start).count();
}

}  // namespace banyanlane::kernel
