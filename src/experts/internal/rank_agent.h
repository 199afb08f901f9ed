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
  kernel::Millis order{120};
  /// Copying of weights that takes longer than this is asked for again.
  kernel::Millis copy{4'000};
  /// A refused copy is asked for again after this: the refusal may come of an
  /// order that was lost and is under way, or of one still to be taken back.
  kernel::Millis refused{150};
};

/// An order to send to the engine.
struct SendOrder {
  RankOrder order;
  std::uint64_t epoch = 0;
  std::uint64_t fence = 0;
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
  std::optional<SendOrder> NextOrder(kernel::TimePoint now);
  void OnOrderOutcome(OrderOutcome outcome, kernel::TimePoint now);

  /// Returns what to tell the lead, or nothing before the first report.
  std::optional<link::RankStatus> Status(kernel::TimePoint now) const;

  /// Returns whether the experts in use must be read.
  bool NeedsExperts() const;
  /// Returns whether a goal is not reached yet.
  bool IsBusy(kernel::TimePoint now) const;

 private:
  bool LeaseEnded(kernel::TimePoint now) const;
  std::optional<RankOrder> Missing(kernel::TimePoint now) const;
  std::optional<RankOrder> MissingPrepare(std::uint64_t version,
                                          kernel::TimePoint now) const;

  RankAgentLimits limits;
  std::optional<RankReport> report;
  std::optional<RankExperts> experts;
  std::optional<link::SwitchCommand> command;
  kernel::TimePoint heard_at;  ///< Of the lead.
  std::uint64_t highest_fence = 0;
  std::optional<kernel::TimePoint> order_sent;  ///< Of the order under way.
  std::uint64_t preparing = 0;  ///< Version whose copying was asked for.
  kernel::TimePoint ask_again_at;
  std::uint64_t refused_version = 0;  ///< Whose copying was refused last.
  std::uint64_t ordered_version = 0;  ///< Of the PrepareOrder under way.
};

}  // namespace banyanlane::experts
