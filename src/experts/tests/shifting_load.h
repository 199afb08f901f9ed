#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "experts/internal/demand_estimator.h"
#include "experts/internal/switch_planner.h"

namespace banyanlane::experts {

/// What the callers of a ShiftingLoad got.
struct StreamResults {
  int streams = 0;
  int in_time = 0;  ///< Streams without a pause over the goal.
  int switches = 0;
  int copies = 0;
};

/// Parameters of a ShiftingLoad.
struct LoadShape {
  double streams_per_second = 45;
  kernel::Millis shift_interval{3'800};
  double copy_ms = 400;
  double known_copy_ms = 400;  ///< Copying time that the planner is told.
  double pause_goal_ms = 120;
};

/// Deterministic model of callers' streams at a group of ranks in lock-step,
/// while other experts become popular every few seconds. Its maps are planned
/// by the same DemandEstimator and SwitchPlanner as those of a group.
class ShiftingLoad {
 public:
  ShiftingLoad(const LoadShape& shape, const SwitchPlannerLimits& limits,
               std::uint64_t seed);

  /// Plays the load and returns what callers got.
  StreamResults Play(kernel::Millis duration);

 private:
  struct Switch {
    SwitchPlan plan;
    kernel::TimePoint done_at;
    int shifts = 0;  ///< Shifts of demand before the plan.
  };
  struct Stream {
    int events_left = 0;
    bool in_time = true;
  };

  void ShiftDemand();
  /// Returns the duration of a step with the present streams, map and demand.
  double StepMillis() const;
  void AdmitStreams(double step_ms);
  /// Gives one event to each stream.
  void EmitEvents(double step_ms);
  void ReportCounts();
  void PlanMaps();
  void BeginSwitch(SwitchPlan plan, const SwitchTimes& times);

  LoadShape shape;
  SwitchPlanner planner;
  DemandEstimator estimator;
  std::mt19937_64 random;
  kernel::TimePoint now;
  kernel::TimePoint reported_at;
  GroupLoad demand;
  ExpertMap map;
  std::optional<Switch> pending;
  std::vector<Stream> streams;
  double arrivals_due = 0;
  StreamResults results;
};

}  // namespace banyanlane::experts
