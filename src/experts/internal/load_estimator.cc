#include "experts/internal/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace banyanlane::experts {
namespace {

/// Distance of a report from the estimate, as a multiple of the typical
/// distance, above which demand has shifted.
constexpr double kShiftFactor = 3;
constexpr double kDistanceSmoothingFactor = 0.2;
constexpr double kSpeedSmoothingFactor = 0.2;
/// Relative speeds that differ from 1, the nominal speed, by less than this
/// count as nominal, so that jitter does not move experts.
constexpr double kNominalBand = 0.05;

}  // namespace

LoadEstimator::LoadEstimator(const GroupShape& shape, kernel::Millis half_life)
    : half_life(half_life) {
  for (Estimate& estimate : this->estimates) {
    estimate.load.assign(shape.layers, LayerLoad(shape.experts, 0.0));
  }
}

void LoadEstimator::OnReport(const GroupLoad& load,
                             kernel::TimePoint measured_at) {
  if (this->reports > 0 && measured_at <= this->newest_measured_at) return;
  this->newest_measured_at = measured_at;
  Estimate& estimate = this->estimates[this->reports++ % 2];
  const double age_s =
      std::chrono::duration<double>(measured_at - estimate.updated_at).count();
  const double half_life_s =
      std::chrono::duration<double>(this->half_life).count();
  const bool restart = !estimate.has_reports || IsDemandShift(estimate, load);
  const double weight = restart ? 1.0 : 1.0 - std::exp2(-age_s / half_life_s);
  Blend(estimate, load, weight);
  estimate.updated_at = measured_at;
  estimate.has_reports = true;
}

bool LoadEstimator::IsDemandShift(Estimate& estimate, const GroupLoad& load) {
  double distance = 0;
  double total = 0;
  for (std::size_t layer = 0; layer < load.size(); ++layer) {
    for (std::size_t expert = 0; expert < load[layer].size(); ++expert) {
      distance += std::abs(load[layer][expert] - estimate.load[layer][expert]);
      total += load[layer][expert];
    }
  }
  if (total <= 0) return false;
  distance /= total;
  const bool is_initialized = estimate.typical_distance > 0;
  const bool is_shift =
      is_initialized && distance > estimate.typical_distance * kShiftFactor;
  if (is_shift) return true;
  estimate.typical_distance =
      is_initialized ? estimate.typical_distance +
                           kDistanceSmoothingFactor *
                               (distance - estimate.typical_distance)
                     : distance;
  return false;
}

void LoadEstimator::Blend(Estimate& estimate, const GroupLoad& load,
                          double new_weight) {
  for (std::size_t layer = 0; layer < load.size(); ++layer) {
    for (std::size_t expert = 0; expert < load[layer].size(); ++expert) {
      double& value = estimate.load[layer][expert];
      value += new_weight * (load[layer][expert] - value);
    }
  }
}

bool LoadEstimator::IsReady() const {
  return this->estimates[0].has_reports && this->estimates[1].has_reports;
}

void SpeedEstimator::OnStepTimes(const std::vector<double>& step_times,
                                 const std::vector<double>& work) {
  std::vector<double> rates;
  for (std::size_t rank = 0; rank < step_times.size(); ++rank) {
    const bool is_measured = step_times[rank] > 0 && work[rank] > 0;
    rates.push_back(is_measured ? work[rank] / step_times[rank] : 0.0);
  }
  std::vector<double> sorted = rates;
  const auto median =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), median, sorted.end());
  if (*median <= 0) return;
  for (std::size_t rank = 0; rank < rates.size(); ++rank) {
    if (rates[rank] <= 0) continue;
    double relative = rates[rank] / *median;
    if (std::abs(relative - 1.0) < kNominalBand) relative = 1.0;
    this->speeds[rank] +=
        kSpeedSmoothingFactor * (relative - this->speeds[rank]);
  }
}

}  // namespace banyanlane::experts
