#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "experts/i_rank_engine.h"
#include "experts/internal/map_codec.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Timeouts of a RankAgent.
struct RankAgentLimits {
  /// Time without commands of the leader after which another one may be
  /// followed: several times the period at which a leader repeats commands, and
  /// half the time that callers wait for a silent stream.
  kernel::Millis lease{1'000};
  /// Time after which an order without response counts as lost; many times the
  /// duration of a local call.
  kernel::Millis order_timeout{120};
  /// Time after which an accepted PrepareOrder is sent again if the engine has
  /// not copied the weights yet.
  kernel::Millis copy_timeout{4'000};
  /// Time after which a refused PrepareOrder is sent again. The cause of the
  /// refusal may be temporary, such as an armed map that is still to be
  /// disarmed, or an earlier order that counted as lost.
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
/// repeated orders. All `now` parameters are times of kernel::BootNow, which
/// advances while the machine is suspended, since leases expire by it.
class RankAgent {
 public:
  explicit RankAgent(const RankAgentLimits& limits) : limits(limits) {}

  /// Accepts a command if no leader is followed, if it belongs to the attempt
  /// that is followed, or if it has a higher fencing token and either is of the
  /// same leader or the lease has expired. Ignores others, and those for
  /// another group or epoch, but records their fencing tokens.
  /// @return whether the command was accepted. An outdated command of the
  /// attempt that is followed counts as accepted, and renews the lease.
  bool OnCommand(const link::SwitchCommand& command, kernel::TimePoint now);

  void OnReport(const RankReport& report);
  void OnExperts(const RankExperts& experts);

  /// Returns the next order that is needed to reach the goal, or nothing if
  /// none is needed or one is in flight.
  std::optional<FencedOrder> NextOrder(kernel::TimePoint now);
  void OnOrderOutcome(OrderOutcome outcome, kernel::TimePoint now);

  /// Begins to leave the group: statuses report it as not open, so that leaders
  /// begin no further switch, unless the engine has an unfinished one.
  void BeginStop() { this->is_stopping = true; }
  /// Returns whether a switch may depend on this agent: the engine is armed or
  /// holds the group, or a leader whose lease is valid does more than to let
  /// ranks prepare.
  bool IsNeededForSwitch(kernel::TimePoint now) const;

  /// Returns the status to send to the leader, or nothing before the first
  /// report.
  std::optional<link::RankStatus> Status(kernel::TimePoint now) const;

  /// Returns whether the experts in use must be read from the engine.
  bool NeedsExperts() const;
  /// Returns whether the engine's state is about to change: it is armed or
  /// holds the group, or a leader whose lease is valid has set a goal other
  /// than to follow it.
  bool HasActiveGoal(kernel::TimePoint now) const;

 private:
  /// Map that the leader has sent, or that is in use.
  struct KnownMap {
    std::uint64_t version = 0;
    ExpertMap map;
  };

  bool IsLeaseExpired(kernel::TimePoint now) const;
  /// Returns whether the engine is armed or holds the group.
  bool HasUnfinishedSwitch() const;
  /// Keeps the map of an accepted command, if it has one. Commands that are
  /// repeated have none.
  void KeepMap(const link::SwitchCommand& accepted);
  /// Returns the map that changes refer to, or nothing if it is not known.
  std::optional<ExpertMap> FindBase(const MapChangesHeader& header) const;
  std::optional<RankOrder> OrderForGoal(kernel::TimePoint now) const;
  std::optional<RankOrder> PrepareOrderIfNeeded(std::uint64_t version,
                                                kernel::TimePoint now) const;

  RankAgentLimits limits;
  std::optional<RankReport> report;
  std::optional<RankExperts> experts;
  std::optional<link::SwitchCommand> command;
  std::optional<KnownMap> received_map;  ///< The last map that was received.
  /// The map in use, if it was received before.
  std::optional<KnownMap> current_map;
  kernel::TimePoint last_command_at;  ///< Time of the leader's last command.
  std::uint64_t highest_fencing_token = 0;
  /// Time at which the last order was sent; unset once the engine has
  /// responded.
  std::optional<kernel::TimePoint> order_sent_at;
  /// Version of the last PrepareOrder that the engine accepted or refused, or 0
  /// if there was none since the group formed.
  std::uint64_t preparing_version = 0;
  /// Time after which preparing_version is ordered again if it is still needed.
  kernel::TimePoint prepare_retry_at;
  /// Version of the last PrepareOrder that got a response if the engine refused
  /// it, version of the last map that was received as changes to an unknown
  /// map, or 0.
  std::uint64_t refused_version = 0;
  /// Version of the last order if it was a PrepareOrder, or 0.
  std::uint64_t pending_prepare_version = 0;
  bool is_stopping = false;
};

}  // namespace banyanlane::experts
