#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "experts/i_rank_engine.h"
#include "experts/internal/group_leader.h"
#include "experts/internal/leader_election.h"
#include "experts/internal/rank_engine_controller.h"
#include "kernel/metrics.h"
#include "link/i_link.h"
#include "peers/i_peers.h"

namespace banyanlane::experts {

/// How a rank agent deals with its engine and with other agents.
struct RankServiceLimits {
  RankPollPeriods poll_periods;
  kernel::Millis counts_poll_period{120};
  kernel::Millis status_period{250};     ///< Statements to other agents.
  kernel::Millis publish_period{1'000};  ///< Statements to gateways.
  /// Statements of a lead to the agents that it does not command now.
  kernel::Millis leader_status_period{300};
};

/// Binds a rank agent, and the lead of its group when this process is it, to
/// the engine and to links.
class RankService : public link::ILinkObserver,
                    public std::enable_shared_from_this<RankService> {
 public:
  /// @param engine_address under which callers know the engine.
  RankService(std::string node, std::string engine_address,
              const RankServiceLimits& limits,
              const GroupLeaderLimits& leader_limits,
              std::shared_ptr<IRankEngine> engine,
              std::shared_ptr<peers::IPeers> peers,
              std::shared_ptr<kernel::Metrics> metrics, std::uint64_t seed);

  /// Binds to the engine. Call once, before anything else.
  void Open();

  /// Sets what maps may look like.
  void SetBounds(std::size_t max_experts_per_layer,
                 std::size_t max_copies_per_layer);

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Looks at the engine when it is time, and carries out what is decided.
  void OnTick(kernel::TimePoint now);

 private:
  /// A message to send once the lock is free.
  struct OutgoingMessage {
    link::LinkPtr link;
    link::Message message;
  };
  using Outbox = std::vector<OutgoingMessage>;

  void OnStatus(const link::LinkPtr& link, const link::RankStatus& status,
                kernel::TimePoint now);
  void OnEngineChanged();
  void ReadCounts(kernel::TimePoint now);
  void OnCounts(const kernel::Result<RankCounts>& result);
  void SendCounts(const RankCounts& counts, Outbox& outbox,
                  kernel::TimePoint now);
  void UpdateLeadership(kernel::TimePoint now);
  void RunLeader(Outbox& outbox, kernel::TimePoint now);
  void SendCommand(GroupLeader::OutgoingCommand outgoing, Outbox& outbox,
                   kernel::TimePoint now);
  void SendStatus(Outbox& outbox, kernel::TimePoint now);
  /// Tells gateways of the engine, and keeps links to all ranks while it leads.
  void Publish(bool is_leader, double slowdown);
  static void SendAll(const Outbox& outbox);

  std::string node;
  std::string engine_address;
  RankServiceLimits limits;
  std::shared_ptr<IRankEngine> engine;
  std::shared_ptr<peers::IPeers> peers;
  std::shared_ptr<kernel::Metrics> metrics;
  std::shared_ptr<RankEngineController> controller;
  std::mutex mutex;  ///< Of all that follows.
  GroupLeader leader;
  std::vector<link::LinkPtr> links;  ///< To other rank agents.
  std::map<std::uint64_t, link::LinkPtr> links_by_rank;  ///< As last heard.
  std::optional<RankReport> report;
  std::vector<std::uint64_t> last_sent_counts;
  std::optional<link::RankStatus> last_sent_status;
  kernel::TimePoint status_sent_at;
  kernel::TimePoint next_counts_at;
  kernel::TimePoint next_publish_at;
  LeaderElection election;
  bool is_leading = false;
  bool reading_counts = false;
};

}  // namespace banyanlane::experts
