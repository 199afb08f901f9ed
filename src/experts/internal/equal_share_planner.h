#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "experts/experts_types.h"
#include "experts/i_rank_engine.h"

namespace banyanlane::experts {

/// Bounds on a map and on the way to it.
struct MapBounds {
  std::size_t max_experts_per_layer =
      0;  ///< Experts that a rank can hold in a layer.
  std::size_t max_copies_per_layer =
      0;  ///< Experts new to a rank in a layer, in one change.
  /// Experts new to a rank in all layers, in one change: few, since the change
  /// waits for the rank that copies most.
  std::size_t max_copies = 3;
};

/// Time that each rank's work takes, against the usual.
using RankSlowdowns = std::vector<double>;

/// Returns the sum over layers of the time of the slowest rank, in tokens.
double MapStepTime(const ExpertMap& map, const GroupLoad& load,
                   const RankSlowdowns& slowdowns);

/// Returns the sum over layers of the time that all ranks would take if their
/// work could be divided at will: no map is faster.
double MinMapStepTime(const GroupLoad& load, const RankSlowdowns& slowdowns);

/// Returns how many experts ranks must copy to go from `before` to `after`.
std::size_t CopiesBetween(const ExpertMap& before, const ExpertMap& after);

/// Plans maps whose holders of an expert share its tokens evenly.
class EqualSharePlanner {
 public:
  /// @param least_gain part of a layer's time that one change must save.
  EqualSharePlanner(const MapBounds& bounds, double min_gain)
      : bounds(bounds), min_gain(min_gain) {}

  /// Returns a map that can be reached from `current` in one change and in
  /// which the most loaded rank of each layer has as little as was found.
  ExpertMap Improve(const ExpertMap& current, const GroupLoad& load,
                    const RankSlowdowns& slowdowns) const;

 private:
  MapBounds bounds;
  double min_gain;
};

}  // namespace banyanlane::experts
