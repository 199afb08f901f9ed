#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyanlane::processes {

/// Returns the number of open descriptors of a process.
std::size_t CountDescriptors(pid_t pid);

/// Returns the memory of a process that is in RAM, in bytes.
std::uint64_t ResidentBytes(pid_t pid);

/// Returns the most memory of a process that was in RAM so far, in bytes.
std::uint64_t PeakResidentBytes(pid_t pid);

/// Returns the set of blocked signals of each thread of a process but the main
/// one, whose set lacks the signals that it is waiting for. The lowest bit
/// stands for signal 1.
std::vector<std::uint64_t> BlockedSignals(pid_t pid);

}  // namespace banyanlane::processes
