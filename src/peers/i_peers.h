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

/// Last known state of another process.
struct Peer {
  std::string role;
  std::string node;
  std::string link_address;
  std::string caller_address;
  std::string failure_domain;
  bool ready = false;
  bool leaving = false;
};

/// State of this process that is sent to its peers.
struct LocalState {
  bool ready = false;
  bool leaving = false;
  /// Number of requests that this process has at each endpoint, by the
  /// endpoint's id.
  std::vector<std::pair<std::string, std::int64_t>> in_flight;
  /// Only from rank agents: address of the engine, and its time per unit of
  /// work relative to normal, where 2 is twice as slow.
  std::string engine_address;
  double engine_slowdown = 1;
};

/// Tracks the other gateways and the rank agents.
class IPeers {
 public:
  virtual ~IPeers() = default;

  /// Returns the other gateways of which a recent state update has arrived.
  virtual std::vector<Peer> LiveGateways(kernel::TimePoint now) = 0;

  /// Returns the last known states of the other processes of `role`, until they
  /// expire.
  virtual std::vector<Peer> PeersOfRole(const std::string& role) = 0;

  /// Opens and keeps links to `addresses` in addition to those to seeds and
  /// gateways. Replaces the addresses of the previous call.
  virtual void SetExtraLinks(std::vector<std::string> addresses) = 0;

  /// Returns the number of requests that all live peers together have at an
  /// endpoint.
  /// @param endpoint id of the endpoint.
  virtual std::int64_t InFlightFromPeers(const std::string& endpoint) = 0;

  /// Returns the slowdown of an engine as recently reported by its rank agent,
  /// or 1 if there is no recent report or the engine is at most slightly slower
  /// than normal.
  virtual double SlowdownOf(const std::string& engine_address) = 0;

  /// Sends `state` immediately to the gateways that this process is linked to.
  virtual void Publish(LocalState state, kernel::TimePoint now) = 0;
};

}  // namespace banyanlane::peers
