#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "experts/i_rank_engine.h"
#include "experts/internal/rank_agent.h"

namespace banyanlane::experts {

/// How often a rank agent looks at its engine.
struct RankPollPeriods {
  kernel::Millis idle{250};  ///< While no change is under way.
  kernel::Millis busy{20};   ///< While one is.
};

/// A rank agent bound to its engine. Times are those of the boot clock.
class RankEngineController
    : public std::enable_shared_from_this<RankEngineController> {
 public:
  /// @param address of the engine, for the log.
  /// @param on_change called, without a lock, after something was learned.
  RankEngineController(std::string address, std::shared_ptr<IRankEngine> engine,
                       const RankPollPeriods& poll_periods,
                       std::function<void()> on_change);

  /// Looks at the engine when it is time, and sends the order that is missing.
  void Tick(kernel::TimePoint now);
  /// Takes a command, and sends the order that it needs.
  void OnCommand(const link::SwitchCommand& command, kernel::TimePoint now);
  /// Looks at the engine at the next tick.
  void PollSoon(kernel::TimePoint now);

  std::optional<link::RankStatus> Status(kernel::TimePoint now);
  std::optional<RankReport> Report();

 private:
  void Poll(kernel::TimePoint now);
  void SendNextOrder(kernel::TimePoint now);
  void OnReport(const kernel::Result<RankReport>& result);
  void OnExperts(const kernel::Result<RankExperts>& result);
  void OnOrderOutcome(OrderOutcome outcome);
  /// Logs when the engine ceases or begins to be readable.
  void LogReadability(const kernel::Error* error);

  std::string address;
  std::shared_ptr<IRankEngine> engine;
  RankPollPeriods poll_periods;
  std::function<void()> on_change;
  std::mutex mutex;  ///< Of all that follows.
  RankAgent agent;
  std::optional<RankReport> report;
  kernel::TimePoint next_report_at;
  bool reading_report = false;
  bool reading_experts = false;
  bool is_unreadable = false;
};

}  // namespace banyanlane::experts
