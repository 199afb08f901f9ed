#pragma once

#include <vector>

#include "experts/experts_types.h"

namespace banyanlane::experts {

/// Benefit and cost of moves.
struct PlanEconomics {
  double skew_weight = 1;   ///< Benefit of a second of step time saved.
  double move_weight = 1;   ///< Cost of a second of transfer time.
  double lifetime_s = 600;  ///< Seconds for which a placement stays suitable.
  /// Seconds to transfer one expert at the weight store's rate.
  double move_s = 1;
  double busy_share = 1;  ///< Fraction of time in which the group runs steps.
};

/// A proposed placement and the moves that lead to it.
struct Plan {
  Placement placement;
  std::vector<Move> moves;
};

/// Plans placements that reduce the time of the slowest rank, with moves whose
/// benefit exceeds their cost.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(const PlanEconomics& economics)
      : economics(economics) {}

  /// Improves `current`. The shares of replicas change freely, since this costs
  /// nothing. Slots change only if the step time that is saved over the
  /// placement's lifetime is worth more than the transfers, evaluated with
  /// loads that the change was not planned on.
  /// @param planning_load,evaluation_load independent estimates of the same
  /// loads.
  Plan Improve(const Placement& current, const GroupLoad& planning_load,
               const GroupLoad& evaluation_load,
               const RankSpeeds& speeds) const;

  /// Sets the shares of replicas to minimise the time of the slowest rank.
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
