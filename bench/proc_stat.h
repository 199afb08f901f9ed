#pragma once

#include <sys/types.h>

#include <string>

namespace banyanlane::bench {

/// Returns the user and system time of a process in seconds.
double CpuSeconds(pid_t pid);

/// Returns a memory field of /proc/PID/status in megabytes of 1,024 kB.
/// @param field such as "VmRSS:" or "VmHWM:".
/// @return 0 if the process has no such field.
double MemoryMegabytes(pid_t pid, const std::string& field);

/// Returns the bytes received on the loopback interface since it came up.
double LoopbackBytes();

}  // namespace banyanlane::bench
