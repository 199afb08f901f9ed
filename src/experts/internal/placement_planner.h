#pragma once

#include <vector>

#include "experts/experts_types.h"

namespace banyanlane::experts {

/// What a move is worth and what it costs.
struct PlanEconomics {
  double skew_weight = 1;   ///< Worth of a second saved in steps.
  double move_weight = 1;   ///< Worth of a second spent on transfers.
  double lifetime_s = 600;  ///< How long a placement is expected to stay good.
  double move_s =
      1;  ///< Transfer time of one expert at the weight store's rate.
  double busy_share = 1;  ///< Share of time in which the group steps.
};

/// A proposed placement with the moves that lead to it.
struct Plan {
  Placement placement;
  std::vector<Move> moves;
};

/// Plans placements in which the slowest rank is fastest, by moves that pay.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(const PlanEconomics& economics)
      : economics(economics) {}

  /// Improves `current`. Shares between replicas change freely, since they cost
  /// nothing; a slot changes only when the step time that this saves over the
  /// placement's lifetime, as judged by loads it was not planned on, is worth
  /// more than its transfer.
  /// @param to_plan_on,to_judge_by independent estimates of the same loads.
  Plan Improve(const Placement& current, const GroupLoad& planning_load,
               const GroupLoad& evaluation_load,
               const RankSpeeds& speeds) const;

  /// Sets the shares between replicas so that the slowest rank is fastest.
  static void BalanceShares(LayerPlacement& placement, const LayerLoad& load,
                            const RankSpeeds& speeds);

 private:
  void ImproveLayer(std::size_t layer, LayerPlacement& placement,
                    const LayerLoad& planning_load,
                    const LayerLoad& evaluation_load, const RankSpeeds& speeds,
                    double total_time, std::vector<Move>& moves) const;

  PlanEconomics economics;
};

}  // namespace banyanlane::experts
