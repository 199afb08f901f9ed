#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "experts/i_rank_engine.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// How a rank agent deals with its engine and its lead.
struct RankAgentLimits {
  /// A lead that says nothing for this long may be replaced: ten of its
  /// repeated commands, and half the time that callers wait for a silent
  /// stream.
  kernel::Millis lease{1'000};
  /// An order without an answer counts as lost after this: many times a local
  /// call's duration.
  kernel::Millis order_timeout{120};
  /// Copying of weights that takes longer than this is asked for again.
  kernel::Millis copy_timeout{4'000};
  /// A refused copy is asked for again after this: the refusal may come of an
  /// order that was lost and is under way, or of one still to be taken back.
  kernel::Millis refusal_retry_delay{150};
};

/// An order to send to the engine.
struct FencedOrder {
  RankOrder order;
  std::uint64_t epoch = 0;
  std::uint64_t fencing_token = 0;
};

/// Decisions of the process beside one rank: brings its engine to the goal that
/// the group's lead has set. I/O-free; not thread-safe.
///
/// The engine's report alone tells what is so; answers to orders only save
/// asking again. Present times must go on while the machine is suspended, since
/// leases end by them.
class RankAgent {
 public:
  explicit RankAgent(const RankAgentLimits& limits) : limits(limits) {}

  /// Takes a command. @return whether its lead is obeyed.
  bool OnCommand(const link::SwitchCommand& command, kernel::TimePoint now);

  void OnReport(const RankReport& report);
  void OnExperts(const RankExperts& experts);

  /// Returns the order that brings the engine nearer to the goal, if one is
  /// needed and none is under way.
  std::optional<FencedOrder> NextOrder(kernel::TimePoint now);
  void OnOrderOutcome(OrderOutcome outcome, kernel::TimePoint now);

  /// Returns what to tell the lead, or nothing before the first report.
  std::optional<link::RankStatus> Status(kernel::TimePoint now) const;

  /// Returns whether the experts in use must be read.
  bool NeedsExperts() const;
  /// Returns whether a goal is not reached yet.
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
  kernel::TimePoint leader_seen_at;  ///< Of the lead.
  std::uint64_t highest_fencing_token = 0;
  std::optional<kernel::TimePoint> order_sent_at;  ///< Of the order under way.
  std::uint64_t preparing_version =
      0;  ///< Version whose copying was asked for.
  kernel::TimePoint prepare_retry_at;
  std::uint64_t refused_version = 0;  ///< Whose copying was refused last.
  std::uint64_t pending_prepare_version =
      0;  ///< Of the PrepareOrder under way.
};

}  // namespace banyanlane::experts
