#pragma once

#include <sys/types.h>

#include <string>

namespace banyanlane::bench {

/// Processor seconds that a process has used.
double CpuSeconds(pid_t pid);

/// A memory field of a process, such as "VmRSS:" or "VmHWM:", in megabytes.
double MemoryMegabytes(pid_t pid, const std::string& field);

/// Bytes that crossed the loopback interface since the machine started.
double LoopbackBytes();

}  // namespace banyanlane::bench
