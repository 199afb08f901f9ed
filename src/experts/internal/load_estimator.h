#pragma once

#include <cstdint>

#include "experts/experts_types.h"
#include "kernel/time.h"

namespace banyanlane::experts {

/// Expert loads from reports that lag and have gaps.
///
/// Reports go in turn to two estimates, which are independent of one another:
/// what was planned on the one is judged by the other, so that noise which the
/// planner took for demand shows no gain.
class LoadEstimator {
 public:
  /// @param half_life after which a report counts half.
  LoadEstimator(const GroupShape& shape, kernel::Millis half_life);

  /// Takes the tokens per second of each expert, averaged over `covered` that
  /// ended at `measured_at`. A report older than the newest is left out.
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
    double typical_distance = 0;  ///< Of a report from the estimate.
  };

  /// Returns whether `load` is so far off that the estimate's past no longer
  /// counts.
  static bool IsDemandShift(Estimate& estimate, const GroupLoad& load);
  static void Blend(Estimate& estimate, const GroupLoad& load,
                    double new_weight);

  kernel::Millis half_life;
  Estimate estimates[2];
  std::uint64_t reports = 0;
  kernel::TimePoint newest_measured_at;
};

/// Relative speed of each rank, from the time it took for its load.
class SpeedEstimator {
 public:
  explicit SpeedEstimator(std::size_t ranks) : speeds(ranks, 1.0) {}

  /// @param step_times time of each rank's own work in a step.
  /// @param work what each rank had to do, in any unit.
  void OnStepTimes(const std::vector<double>& step_times,
                   const std::vector<double>& work);

  const RankSpeeds& Speeds() const { return this->speeds; }

 private:
  RankSpeeds speeds;
};

}  // namespace banyanlane::experts
