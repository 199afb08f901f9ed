#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "experts/experts_types.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Parameters that distinguish changes of demand from noise.
struct DemandEstimatorLimits {
  /// Age at which counts have half their weight in the estimate.
  kernel::Millis half_life{700};
  /// Shortest window of counts that is compared with the estimate. It is close
  /// to the period at which rank agents read counts.
  kernel::Millis min_window{100};  /// Number of ranks that must have reported
                                   /// in a window, or half of the ranks
  /// of a small group. The requests of a few ranks are not the demand of their
  /// group.
  std::size_t min_ranks = 8;
  /// Distance of a window from the estimate, as a multiple of the typical
  /// distance, above which the window shows another demand.
  double shift_factor = 1.7;
  /// Distances up to this never show another demand.
  double min_shift_distance = 0.1;
  /// Fraction of the typical number of selections that an estimate or a window
  /// needs. With fewer, a few prompts would count as the demand, for example
  /// after a group was stalled or has formed again.
  double min_selection_ratio = 0.3;
  /// Time between two shifts of demand that is assumed before any was observed.
  kernel::Millis initial_shift_interval{10'000};
};

/// Estimates the recent demand for each expert from samples of all ranks.
/// Does no I/O; not thread-safe.
///
/// Counts are collected in windows. Those that resemble the estimate are added
/// to it, and older counts lose weight. A shift of demand is sudden: the window
/// in which it happens has counts of both demands. So two different windows in
/// a row show a shift, and the estimate restarts from the second one.
class DemandEstimator {
 public:
  explicit DemandEstimator(const DemandEstimatorLimits& limits)
      : limits(limits) {}

  /// Adds the selections of a rank's sample.
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// Returns the demand by layer, or nothing before enough selections were
  /// counted, and while the last window shows a shift that no other one has
  /// confirmed.
  /// @param layers number of layers that the counts are divided into.
  std::optional<GroupLoad> Load(std::size_t layers) const;

  /// Returns the expected time until the demand shifts again: the mean time
  /// between shifts that were observed, in which one of
  /// DemandEstimatorLimits::initial_shift_interval counts as observed.
  kernel::Millis ExpectedShiftInterval(kernel::TimePoint now) const;

  /// Returns the number of shifts of demand that were observed.
  int Shifts() const { return this->shifts; }

  /// Returns the number of selections counted since the last Reset.
  double TotalSelections() const { return this->total_selections; }

  /// Removes all counts, for a group that has formed again.
  void Reset();

 private:
  /// Selection counts by layer and expert.
  struct Counts {
    std::vector<double> weights;
    double sum = 0;
    void Decay(double factor);
    void Add(const Counts& other);
    void Add(const std::vector<std::uint64_t>& selections);
  };

  /// Returns the distance between normalised counts, from 0 (equal) to 1
  /// (disjoint).
  static double Distance(const Counts& left, const Counts& right);
  bool IsWindowComplete(kernel::TimePoint now) const;
  void CloseWindow(kernel::TimePoint now);
  /// Returns whether the window has enough selections and is far from the
  /// estimate.
  bool ShowsOtherDemand(double distance) const;
  /// Returns whether the estimate has enough selections.
  bool HasTypicalSelections() const;
  /// Restarts the estimate from the last two windows, which both differ from
  /// it.
  void ConfirmShift();
  void UpdateTypicalDistance(double distance);

  DemandEstimatorLimits limits;
  Counts estimate;
  Counts window;  ///< Counts that are not in the estimate yet.
  kernel::TimePoint window_begun_at;
  kernel::TimePoint estimate_updated_at;
  std::set<std::uint64_t> window_ranks;  ///< Ranks that reported in the window.
  std::set<std::uint64_t> known_ranks;   ///< All ranks that have reported.
  /// The last window, if it shows another demand than the estimate.
  std::optional<Counts> different_window;
  /// The estimate was restarted from a window with enough selections, and has
  /// fewer than typical yet.
  bool has_restarted = false;
  double typical_distance = 0;
  double typical_window_sum = 0;    ///< Moving mean of windows' selections.
  double typical_estimate_sum = 0;  ///< Moving mean of the estimate's sum.
  double total_selections = 0;
  /// Time of the first counts, and number of shifts of demand since then.
  std::optional<kernel::TimePoint> observed_since;
  int shifts = 0;
};

}  // namespace banyanlane::experts
