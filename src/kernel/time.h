#pragma once

#include <chrono>

namespace banyanlane::kernel {

/// Process-local monotonic clock; its values mean nothing to another process.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Returns whole milliseconds from `start` to `end`.
inline std::int64_t MillisBetween(TimePoint start, TimePoint end) {
  return std::chrono::duration_cast<Millis>(end - start).count();
}

}  // namespace banyanlane::kernel
