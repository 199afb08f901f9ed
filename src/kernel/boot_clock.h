#pragma once

#include "kernel/time.h"

namespace banyanlane::kernel {

/// Returns the time since the machine's start, which goes on while the machine
/// is suspended. Compare its values only with one another.
TimePoint BootNow();

}  // namespace banyanlane::kernel
