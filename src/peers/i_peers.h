#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::peers {

/// Role of the processes that callers connect to.
inline constexpr const char* kGatewayRole = "gateway";
/// Role of the processes beside the ranks of expert-parallel groups.
inline constexpr const char* kRankRole = "rank";

/// Another process, as last heard of.
struct Peer {
  std::string role;
  std::string node;
  std::string link_address;
  std::string caller_address;
  std::string failure_domain;
  bool ready = false;
  bool leaving = false;
};

/// What this gateway tells its peers.
struct LocalState {
  bool ready = false;
  bool leaving = false;
  /// Requests it has at each endpoint, by the endpoint's id.
  std::vector<std::pair<std::string, std::int64_t>> in_flight;
  /// Rank agents: their engine's address, and the time that its work takes
  /// against the usual.
  std::string engine_address;
  double engine_slowdown = 1;
};

/// Knows the other gateways.
class IPeers {
 public:
  virtual ~IPeers() = default;

  /// Returns the gateways heard of lately, without this one.
  virtual std::vector<Peer> LiveGateways(kernel::TimePoint now) = 0;

  /// Returns all processes of `role` that are not forgotten, without this one.
  virtual std::vector<Peer> PeersOfRole(const std::string& role) = 0;

  /// Keeps links to `addresses` besides those to seeds and gateways.
  virtual void SetExtraLinks(std::vector<std::string> addresses) = 0;

  /// Returns how many requests the live peers together have at `endpoint`.
  virtual std::int64_t InFlightFromPeers(const std::string& endpoint) = 0;

  /// Returns the time that an engine's work takes against the usual, as its
  /// rank agent told; 1 when none did lately.
  virtual double SlowdownOf(const std::string& engine_address) = 0;

  /// Tells the peers at once.
  virtual void Publish(LocalState state, kernel::TimePoint now) = 0;
};

}  // namespace banyanlane::peers
