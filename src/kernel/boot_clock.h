#pragma once

#include <functional>

#include "kernel/time.h"

namespace banyanlane::kernel {

/// Returns the time since the machine booted, including time spent suspended.
/// The values can only be compared with each other, not with Clock::now().
TimePoint BootNow();

/// Source of times such as those of BootNow.
using BootClock = std::function<TimePoint()>;

}  // namespace banyanlane::kernel
