#include "experts/internal/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace banyanlane::experts {
namespace {

constexpr double kDistanceSmoothingFactor = 0.1;
/// Lets the typical number of selections follow the traffic within seconds.
constexpr double kSumSmoothingFactor = 0.03;

double DecayFactor(kernel::Clock::duration age, kernel::Millis half_life) {
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(half_life));
}

void UpdateMovingMean(double& mean, double value, double weight) {
  const bool is_initialized = mean > 0;
  mean = is_initialized ? mean + weight * (value - mean) : value;
}

}  // namespace

void DemandEstimator::Counts::Decay(double factor) {
  for (double& weight : this->weights) weight *= factor;
  this->sum *= factor;
}

void DemandEstimator::Counts::Add(const Counts& other) {
  this->weights.resize(other.weights.size(), 0.0);
  for (std::size_t i = 0; i < other.weights.size(); ++i)
    this->weights[i] += other.weights[i];
  this->sum += other.sum;
}

void DemandEstimator::Counts::Add(
    const std::vector<std::uint64_t>& selections) {
  this->weights.resize(selections.size(), 0.0);
  for (std::size_t i = 0; i < selections.size(); ++i) {
    this->weights[i] += static_cast<double>(selections[i]);
    this->sum += static_cast<double>(selections[i]);
  }
}

double DemandEstimator::Distance(const Counts& left, const Counts& right) {
  if (left.sum <= 0 || right.sum <= 0) return 0;
  double distance = 0;
  for (std::size_t i = 0; i < left.weights.size(); ++i) {
    distance +=
        std::abs(left.weights[i] / left.sum - right.weights[i] / right.sum);
  }
  return distance / 2;
}

void DemandEstimator::OnCounts(const link::ExpertCounts& counts,
                               kernel::TimePoint now) {
  if (!this->observed_since) this->observed_since = now;
  const bool is_other_shape =
      !this->window.weights.empty() &&
      this->window.weights.size() != counts.counts.size();
  if (is_other_shape) this->Reset();
  const double sum_before = this->window.sum;
  this->window.Add(counts.counts);
  this->total_selections += this->window.sum - sum_before;
  this->window_ranks.insert(counts.rank);
  this->known_ranks.insert(counts.rank);
  if (this->IsWindowComplete(now)) this->CloseWindow(now);
}

bool DemandEstimator::IsWindowComplete(kernel::TimePoint now) const {
  const std::size_t needed =
      std::min(this->limits.min_ranks, (this->known_ranks.size() + 1) / 2);
  return now - this->window_begun_at >= this->limits.min_window &&
         this->window_ranks.size() >= needed;
}

void DemandEstimator::CloseWindow(kernel::TimePoint now) {
  this->estimate.Decay(
      DecayFactor(now - this->estimate_updated_at, this->limits.half_life));
  this->estimate_updated_at = now;
  const double distance = Distance(this->window, this->estimate);
  const bool is_different = this->ShowsOtherDemand(distance);
  UpdateMovingMean(this->typical_window_sum, this->window.sum,
                   kSumSmoothingFactor);
  if (!is_different) {
    if (this->different_window) this->estimate.Add(*this->different_window);
    this->different_window.reset();
    if (this->estimate.sum > 0) this->UpdateTypicalDistance(distance);
    this->estimate.Add(this->window);
  } else if (!this->different_window) {
    this->different_window = this->window;
  } else {
    this->ConfirmShift();
  }
  UpdateMovingMean(this->typical_estimate_sum, this->estimate.sum,
                   kSumSmoothingFactor);
  if (this->HasTypicalSelections()) this->has_restarted = false;
  this->window = Counts{};
  this->window_ranks.clear();
  this->window_begun_at = now;
}

bool DemandEstimator::ShowsOtherDemand(double distance) const {
  const bool has_enough_selections =
      this->window.sum >=
      this->limits.min_selection_ratio * this->typical_window_sum;
  return has_enough_selections && this->typical_distance > 0 &&
         distance > this->limits.min_shift_distance &&
         distance > this->typical_distance * this->limits.shift_factor;
}

bool DemandEstimator::HasTypicalSelections() const {
  return this->estimate.sum >=
         this->limits.min_selection_ratio * this->typical_estimate_sum;
}

void DemandEstimator::ConfirmShift() {
  // Both windows have the new demand if they resemble each other. Their
  // distance is noise then, from which the typical distance is learnt even if
  // every window differs from the estimate.
  const double distance = Distance(this->window, *this->different_window);
  const bool resemble =
      distance <= std::max(this->limits.min_shift_distance,
                           this->typical_distance * this->limits.shift_factor);
  this->estimate = this->window;
  if (resemble) this->estimate.Add(*this->different_window);
  this->UpdateTypicalDistance(distance);
  this->different_window.reset();
  this->has_restarted = true;
  ++this->shifts;
}

void DemandEstimator::UpdateTypicalDistance(double distance) {
  UpdateMovingMean(this->typical_distance, distance, kDistanceSmoothingFactor);
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
  const auto& weights = this->estimate.weights;
  const bool has_load =
      this->estimate.sum > 0 && layers > 0 && weights.size() % layers == 0;
  if (!has_load || this->different_window) return std::nullopt;
  if (!this->has_restarted && !this->HasTypicalSelections())
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
  this->estimate = Counts{};
  this->window = Counts{};
  this->window_ranks.clear();
  this->known_ranks.clear();
  this->different_window.reset();
  this->has_restarted = false;
  this->total_selections = 0;
}

}  // namespace banyanlane::experts
