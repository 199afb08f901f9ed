#pragma once

#include "kernel/time.h"

namespace banyanlane::kernel {

/// Returns the time since the machine booted, including time spent suspended.
/// The values can only be compared with each other, not with Clock::now().
TimePoint BootNow();

}  // namespace banyanlane::kernel
