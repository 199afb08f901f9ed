#include "experts/internal/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace banyanlane::experts {
namespace {

/// A report this many times farther off than usual means that demand has
/// changed at once.
constexpr double kBreakFactor = 3;
constexpr double kDistanceWeightOfNew = 0.2;
constexpr double kSpeedWeightOfNew = 0.2;
/// Speeds within this of nominal are taken as nominal, so that jitter moves
/// nothing.
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
  if (this->reports > 0 && measured_at <= this->newest) return;
  this->newest = measured_at;
  Estimate& estimate = this->estimates[this->reports++ % 2];
  const double age =
      std::chrono::duration<double>(measured_at - estimate.last).count();
  const double half = std::chrono::duration<double>(this->half_life).count();
  const bool restart = !estimate.any || IsBreak(estimate, load);
  const double weight = restart ? 1.0 : 1.0 - std::exp2(-age / half);
  Blend(estimate, load, weight);
  estimate.last = measured_at;
  estimate.any = true;
}

bool LoadEstimator::IsBreak(Estimate& estimate, const GroupLoad& load) {
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
  const bool learned = estimate.usual_distance > 0;
  const bool is_break =
      learned && distance > estimate.usual_distance * kBreakFactor;
  if (is_break) return true;
  estimate.usual_distance =
      learned ? estimate.usual_distance +
                    kDistanceWeightOfNew * (distance - estimate.usual_distance)
              : distance;
  return false;
}

void LoadEstimator::Blend(Estimate& estimate, const GroupLoad& load,
                          double weight_of_new) {
  for (std::size_t layer = 0; layer < load.size(); ++layer) {
    for (std::size_t expert = 0; expert < load[layer].size(); ++expert) {
      double& value = estimate.load[layer][expert];
      value += weight_of_new * (load[layer][expert] - value);
    }
  }
}

bool LoadEstimator::IsReady() const {
  return this->estimates[0].any && this->estimates[1].any;
}

void SpeedEstimator::OnStepTimes(const std::vector<double>& step_times,
                                 const std::vector<double>& work) {
  std::vector<double> rates;
  for (std::size_t rank = 0; rank < step_times.size(); ++rank) {
    const bool known = step_times[rank] > 0 && work[rank] > 0;
    rates.push_back(known ? work[rank] / step_times[rank] : 0.0);
  }
  std::vector<double> sorted = rates;
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  if (*middle <= 0) return;
  for (std::size_t rank = 0; rank < rates.size(); ++rank) {
    if (rates[rank] <= 0) continue;
    double relative = rates[rank] / *middle;
    if (std::abs(relative - 1.0) < kNominalBand) relative = 1.0;
    this->speeds[rank] += kSpeedWeightOfNew * (relative - this->speeds[rank]);
  }
}

}  // namespace banyanlane::experts
