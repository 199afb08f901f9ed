#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "experts/experts_types.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// How demand is told from chance.
struct DemandEstimatorLimits {
  /// What was counted this long ago weighs half, in the estimate that is used
  /// and in the one that notices a change of demand.
  kernel::Millis slow_half_life{700};
  kernel::Millis fast_half_life{150};
  /// Distance between the two, as a multiple of the usual one, at which demand
  /// is taken to have changed at once.
  double shift_factor = 1.7;
  /// Distances below this are never a change.
  double min_shift_distance = 0.1;
  /// With less than this part of the usual number of choices, a few prompts
  /// would pass for the demand: after a group has stood, or formed anew.
  double min_selection_ratio = 0.3;
};

/// Recent demand for each expert, from the counts of all ranks. I/O-free; not
/// thread-safe.
///
/// Two estimates are kept. While they agree the slow one is used, which chance
/// moves little; when they part, demand has changed, and the slow one begins
/// anew from the fast one.
class DemandEstimator {
 public:
  explicit DemandEstimator(const DemandEstimatorLimits& limits)
      : limits(limits) {}

  /// Takes counts that have grown since the rank started.
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// Returns the demand by layer, or nothing before enough was chosen.
  /// @param layers that the counts are divided into.
  std::optional<GroupLoad> Load(std::size_t layers) const;

  /// Returns the choices counted since Forget, in all.
  double TotalSelections() const { return this->total_selections; }

  /// Begins anew, for a group that has formed anew.
  void Reset();

 private:
  /// Weights by layer and expert, of which older ones fade.
  struct Estimate {
    std::vector<double> weights;
    double sum = 0;
    void Decay(double factor);
    void Add(std::size_t index, double amount);
  };

  void Decay(kernel::TimePoint now);
  static void UpdateMovingMean(double& mean, double sum);
  bool HasEnoughSelections(const Estimate& estimate, double typical_sum) const;
  void DetectShift(kernel::TimePoint now);
  /// Returns how far the estimates are apart: 0 alike, 1 nothing in common.
  double Distance() const;

  DemandEstimatorLimits limits;
  std::map<std::uint64_t, std::vector<std::uint64_t>>
      last_counts;  ///< By rank.
  Estimate slow;
  Estimate fast;
  double typical_distance = 0;
  kernel::TimePoint compared_at;
  kernel::TimePoint decayed_at;
  double total_selections = 0;
  double typical_fast_sum = 0;  ///< Sum of the fast estimate.
  double typical_slow_sum = 0;  ///< Sum of the slow one.
};

}  // namespace banyanlane::experts
