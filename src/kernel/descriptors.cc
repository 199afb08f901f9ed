#include "kernel/descriptors.h"

#include <sys/resource.h>

#include <algorithm>

namespace banyanlane::kernel {
namespace {

/// Descriptors reserved for files, pipes and libraries.
constexpr std::uint64_t kReservedDescriptors = 200;
/// Number of descriptors that is assumed if the setting or the limit of the
/// process is lower, or if the limit is unknown.
constexpr std::uint64_t kMinDescriptors = 400;

/// Returns the configured maximum number of descriptors, or the limit of the
/// process if none is configured.
std::uint64_t DescriptorsOf(const Settings& settings) {
  const std::int64_t configured = settings.Integer("http", "descriptors");
  if (configured > 0) return static_cast<std::uint64_t>(configured);
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMinDescriptors;
  return limit.rlim_cur;
}

}  // namespace

std::uint64_t SocketDescriptors(const Settings& settings) {
  return std::max(DescriptorsOf(settings), kMinDescriptors) -
         kReservedDescriptors;
}

}  // namespace banyanlane::kernel
