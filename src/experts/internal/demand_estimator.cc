#include "experts/internal/demand_estimator.h"

#include <cmath>

namespace banyanlane::experts {
namespace {

/// Minimum interval between comparisons of the estimates. It is close to the
/// period at which rank agents read counts, so most ranks report within it.
constexpr kernel::Millis kComparePeriod{100};
constexpr double kDistanceSmoothingFactor = 0.1;
/// Lets the typical number of selections follow the traffic within seconds.
constexpr double kSumSmoothingFactor = 0.03;

double DecayFactor(double age_ms, kernel::Millis half_life) {
  return std::exp2(-age_ms / static_cast<double>(half_life.count()));
}

}  // namespace

void DemandEstimator::Estimate::Decay(double factor) {
  for (double& weight : this->weights) weight *= factor;
  this->sum *= factor;
}

void DemandEstimator::Estimate::Add(std::size_t index, double amount) {
  this->weights[index] += amount;
  this->sum += amount;
}

void DemandEstimator::OnCounts(const link::ExpertCounts& counts,
                               kernel::TimePoint now) {
  if (!this->observed_since) this->observed_since = now;
  this->Decay(now);
  this->slow.weights.resize(counts.counts.size(), 0.0);
  this->fast.weights.resize(counts.counts.size(), 0.0);
  for (std::size_t i = 0; i < counts.counts.size(); ++i) {
    const auto selections = static_cast<double>(counts.counts[i]);
    this->slow.Add(i, selections);
    this->fast.Add(i, selections);
    this->total_selections += selections;
  }
  this->DetectShift(now);
}

void DemandEstimator::Decay(kernel::TimePoint now) {
  const double age_ms =
      std::chrono::duration<double, std::milli>(now - this->decayed_at).count();
  this->decayed_at = now;
  this->slow.Decay(DecayFactor(age_ms, this->limits.slow_half_life));
  this->fast.Decay(DecayFactor(age_ms, this->limits.fast_half_life));
}

double DemandEstimator::Distance() const {
  if (this->slow.sum <= 0 || this->fast.sum <= 0) return 0;
  double distance = 0;
  for (std::size_t i = 0; i < this->slow.weights.size(); ++i) {
    distance += std::abs(this->slow.weights[i] / this->slow.sum -
                         this->fast.weights[i] / this->fast.sum);
  }
  return distance / 2;
}

void DemandEstimator::DetectShift(kernel::TimePoint now) {
  if (now - this->compared_at < kComparePeriod) return;
  this->compared_at = now;
  const bool has_enough_selections =
      this->HasEnoughSelections(this->fast, this->typical_fast_sum);
  UpdateMovingMean(this->typical_fast_sum, this->fast.sum);
  UpdateMovingMean(this->typical_slow_sum, this->slow.sum);
  if (!has_enough_selections) return;
  const double distance = this->Distance();
  const bool is_initialized = this->typical_distance > 0;
  const bool has_shifted =
      is_initialized && distance > this->limits.min_shift_distance &&
      distance > this->typical_distance * this->limits.shift_factor;
  if (has_shifted) {
    this->slow = this->fast;
    ++this->shifts;
    return;
  }
  this->typical_distance =
      is_initialized
          ? this->typical_distance +
                kDistanceSmoothingFactor * (distance - this->typical_distance)
          : distance;
}

void DemandEstimator::UpdateMovingMean(double& mean, double sum) {
  const bool is_initialized = mean > 0;
  mean = is_initialized ? mean + kSumSmoothingFactor * (sum - mean) : sum;
}

bool DemandEstimator::HasEnoughSelections(const Estimate& estimate,
                                          double typical_sum) const {
  return estimate.sum >= this->limits.min_selection_ratio * typical_sum;
}

kernel::Millis DemandEstimator::ExpectedShiftInterval(
    kernel::TimePoint now) const {
  const auto observed = this->observed_since
                            ? std::chrono::duration_cast<kernel::Millis>(
                                  now - *this->observed_since)
                            : kernel::Millis{0};
  return (observed + this->limits.initial_shift_interval) / (this->shifts + 1);
}

std::optional<GroupLoad> DemandEstimator::Load(std::size_t layers) const {
  const auto& weights = this->slow.weights;
  if (this->total_selections <= 0 || layers == 0 ||
      weights.size() % layers != 0)
    return std::nullopt;
  if (!this->HasEnoughSelections(this->slow, this->typical_slow_sum))
    return std::nullopt;
  const std::size_t experts = weights.size() / layers;
  GroupLoad load;
  for (std::size_t layer = 0; layer < layers; ++layer) {
    const auto begin =
        weights.begin() + static_cast<std::ptrdiff_t>(layer * experts);
    load.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(experts));
  }
  return load;
}

void DemandEstimator::Reset() {
  this->slow = Estimate{};
  this->fast = Estimate{};
  this->total_selections = 0;
}

}  // namespace banyanlane::experts
