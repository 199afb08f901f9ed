#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "kernel/time.h"

namespace banyanlane::entry {

/// An endpoint's agent as seen over its link.
struct EndpointView {
  std::uint64_t link = 0;
  std::string node;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  std::string service;
  std::uint64_t clock_ms = 0;  ///< Never ahead of the agent's own clock.
  std::int64_t load = 0;       ///< Requests believed to be there.
  std::int64_t slots = 0;      ///< Requests it runs at a time.
};

/// What a request asks of its endpoint.
struct RouteRequest {
  std::string service;
  std::string
      affinity;  ///< Prompt prefix whose cached state is worth reaching.
  std::string fingerprint;
  bool suspect =
      false;  ///< Goes to one endpoint at a time over the whole fleet.
  std::set<std::string> avoid;  ///< Nodes that were tried before.
};

/// Knows the endpoints that this entry can reach.
class IEndpointDirectory {
 public:
  virtual ~IEndpointDirectory() = default;

  /// Returns the endpoint that `request` should go to, if one can take it.
  virtual std::optional<EndpointView> Choose(const RouteRequest& request,
                                             kernel::TimePoint now) = 0;

  /// Returns the endpoint with agent `node`, whatever its state.
  virtual std::optional<EndpointView> FindNode(const std::string& node,
                                               kernel::TimePoint now) = 0;

  /// Counts a request sent to `node`, or its end.
  virtual void OnAssigned(const std::string& node) = 0;
  virtual void OnReleased(const std::string& node) = 0;
};

}  // namespace banyanlane::entry
