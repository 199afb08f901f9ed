#pragma once

#include <cstdint>

#include "experts/experts_types.h"
#include "kernel/time.h"

namespace banyanlane::experts {

/// Estimates expert loads from reports that are delayed and have gaps.
///
/// Reports go alternately to two independent estimates. A plan that is made on
/// one is evaluated with the other, so that a plan that merely fits the noise
/// of the first shows no gain.
class LoadEstimator {
 public:
  /// @param half_life age at which a report has half its weight.
  LoadEstimator(const GroupShape& shape, kernel::Millis half_life);

  /// Adds a report. Reports that are not newer than the last one are ignored.
  /// @param load mean tokens per second of each expert in the reported period.
  /// @param measured_at end of the reported period.
  void OnReport(const GroupLoad& load, kernel::TimePoint measured_at);

  /// Returns whether both estimates have reports.
  bool IsReady() const;
  const GroupLoad& PlanningLoad() const { return this->estimates[0].load; }
  const GroupLoad& EvaluationLoad() const { return this->estimates[1].load; }

 private:
  struct Estimate {
    GroupLoad load;
    kernel::TimePoint updated_at;
    bool has_reports = false;
    /// Moving mean of the distance of a report from the estimate, as a fraction
    /// of the report's total load.
    double typical_distance = 0;
  };

  /// Returns whether `load` is so far from the estimate that earlier reports
  /// must be dropped. If not, updates the typical distance.
  static bool IsDemandShift(Estimate& estimate, const GroupLoad& load);
  static void Blend(Estimate& estimate, const GroupLoad& load,
                    double new_weight);

  kernel::Millis half_life;
  Estimate estimates[2];
  std::uint64_t reports = 0;
  kernel::TimePoint newest_measured_at;
};

/// Estimates the speed of each rank, relative to the median rank, from the time
/// that it needs for its load.
class SpeedEstimator {
 public:
  explicit SpeedEstimator(std::size_t ranks) : speeds(ranks, 1.0) {}

  /// Adds the times of one step.
  /// @param step_times time that each rank worked in the step.
  /// @param work amount of work of each rank, in any unit.
  void OnStepTimes(const std::vector<double>& step_times,
                   const std::vector<double>& work);

  const RankSpeeds& Speeds() const { return this->speeds; }

 private:
  RankSpeeds speeds;
};

}  // namespace banyanlane::experts
