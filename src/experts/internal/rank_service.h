#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "experts/i_rank_engine.h"
#include "experts/internal/counts_sampler.h"
#include "experts/internal/group_leader.h"
#include "experts/internal/leader_election.h"
#include "experts/internal/rank_engine_controller.h"
#include "kernel/boot_clock.h"
#include "kernel/metrics.h"
#include "link/i_link.h"
#include "peers/i_peers.h"

namespace banyanlane::experts {

/// Periods at which a rank agent reads from its engine and reports to others.
struct RankServiceLimits {
  RankPollPeriods poll_periods;
  /// Longest time between two statuses to other agents, unless this agent
  /// leads. A changed status is sent immediately.
  kernel::Millis status_period{250};
  kernel::Millis publish_period{1'000};  ///< State updates to gateways.
  /// Time between two statuses of a leader to the other agents. A changed
  /// status is not sent earlier.
  kernel::Millis leader_status_period{300};
  /// Bytes of expert counts per second that the leader receives from all ranks.
  double counts_bytes_per_second = 120'000;
};

/// Connects the agent of one rank to its engine and to the agents of other
/// ranks, and runs the group's leader if this process leads. Thread-safe.
class RankService : public link::ILinkObserver,
                    public std::enable_shared_from_this<RankService> {
 public:
  /// @param node id of this process.
  /// @param engine_address address of the engine, by which gateways match the
  /// engine's slowdown to its endpoint.
  /// @param clock source of all times that decisions depend on.
  /// @param seed unique number of this incarnation of the process.
  RankService(std::string node, std::string engine_address,
              const RankServiceLimits& limits,
              const GroupLeaderLimits& leader_limits,
              std::shared_ptr<IRankEngine> engine,
              std::shared_ptr<peers::IPeers> peers,
              std::shared_ptr<kernel::Metrics> metrics, kernel::BootClock clock,
              std::uint64_t seed);

  /// Connects to the engine. Must be called once, before all other functions.
  void Open();

  /// Sets bounds on the maps that are planned, see GroupLeader::SetBounds.
  void SetBounds(std::size_t max_experts_per_rank,
                 std::size_t max_new_experts_per_rank, double copy_ms);

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Polls the engine, updates the leadership, and sends what is due.
  void OnTick(kernel::TimePoint now);

  /// Begins a graceful stop: no switch begins any more that needs this agent.
  void BeginStop();
  /// Returns what a graceful stop still waits for, or "". A group whose agent
  /// ends in the middle of a switch stays held.
  std::string Pending();

 private:
  /// A message to send after the mutex has been released.
  struct OutgoingMessage {
    link::LinkPtr link;
    link::Message message;
  };
  using Outbox = std::vector<OutgoingMessage>;

  void OnStatus(const link::LinkPtr& link, const link::RankStatus& status,
                kernel::TimePoint now);
  /// @param counts counts in the form of PackCounts, which are unpacked.
  void OnPackedCounts(link::ExpertCounts& counts, kernel::TimePoint now);
  void OnEngineChanged();
  void ReadCounts(kernel::TimePoint now);
  void OnCounts(const kernel::Result<RankCounts>& result);
  /// @param selections selections of a sample, by layer and expert.
  void SendCounts(std::vector<std::uint64_t> selections, Outbox& outbox,
                  kernel::TimePoint now);
  void UpdateLeadership(kernel::TimePoint now);
  void RunLeader(Outbox& outbox, kernel::TimePoint now);
  void SendCommand(GroupLeader::OutgoingCommand outgoing, Outbox& outbox,
                   kernel::TimePoint now);
  void SendStatus(Outbox& outbox, kernel::TimePoint now);
  /// Publishes the engine's state to the gateways, and keeps links to all ranks
  /// while this process leads.
  /// @param engine last report of the engine, or a default one.
  void Publish(bool is_leader, const RankReport& engine);
  static void SendAll(const Outbox& outbox);

  std::string node;
  std::string engine_address;
  RankServiceLimits limits;
  std::shared_ptr<IRankEngine> engine;
  std::shared_ptr<peers::IPeers> peers;
  std::shared_ptr<kernel::Metrics> metrics;
  kernel::BootClock clock;
  std::shared_ptr<RankEngineController> controller;
  std::optional<kernel::TimePoint> stop_began_at;
  std::mutex mutex;  ///< Protects all members below.
  GroupLeader leader;
  std::vector<link::LinkPtr> links;  ///< Links to other rank agents.
  /// Link on which the last status of each rank arrived, by rank.
  std::map<std::uint64_t, link::LinkPtr> links_by_rank;
  std::optional<RankReport> report;
  CountsSampler sampler;
  std::optional<link::RankStatus> last_sent_status;
  kernel::TimePoint status_sent_at;
  kernel::TimePoint next_publish_at;
  LeaderElection election;
  bool is_leading = false;
  bool reading_counts = false;
};

}  // namespace banyanlane::experts
