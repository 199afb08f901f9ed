#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/internal/i_endpoint_directory.h"
#include "entry/internal/route_policy.h"
#include "kernel/sharded_map.h"
#include "link/i_link.h"

namespace banyanlane::entry {

/// The agents this entry has links to, sharded by node.
class EndpointTable : public IEndpointDirectory {
 public:
  explicit EndpointTable(std::unique_ptr<IRoutePolicy> policy)
      : policy(std::move(policy)) {}

  void OnLinkUp(std::uint64_t link, const link::Hello& hello,
                kernel::TimePoint now);
  void OnLinkDown(std::uint64_t link, const std::string& node);
  void OnHeartbeat(std::uint64_t link, const std::string& node,
                   const link::Heartbeat& heartbeat, kernel::TimePoint now);
  /// The agent has adopted `revision`; before its first it can take no work.
  void OnRevision(const std::string& node, std::uint64_t revision);
  /// The platform lists these nodes as leaving.
  void OnListedLeaving(const std::set<std::string>& nodes);

  std::optional<EndpointView> Choose(const RouteRequest& request,
                                     kernel::TimePoint now) override;
  std::optional<EndpointView> FindNode(const std::string& node,
                                       kernel::TimePoint now) override;
  void OnAssigned(const std::string& node) override;
  void OnReleased(const std::string& node) override;

  /// Returns a line for each endpoint, for operators.
  std::vector<std::string> Describe(kernel::TimePoint now);

 private:
  struct Row {
    std::uint64_t link = 0;
    link::Hello hello;
    bool leaving = false;
    bool listed_leaving = false;
    bool endpoint_up = true;
    std::uint64_t revision = 0;  ///< Configuration in force at the agent.
    std::int64_t reported =
        0;  ///< Requests there at the last report, of all entries.
    std::int64_t since_report =
        0;  ///< Sent less ended by this entry since that report.
    std::int64_t slots = 0;
    std::uint64_t clock_ms = 0;
    kernel::TimePoint clock_heard;
  };

  static EndpointView ViewOf(const Row& row, kernel::TimePoint now);

  std::unique_ptr<IRoutePolicy> policy;
  kernel::ShardedMap<std::string, Row> rows;
};

}  // namespace banyanlane::entry
