#pragma once

#include <cstdint>

#include "kernel/settings.h"

namespace banyanlane::kernel {

/// Returns the number of descriptors that the process may use for sockets: the
/// setting, or the limit of the process if none is set, without those that are
/// reserved for files, pipes and libraries.
std::uint64_t SocketDescriptors(const Settings& settings);

}  // namespace banyanlane::kernel
