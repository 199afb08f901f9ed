#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/internal/i_endpoint_directory.h"
#include "entry/internal/route_policy.h"
#include "kernel/sharded_map.h"
#include "link/i_link.h"

namespace banyanlane::entry {

/// Table of the agents that this entry has links to, sharded by node.
class EndpointTable : public IEndpointDirectory {
 public:
  explicit EndpointTable(std::unique_ptr<IRoutePolicy> policy)
      : policy(std::move(policy)) {}

  void OnLinkUp(std::uint64_t link, const link::Hello& hello,
                kernel::TimePoint now);
  void OnLinkDown(std::uint64_t link, const std::string& node);
  void OnHeartbeat(std::uint64_t link, const std::string& node,
                   const link::Heartbeat& heartbeat, kernel::TimePoint now);
  /// Records that the agent has adopted `revision`. An agent without a revision
  /// is not selected.
  void OnRevision(const std::string& node, std::uint64_t revision);
  /// Records the nodes that the platform's instance list marks as leaving.
  void OnLeavingNodes(const std::set<std::string>& nodes);

  std::optional<EndpointView> Choose(const RouteRequest& request,
                                     kernel::TimePoint now) override;
  std::optional<EndpointView> FindNode(const std::string& node,
                                       kernel::TimePoint now) override;
  void OnAssigned(const std::string& node) override;
  void OnReleased(const std::string& node) override;

  /// Returns one line of text for each endpoint, for operators.
  std::vector<std::string> Describe(kernel::TimePoint now);

 private:
  struct Row {
    std::uint64_t link = 0;
    link::Hello hello;
    bool leaving = false;         ///< The agent reports that it is leaving.
    bool listed_leaving = false;  ///< The instance list marks it as leaving.
    bool endpoint_up = true;
    std::uint64_t revision = 0;  ///< Configuration in force at the agent.
    /// Number of requests of all entries that the agent reported as running or
    /// queued in its last heartbeat.
    std::int64_t reported_load = 0;
    /// Requests that this entry has sent since the last heartbeat, minus those
    /// that have ended since then.
    std::int64_t load_since_report = 0;
    std::int64_t slots = 0;
    std::uint64_t clock_ms = 0;  ///< Agent's clock in its last message.
    /// Time at which `clock_ms` was received.
    kernel::TimePoint clock_received_at;
  };

  static EndpointView MakeView(const Row& row, kernel::TimePoint now);

  std::unique_ptr<IRoutePolicy> policy;
  kernel::ShardedMap<std::string, Row> rows;
};

}  // namespace banyanlane::entry
