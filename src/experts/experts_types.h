#pragma once

#include <cstdint>
#include <vector>

namespace banyanlane::experts {

/// Shape of one expert-parallel group.
struct GroupShape {
  std::size_t ranks = 0;
  std::size_t experts = 0;  ///< In each layer.
  std::size_t layers = 0;
  std::size_t slots_per_rank = 0;  ///< Experts that a rank holds in each layer.
};

/// One replica of an expert, with the share of its expert's tokens that goes to
/// it.
struct Replica {
  std::size_t expert = 0;
  double share = 0;
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

/// A change of what one slot holds; it costs the transfer of one expert's
/// weights.
struct Move {
  std::size_t layer = 0;
  std::size_t rank = 0;
  std::size_t slot = 0;
  std::size_t expert = 0;
};

/// Returns the placement that deals experts out in order and replicates the
/// first ones again.
Placement RoundRobinPlacement(const GroupShape& shape);

/// Returns the time that each rank needs for its share of a layer, in token
/// units.
std::vector<double> RankTimes(const LayerPlacement& placement,
                              const LayerLoad& load, const RankSpeeds& speeds);

/// Returns the time of a step: the slowest rank of each layer, summed over
/// layers.
double StepTime(const Placement& placement, const GroupLoad& load,
                const RankSpeeds& speeds);

/// Returns the least time that a step can take with these loads and speeds.
double MinStepTime(const GroupLoad& load, const RankSpeeds& speeds);

/// Returns slowest over mean: StepTime over LeastStepTime. 1 is perfect.
double Skew(const Placement& placement, const GroupLoad& load,
            const RankSpeeds& speeds);

}  // namespace banyanlane::experts
