#pragma once

#include <cstdint>
#include <vector>

namespace banyanlane::experts {

/// Shape of one expert-parallel group.
struct GroupShape {
  std::size_t ranks = 0;
  std::size_t experts = 0;  ///< Number of experts in each layer.
  std::size_t layers = 0;
  /// Number of experts that a rank holds in each layer.
  std::size_t slots_per_rank = 0;
};

/// One replica of an expert.
struct Replica {
  std::size_t expert = 0;
  double share = 0;  ///< Fraction of the expert's tokens that it processes.
};

/// Replicas of one layer: `slots[rank][slot]`.
struct LayerPlacement {
  std::vector<std::vector<Replica>> slots;
};

/// The expert map of a group.
struct Placement {
  std::vector<LayerPlacement> layers;
};

/// Tokens per second of each expert of one layer.
using LayerLoad = std::vector<double>;

/// Loads of all layers.
using GroupLoad = std::vector<LayerLoad>;

/// Relative speed of each rank: 1 is nominal, a straggler is below.
using RankSpeeds = std::vector<double>;

/// Replacement of the expert in one slot; it costs the transfer of one expert's
/// weights.
struct Move {
  std::size_t layer = 0;
  std::size_t rank = 0;
  std::size_t slot = 0;
  std::size_t expert = 0;
};

/// Returns a placement that assigns experts to ranks round-robin and fills the
/// remaining slots with replicas, beginning with the first experts again.
Placement RoundRobinPlacement(const GroupShape& shape);

/// Returns the time that each rank needs for a layer, in the unit of `load`.
std::vector<double> RankTimes(const LayerPlacement& placement,
                              const LayerLoad& load, const RankSpeeds& speeds);

/// Returns the time of a step: the sum over layers of the slowest rank's time.
double StepTime(const Placement& placement, const GroupLoad& load,
                const RankSpeeds& speeds);

/// Returns the minimum time of a step, which is reached if all ranks of each
/// layer take equally long.
double MinStepTime(const GroupLoad& load, const RankSpeeds& speeds);

/// Returns the ratio of StepTime to MinStepTime; 1 is the optimum.
double Skew(const Placement& placement, const GroupLoad& load,
            const RankSpeeds& speeds);

}  // namespace banyanlane::experts
