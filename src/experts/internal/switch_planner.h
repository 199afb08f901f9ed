#pragma once

#include <optional>

#include "experts/internal/equal_share_planner.h"

namespace banyanlane::experts {

/// Durations in milliseconds that decide whether a switch to another map is
/// worth its cost.
struct SwitchTimes {
  double copy_ms = 0;      ///< Time in which a rank copies one expert.
  double overhead_ms = 0;  ///< Time that a switch takes besides copying.
  double demand_ms = 0;    ///< Expected time until the demand shifts again.
  /// Time in which the leader sends one change of the map to all ranks.
  double send_ms = 0;
};

/// Bounds and thresholds of a SwitchPlanner.
struct SwitchPlannerLimits {
  /// max_copies is the highest number of copies per rank that is considered.
  MapBounds bounds;
  /// Fraction of the step time until the next shift of demand that a switch
  /// must save, with the time of the switch taken into account.
  double min_saving = 0.06;
  /// The same for a plan that replaces another one while ranks copy weights.
  double min_replan_saving = 0.15;
  /// Factor by which steps are longer while ranks copy weights.
  double copying_slowdown = 1.15;
};

/// A map that is worth a switch.
struct SwitchPlan {
  ExpertMap map;
  double current_time = 0;  ///< MapStepTime of the map in use.
  double planned_time = 0;  ///< MapStepTime of `map`.
  double switch_ms = 0;     ///< Expected duration of the switch.
};

/// Decides whether the ranks of a group should switch to another map, and to
/// which one. Does no I/O; keeps no state.
///
/// All ranks wait for the one that copies most experts, and until then the
/// current map is in use. After a shift of demand a map that needs one copy per
/// rank can therefore be better than one that balances the load best. A plan
/// has the number of copies per rank that makes the total step time until the
/// next shift of demand shortest.
class SwitchPlanner {
 public:
  explicit SwitchPlanner(const SwitchPlannerLimits& limits) : limits(limits) {}

  /// Returns the best switch from `current`, or nothing if none saves enough.
  std::optional<SwitchPlan> Plan(const ExpertMap& current,
                                 const GroupLoad& load,
                                 const RankSlowdowns& slowdowns,
                                 const SwitchTimes& times) const;

  /// Returns a switch that prepares an idle group for any demand, or nothing if
  /// its ranks have no free places. It copies as much as one switch can, since
  /// no step waits for it.
  std::optional<SwitchPlan> PlanWhileIdle(const ExpertMap& current,
                                          const SwitchTimes& times) const;

  /// Returns a switch that is better than the one in progress, or nothing if
  /// none saves enough.
  /// @param planned map whose weights the ranks are copying.
  /// @param remaining_ms expected time until `planned` is in use.
  std::optional<SwitchPlan> Replan(const ExpertMap& current,
                                   const ExpertMap& planned,
                                   double remaining_ms, const GroupLoad& load,
                                   const RankSlowdowns& slowdowns,
                                   const SwitchTimes& times) const;

 private:
  /// Returns the best switch from `current`, whether or not it saves enough.
  SwitchPlan FindBest(const ExpertMap& current, const GroupLoad& load,
                      const RankSlowdowns& slowdowns,
                      const SwitchTimes& times) const;
  /// Adds copies that ranks have time to make while others copy more.
  void FillFreePlaces(const ExpertMap& current, const GroupLoad& load,
                      const RankSlowdowns& slowdowns, const SwitchTimes& times,
                      SwitchPlan& plan) const;
  /// Returns the sum of step times until the next shift of demand, relative to
  /// the number of steps.
  double TotalTime(double current_time, double planned_time, double switch_ms,
                   const SwitchTimes& times) const;

  SwitchPlannerLimits limits;
};

}  // namespace banyanlane::experts
