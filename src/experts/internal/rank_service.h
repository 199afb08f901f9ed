#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "experts/i_rank_engine.h"
#include "experts/internal/group_lead.h"
#include "experts/internal/rank_agent.h"
#include "link/i_link.h"
#include "peers/i_peers.h"

namespace banyanlane::experts {

/// How often a rank agent looks at its engine.
struct RankServiceLimits {
  kernel::Millis calm_poll{250};  ///< While no change is under way.
  kernel::Millis busy_poll{20};   ///< While one is.
  kernel::Millis counts_poll{120};
  kernel::Millis answer{400};     ///< Bound on one read.
  kernel::Millis publish{1'000};  ///< Statements to gateways.
  /// Statements of a lead to the agents that it does not command now.
  kernel::Millis lead_statement{500};
  /// The agent of rank 0 leads when no other lead has been heard of for this
  /// long; each further rank waits longer by the second figure.
  kernel::Millis lead_after{1'200};
  kernel::Millis lead_stagger{500};
};

/// Binds a rank agent, and the lead of its group when this process is it, to
/// the engine and to links.
class RankService : public link::ILinkObserver,
                    public std::enable_shared_from_this<RankService> {
 public:
  /// @param engine_address under which callers know the engine.
  RankService(std::string node, std::string engine_address,
              const RankServiceLimits& limits,
              const GroupLeadLimits& lead_limits,
              std::shared_ptr<IRankEngine> engine,
              std::shared_ptr<peers::IPeers> peers, std::uint64_t seed);

  /// Sets what maps may look like.
  void SetBounds(std::size_t places, std::size_t spare);

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Looks at the engine when it is time, and carries out what is decided.
  void OnTick(kernel::TimePoint now);

 private:
  /// A message to send once the lock is free.
  struct Outgoing {
    link::LinkPtr link;
    link::Message message;
  };
  using Outbox = std::vector<Outgoing>;

  void Poll(kernel::TimePoint now);
  void OnReport(const kernel::Result<RankReport>& result);
  void OnCounts(const kernel::Result<RankCounts>& result);
  void OnExperts(const kernel::Result<RankExperts>& result);
  void OnOrderOutcome(OrderOutcome outcome);
  /// Sends the order that is missing, if any, and the state to the lead.
  void Act(Outbox& outbox, kernel::TimePoint now);
  void Lead(Outbox& outbox, kernel::TimePoint now);
  bool IsLead(kernel::TimePoint now) const;
  void ReportStatus(Outbox& outbox, kernel::TimePoint now);
  void SendCounts(const RankCounts& counts, Outbox& outbox,
                  kernel::TimePoint now);
  void OnCommand(const link::SwitchCommand& command, Outbox& outbox,
                 kernel::TimePoint now);
  static void Deliver(const Outbox& outbox);

  std::string node;
  std::string engine_address;
  RankServiceLimits limits;
  std::shared_ptr<IRankEngine> engine;
  std::shared_ptr<peers::IPeers> peers;
  std::mutex mutex;  ///< Of all that follows.
  RankAgent agent;
  GroupLead lead;
  std::vector<link::LinkPtr> links;                ///< To other rank agents.
  std::map<std::uint64_t, link::LinkPtr> by_rank;  ///< As last heard.
  std::optional<RankReport> report;
  std::vector<std::uint64_t> counts_sent;
  std::optional<link::RankStatus> last_status;
  kernel::TimePoint status_sent_at;
  kernel::TimePoint next_report;
  kernel::TimePoint next_counts;
  kernel::TimePoint next_publish;
  kernel::TimePoint lower_rank_seen;  ///< A lead beside a lower rank.
  bool leading = false;
  bool reading_report = false;
  bool reading_counts = false;
  bool reading_experts = false;
};

}  // namespace banyanlane::experts
