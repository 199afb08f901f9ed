#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "experts/i_rank_engine.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Timeouts of a RankAgent.
struct RankAgentLimits {
  /// Time without commands after which another leader may be followed: ten
  /// times the period of repeated commands, and half the time that callers wait
  /// for a silent stream.
  kernel::Millis lease{1'000};
  /// Time after which an order without response counts as lost; many times the
  /// duration of a local call.
  kernel::Millis order_timeout{120};
  /// Time after which weights that are not copied yet are ordered again.
  kernel::Millis copy_timeout{4'000};
  /// Time after which a refused copy is ordered again. An earlier order that
  /// counted as lost may have caused the refusal, or one that is still to be
  /// withdrawn.
  kernel::Millis refusal_retry_delay{150};
};

/// An order with the epoch and the fencing token to send it with.
struct FencedOrder {
  RankOrder order;
  std::uint64_t epoch = 0;
  std::uint64_t fencing_token = 0;
};

/// Decides which orders bring the engine of one rank to the goal that the
/// group's leader has set. Does no I/O; not thread-safe.
///
/// Only reports of the engine show its state; results of orders merely avoid
/// repeated orders. The clock of all `now` parameters must advance while the
/// machine is suspended, since leases expire by it.
class RankAgent {
 public:
  explicit RankAgent(const RankAgentLimits& limits) : limits(limits) {}

  /// Accepts a command of a leader that may be followed; ignores others.
  /// @return whether the leader is followed.
  bool OnCommand(const link::SwitchCommand& command, kernel::TimePoint now);

  void OnReport(const RankReport& report);
  void OnExperts(const RankExperts& experts);

  /// Returns the next order that is needed to reach the goal, or nothing if
  /// none is needed or one is in flight.
  std::optional<FencedOrder> NextOrder(kernel::TimePoint now);
  void OnOrderOutcome(OrderOutcome outcome, kernel::TimePoint now);

  /// Returns the status to send to the leader, or nothing before the first
  /// report.
  std::optional<link::RankStatus> Status(kernel::TimePoint now) const;

  /// Returns whether the experts in use must be read from the engine.
  bool NeedsExperts() const;
  /// Returns whether a leader has set a goal other than to follow it.
  bool HasActiveGoal(kernel::TimePoint now) const;

 private:
  bool IsLeaseExpired(kernel::TimePoint now) const;
  std::optional<RankOrder> OrderForGoal(kernel::TimePoint now) const;
  std::optional<RankOrder> PrepareOrderIfNeeded(std::uint64_t version,
                                                kernel::TimePoint now) const;

  RankAgentLimits limits;
  std::optional<RankReport> report;
  std::optional<RankExperts> experts;
  std::optional<link::SwitchCommand> command;
  kernel::TimePoint leader_seen_at;  ///< Time of the leader's last command.
  std::uint64_t highest_fencing_token = 0;
  std::optional<kernel::TimePoint>
      order_sent_at;  ///< Set while one is in flight.
                      /// Version that the engine was last ordered to prepare.
  std::uint64_t preparing_version = 0;
  kernel::TimePoint prepare_retry_at;
  /// Version that the engine refused to prepare, or 0.
  std::uint64_t refused_version = 0;
  /// Version of the last order if it was a PrepareOrder, or 0.
  std::uint64_t pending_prepare_version = 0;
};

}  // namespace banyanlane::experts
