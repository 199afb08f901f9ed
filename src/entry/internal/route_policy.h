#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "entry/internal/i_endpoint_directory.h"

namespace banyanlane::entry {

/// Selects one of the endpoints that can accept a request.
class IRoutePolicy {
 public:
  virtual ~IRoutePolicy() = default;

  /// Returns the index of the selected candidate.
  /// @param candidates Endpoints to select from; must not be empty.
  virtual std::size_t Choose(const std::vector<EndpointView>& candidates,
                             const RouteRequest& request) = 0;
};

/// Makes a policy that selects at random.
std::unique_ptr<IRoutePolicy> MakeRandomRoute(std::uint64_t seed);

/// Makes a policy that selects an endpoint with the lowest load, at random
/// among equals.
std::unique_ptr<IRoutePolicy> MakeLeastLoadedRoute(std::uint64_t seed);

/// Makes a policy that selects by rendezvous hash of the routing key and skips
/// endpoints that have no free slot or whose load has reached the bound. If it
/// would skip all endpoints, it selects one with the lowest load.
/// @param load_bound Maximum load of an endpoint relative to the mean load.
std::unique_ptr<IRoutePolicy> MakeAffinityRoute(double load_bound);

}  // namespace banyanlane::entry
