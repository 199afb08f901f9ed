#include "experts/internal/switch_planner.h"

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// Fraction of a layer's time that a single change to its map must save.
constexpr double kMinGainPerChange = 0.015;

}  // namespace

double SwitchPlanner::TotalTime(double current_time, double planned_time,
                                double switch_ms,
                                const SwitchTimes& times) const {
  const double copying_ms = std::min(switch_ms, times.demand_ms);
  return current_time * this->limits.copying_slowdown * copying_ms +
         planned_time * (times.demand_ms - copying_ms);
}

SwitchPlan SwitchPlanner::FindBest(const ExpertMap& current,
                                   const GroupLoad& load,
                                   const RankSlowdowns& slowdowns,
                                   const SwitchTimes& times) const {
  const double current_time = MapStepTime(current, load, slowdowns);
  SwitchPlan best{current, current_time, current_time, 0};
  double best_total = current_time * times.demand_ms;
  for (std::size_t copies = 1; copies <= this->limits.bounds.max_copies;
       ++copies) {
    MapBounds bounds = this->limits.bounds;
    bounds.max_copies = copies;
    const EqualSharePlanner planner(bounds, kMinGainPerChange);
    SwitchPlan plan;
    plan.map = planner.Improve(current, load, slowdowns);
    plan.current_time = current_time;
    plan.planned_time = MapStepTime(plan.map, load, slowdowns);
    plan.switch_ms =
        times.overhead_ms +
        times.copy_ms * static_cast<double>(MaxCopiesOfRank(current, plan.map));
    const double total =
        this->TotalTime(current_time, plan.planned_time, plan.switch_ms, times);
    if (total >= best_total) break;
    best_total = total;
    best = std::move(plan);
  }
  return best;
}

std::optional<SwitchPlan> SwitchPlanner::Plan(const ExpertMap& current,
                                              const GroupLoad& load,
                                              const RankSlowdowns& slowdowns,
                                              const SwitchTimes& times) const {
  SwitchPlan best = this->FindBest(current, load, slowdowns, times);
  const double total_without_switch = best.current_time * times.demand_ms;
  const double total = this->TotalTime(best.current_time, best.planned_time,
                                       best.switch_ms, times);
  if (total >= total_without_switch * (1 - this->limits.min_saving))
    return std::nullopt;
  return best;
}

std::optional<SwitchPlan> SwitchPlanner::Replan(
    const ExpertMap& current, const ExpertMap& planned, double remaining_ms,
    const GroupLoad& load, const RankSlowdowns& slowdowns,
    const SwitchTimes& times) const {
  SwitchPlan best = this->FindBest(current, load, slowdowns, times);
  const double planned_total =
      this->TotalTime(best.current_time, MapStepTime(planned, load, slowdowns),
                      remaining_ms, times);
  const double total = this->TotalTime(best.current_time, best.planned_time,
                                       best.switch_ms, times);
  if (total > planned_total * (1 - this->limits.min_replan_saving))
    return std::nullopt;
  return best;
}

}  // namespace banyanlane::experts
