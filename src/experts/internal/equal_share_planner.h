#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "experts/experts_types.h"
#include "experts/i_rank_engine.h"

namespace banyanlane::experts {

/// Bounds on a map and on the copies that a switch to it needs.
struct MapBounds {
  /// Experts that a rank can hold in one layer.
  std::size_t max_experts_per_rank = 0;
  /// Experts that a rank may copy for one layer in one switch.
  std::size_t max_new_experts_per_rank = 0;
  /// Experts that a rank may copy for all layers in one switch.
  std::size_t max_copies = 3;
};

/// Time per unit of work of each rank relative to normal; 2 is twice as slow.
using RankSlowdowns = std::vector<double>;

/// Returns the sum over layers of the time of the slowest rank, in the unit of
/// `load`.
double MapStepTime(const ExpertMap& map, const GroupLoad& load,
                   const RankSlowdowns& slowdowns);

/// Returns a lower bound of MapStepTime: the time if the load of each layer
/// could be divided between the ranks without limits.
double MinMapStepTime(const GroupLoad& load, const RankSlowdowns& slowdowns);

/// Returns the number of experts that ranks must copy to switch from `before`
/// to `after`.
std::size_t CopiesBetween(const ExpertMap& before, const ExpertMap& after);

/// Returns the highest number of experts that one rank must copy to switch from
/// `before` to `after`.
std::size_t MaxCopiesOfRank(const ExpertMap& before, const ExpertMap& after);

/// Plans expert maps under the rule that all ranks that hold an expert process
/// equal fractions of its tokens.
class EqualSharePlanner {
 public:
  /// @param min_gain fraction of a layer's time that a single change must save.
  EqualSharePlanner(const MapBounds& bounds, double min_gain)
      : bounds(bounds), min_gain(min_gain) {}

  /// Returns the results of Improve with at most 1, 2, ... copies per rank, up
  /// to MapBounds::max_copies, or up to the number from which on more copies
  /// change nothing. Each one continues from the one before.
  std::vector<ExpertMap> ImproveInStages(const ExpertMap& current,
                                         const GroupLoad& load,
                                         const RankSlowdowns& slowdowns) const;

  /// Adds copies of experts that only one rank holds, up to `max_copies` copies
  /// per rank. If demand shifts to such an expert, two ranks share its load
  /// until the ranks have copied more.
  /// @param current map in use.
  /// @param planned map to which one switch leads from `current`.
  /// @param max_load_ratio highest load that a rank may have after a copy was
  /// added, relative to the most loaded rank of the layer.
  /// @param max_total highest number of copies of all ranks, those of `planned`
  /// included.
  ExpertMap FillFreePlaces(const ExpertMap& current, const ExpertMap& planned,
                           const GroupLoad& load,
                           const RankSlowdowns& slowdowns,
                           double max_load_ratio, std::size_t max_total) const;

  /// Returns a map that one switch can reach from `current`, with less load on
  /// the most loaded ranks of the layers. Returns `current` if no change saves
  /// enough.
  ExpertMap Improve(const ExpertMap& current, const GroupLoad& load,
                    const RankSlowdowns& slowdowns) const;

 private:
  MapBounds bounds;
  double min_gain;
};

}  // namespace banyanlane::experts
