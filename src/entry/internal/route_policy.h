#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "entry/internal/i_endpoint_directory.h"

namespace banyanlane::entry {

/// Picks one of the endpoints that can take a request.
class IRoutePolicy {
 public:
  virtual ~IRoutePolicy() = default;

  /// Returns the index of the choice. @param candidates never empty.
  virtual std::size_t Choose(const std::vector<EndpointView>& candidates,
                             const RouteRequest& request) = 0;
};

/// Picks at random.
std::unique_ptr<IRoutePolicy> MakeRandomRoute(std::uint64_t seed);

/// Picks the least loaded.
std::unique_ptr<IRoutePolicy> MakeLeastLoadedRoute(std::uint64_t seed);

/// Picks by rendezvous hash of the prompt prefix, passing over endpoints whose
/// load is above `bound` times the mean.
std::unique_ptr<IRoutePolicy> MakeAffinityRoute(double bound);

}  // namespace banyanlane::entry
