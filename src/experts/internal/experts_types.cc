#include "experts/experts_types.h"

#include <algorithm>
#include <numeric>

namespace banyanlane::experts {

Placement RoundRobinPlacement(const GroupShape& shape) {
  LayerPlacement layer;
  layer.slots.assign(shape.ranks, std::vector<Replica>(shape.slots_per_rank));
  std::vector<std::size_t> counts(shape.experts, 0);
  for (std::size_t slot = 0; slot < shape.slots_per_rank; ++slot) {
    for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
      // Each round is shifted so that a rank does not hold the same expert
      // twice.
      const std::size_t shift = slot * (shape.ranks / 2 + 1);
      const std::size_t expert =
          (slot * shape.ranks + rank + (slot > 0 ? shift : 0));
      layer.slots[rank][slot].expert = expert % shape.experts;
      ++counts[expert % shape.experts];
    }
  }
  for (auto& slots : layer.slots) {
    for (Replica& replica : slots)
      replica.share = 1.0 / static_cast<double>(counts[replica.expert]);
  }
  return Placement{std::vector<LayerPlacement>(shape.layers, layer)};
}

std::vector<double> RankTimes(const LayerPlacement& placement,
                              const LayerLoad& load, const RankSpeeds& speeds) {
  std::vector<double> times(placement.slots.size(), 0.0);
  for (std::size_t rank = 0; rank < times.size(); ++rank) {
    for (const Replica& replica : placement.slots[rank]) {
      times[rank] += load[replica.expert] * replica.share;
    }
    times[rank] /= speeds[rank];
  }
  return times;
}

double StepTime(const Placement& placement, const GroupLoad& load,
                const RankSpeeds& speeds) {
  double total = 0;
  for (std::size_t layer = 0; layer < placement.layers.size(); ++layer) {
    const auto times = RankTimes(placement.layers[layer], load[layer], speeds);
    total += *std::max_element(times.begin(), times.end());
  }
  return total;
}

double MinStepTime(const GroupLoad& load, const RankSpeeds& speeds) {
  const double speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
  double total = 0;
  for (const LayerLoad& layer : load)
    total += std::accumulate(layer.begin(), layer.end(), 0.0);
  return total / speed;
}

double Skew(const Placement& placement, const GroupLoad& load,
            const RankSpeeds& speeds) {
  const double min_time = MinStepTime(load, speeds);
  return min_time > 0 ? StepTime(placement, load, speeds) / min_time : 1.0;
}

}  // namespace banyanlane::experts
