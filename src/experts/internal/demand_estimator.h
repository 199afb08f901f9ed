#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "experts/experts_types.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Parameters that distinguish changes of demand from noise.
struct DemandEstimatorLimits {
  /// Age at which counts have half their weight, in the estimate that is
  /// returned (slow) and in the one that detects shifts of demand (fast).
  kernel::Millis slow_half_life{700};
  kernel::Millis fast_half_life{150};
  /// Distance between the two estimates, as a multiple of the typical distance,
  /// above which demand has shifted.
  double shift_factor = 1.7;
  /// Distances up to this are never a shift.
  double min_shift_distance = 0.1;
  /// Fraction of the typical number of selections that an estimate needs. With
  /// fewer, a few prompts would count as the demand, for example after a group
  /// was stalled or has formed again.
  double min_selection_ratio = 0.3;
  /// Time between two shifts of demand that is assumed before any was observed.
  kernel::Millis initial_shift_interval{10'000};
};

/// Estimates the recent demand for each expert from samples of all ranks.
/// Does no I/O; not thread-safe.
///
/// There are two estimates with exponentially decaying weights. The slow one,
/// which noise affects little, is returned. When the fast one differs from it,
/// demand has shifted, and the slow one restarts from the fast one.
class DemandEstimator {
 public:
  explicit DemandEstimator(const DemandEstimatorLimits& limits)
      : limits(limits) {}

  /// Adds the selections of a rank's sample.
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// Returns the demand by layer, or nothing before enough selections were
  /// counted.
  /// @param layers number of layers that the counts are divided into.
  std::optional<GroupLoad> Load(std::size_t layers) const;

  /// Returns the expected time until the demand shifts again: the mean time
  /// between shifts that were observed, in which one of
  /// DemandEstimatorLimits::initial_shift_interval counts as observed.
  kernel::Millis ExpectedShiftInterval(kernel::TimePoint now) const;

  /// Returns the number of selections counted since the last Reset.
  double TotalSelections() const { return this->total_selections; }

  /// Removes all counts, for a group that has formed again.
  void Reset();

 private:
  /// Decaying selection counts by layer and expert.
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
  /// Returns the distance between the normalised estimates, from 0 (equal) to 1
  /// (disjoint).
  double Distance() const;

  DemandEstimatorLimits limits;
  Estimate slow;
  Estimate fast;
  double typical_distance = 0;
  kernel::TimePoint compared_at;
  kernel::TimePoint decayed_at;
  double total_selections = 0;
  /// Time of the first counts, and number of shifts of demand since then.
  std::optional<kernel::TimePoint> observed_since;
  int shifts = 0;
  double typical_fast_sum = 0;  ///< Moving mean of the fast estimate's sum.
  double typical_slow_sum = 0;  ///< Moving mean of the slow estimate's sum.
};

}  // namespace banyanlane::experts
