#include "experts/internal/switch_planner.h"

#include <algorithm>
#include <limits>

namespace banyanlane::experts {
namespace {

/// Load ratio that allows all copies for which there are free places.
constexpr double kAnyLoad = std::numeric_limits<double>::infinity();
/// Longest time for which the ranks of an idle group copy weights. It is less
/// than RankAgentLimits::copy_timeout, so that no order is repeated.
constexpr double kMaxIdleCopyMillis = 3'000;
/// Fraction of a layer's time that a single change to its map must save.
constexpr double kMinGainPerChange = 0.015;

/// Returns the number of changes of a map that the leader sends to all ranks
/// within `millis`.
std::size_t CopiesSentWithin(double millis, const SwitchTimes& times) {
  if (times.send_ms <= 0) return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(millis / times.send_ms);
}

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
  const EqualSharePlanner planner(this->limits.bounds, kMinGainPerChange);
  for (ExpertMap& map : planner.ImproveInStages(current, load, slowdowns)) {
    const std::size_t copies = MaxCopiesOfRank(current, map);
    const double planned_time = MapStepTime(map, load, slowdowns);
    const double switch_ms =
        times.overhead_ms + times.copy_ms * static_cast<double>(copies);
    const double total =
        this->TotalTime(current_time, planned_time, switch_ms, times);
    if (total >= best_total) continue;
    best_total = total;
    best = {std::move(map), current_time, planned_time, switch_ms};
  }
  return best;
}

void SwitchPlanner::FillFreePlaces(const ExpertMap& current,
                                   const GroupLoad& load,
                                   const RankSlowdowns& slowdowns,
                                   const SwitchTimes& times,
                                   SwitchPlan& plan) const {
  MapBounds bounds = this->limits.bounds;
  bounds.max_copies = MaxCopiesOfRank(current, plan.map);
  const double copying_ms =
      times.copy_ms * static_cast<double>(bounds.max_copies);
  plan.map = EqualSharePlanner(bounds, kMinGainPerChange)
                 .FillFreePlaces(current, plan.map, load, slowdowns, 1,
                                 CopiesSentWithin(copying_ms, times));
  plan.planned_time = MapStepTime(plan.map, load, slowdowns);
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
  this->FillFreePlaces(current, load, slowdowns, times, best);
  return best;
}

std::optional<SwitchPlan> SwitchPlanner::PlanWhileIdle(
    const ExpertMap& current, const SwitchTimes& times) const {
  const std::size_t ranks = current.front().size();
  std::uint64_t experts = 0;
  for (const auto& held : current.front()) {
    for (const std::uint64_t expert : held)
      experts = std::max(experts, expert + 1);
  }
  const GroupLoad any_demand(current.size(), LayerLoad(experts, 1.0));
  MapBounds bounds = this->limits.bounds;
  bounds.max_copies = bounds.max_new_experts_per_rank * current.size();
  if (times.copy_ms > 0) {
    const auto in_time =
        static_cast<std::size_t>(kMaxIdleCopyMillis / times.copy_ms);
    bounds.max_copies = std::clamp<std::size_t>(in_time, 1, bounds.max_copies);
  }
  SwitchPlan plan;
  plan.map = EqualSharePlanner(bounds, kMinGainPerChange)
                 .FillFreePlaces(current, current, any_demand,
                                 RankSlowdowns(ranks, 1.0), kAnyLoad,
                                 CopiesSentWithin(kMaxIdleCopyMillis, times));
  const std::size_t copies = MaxCopiesOfRank(current, plan.map);
  if (copies == 0) return std::nullopt;
  plan.switch_ms =
      times.overhead_ms + times.copy_ms * static_cast<double>(copies);
  return plan;
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
  this->FillFreePlaces(current, load, slowdowns, times, best);
  return best;
}

}  // namespace banyanlane::experts
