#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "experts/i_rank_engine.h"
#include "experts/internal/rank_agent.h"
#include "kernel/boot_clock.h"

namespace banyanlane::experts {

/// How often a rank agent polls its engine.
struct RankPollPeriods {
  kernel::Millis idle{250};  ///< While the agent has no active goal.
  kernel::Millis busy{20};   ///< While the agent has an active goal.
};

/// Polls the engine of one rank and sends it the orders that a RankAgent
/// decides on. Thread-safe. All times are those of its clock.
class RankEngineController
    : public std::enable_shared_from_this<RankEngineController> {
 public:
  /// @param address address of the engine, for the log.
  /// @param clock source of the times at which the engine responds.
  /// @param on_change called after a report or the experts in use were read,
  /// without the mutex held.
  RankEngineController(std::string address, std::shared_ptr<IRankEngine> engine,
                       const RankPollPeriods& poll_periods,
                       kernel::BootClock clock,
                       std::function<void()> on_change);

  /// Polls the engine if that is due, and sends the next order if one is
  /// needed.
  void Tick(kernel::TimePoint now);
  /// Passes a command to the agent, and sends the next order if one is needed.
  void OnCommand(const link::SwitchCommand& command, kernel::TimePoint now);
  /// Polls the engine at the next tick.
  void PollSoon(kernel::TimePoint now);

  /// Begins to leave the group, see RankAgent::BeginStop.
  void BeginStop();
  /// See RankAgent::IsNeededForSwitch.
  bool IsNeededForSwitch(kernel::TimePoint now);

  std::optional<link::RankStatus> Status(kernel::TimePoint now);
  std::optional<RankReport> Report();

 private:
  void Poll(kernel::TimePoint now);
  void SendNextOrder(kernel::TimePoint now);
  void OnReport(const kernel::Result<RankReport>& result);
  void OnExperts(const kernel::Result<RankExperts>& result);
  void OnOrderOutcome(OrderOutcome outcome);
  /// Logs when the engine becomes unreadable or readable.
  /// @param error error of the last read, or null.
  void LogReadability(const kernel::Error* error);

  std::string address;
  std::shared_ptr<IRankEngine> engine;
  RankPollPeriods poll_periods;
  kernel::BootClock clock;
  std::function<void()> on_change;
  std::mutex mutex;  ///< Protects all members below.
  RankAgent agent;
  std::optional<RankReport> report;
  kernel::TimePoint next_report_at;
  bool reading_report = false;
  bool reading_experts = false;
  bool is_unreadable = false;
};

}  // namespace banyanlane::experts
