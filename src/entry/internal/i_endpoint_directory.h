#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "kernel/time.h"

namespace banyanlane::entry {

/// State of an endpoint and its agent as received over the link.
struct EndpointView {
  std::uint64_t link = 0;
  std::string node;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::string service;
  std::uint64_t clock_ms = 0;  ///< Estimate, never ahead of the agent's clock.
  std::int64_t load = 0;   ///< Estimated number of requests at the endpoint.
  std::int64_t slots = 0;  ///< Maximum concurrent requests; 0: unknown.
};

/// Properties of a request that decide where it is routed.
struct RouteRequest {
  std::string service;
  /// Routing key such as the prompt prefix. Requests with equal keys prefer the
  /// same endpoint, to reuse its cached state.
  std::string affinity;
  std::string fingerprint;
  /// The work is suspected of crashing endpoints. All entries select the same
  /// endpoint for it, so that one endpoint at a time is at risk.
  bool suspect = false;
  std::set<std::string> excluded_nodes;  ///< Nodes that must not be selected.
};

/// Directory of the endpoints that this entry can reach.
class IEndpointDirectory {
 public:
  virtual ~IEndpointDirectory() = default;

  /// Returns the endpoint for `request`, or nullopt if none can accept it.
  virtual std::optional<EndpointView> Choose(const RouteRequest& request,
                                             kernel::TimePoint now) = 0;

  /// Returns the endpoint with agent `node` in any state, or nullopt if there
  /// is no link to it.
  virtual std::optional<EndpointView> FindNode(const std::string& node,
                                               kernel::TimePoint now) = 0;

  /// Adds a request to the load of `node`.
  virtual void OnAssigned(const std::string& node) = 0;
  /// Removes a request from the load of `node`.
  virtual void OnReleased(const std::string& node) = 0;
};

}  // namespace banyanlane::entry
