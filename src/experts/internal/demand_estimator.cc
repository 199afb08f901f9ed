#include "experts/internal/demand_estimator.h"

#include <cmath>

namespace banyanlane::experts {
namespace {

/// The estimates are compared this often, so that each comparison sees counts
/// of about every rank.
constexpr kernel::Millis kComparePeriod{100};
constexpr double kDistanceWeightOfNew = 0.1;
/// The usual number of choices follows the traffic within some seconds.
constexpr double kUsualWeightOfNew = 0.03;

double KeptAfter(double age_ms, kernel::Millis half_life) {
  return std::exp2(-age_ms / static_cast<double>(half_life.count()));
}

}  // namespace

void DemandWindow::Estimate::Fade(double kept) {
  for (double& weight : this->weights) weight *= kept;
  this->sum *= kept;
}

void DemandWindow::Estimate::Add(std::size_t index, double amount) {
  this->weights[index] += amount;
  this->sum += amount;
}

void DemandWindow::OnCounts(const link::ExpertCounts& counts,
                            kernel::TimePoint now) {
  this->Fade(now);
  this->slow.weights.resize(counts.counts.size(), 0.0);
  this->fast.weights.resize(counts.counts.size(), 0.0);
  auto& before = this->last[counts.rank];
  const bool comparable = before.size() == counts.counts.size();
  for (std::size_t i = 0; comparable && i < before.size(); ++i) {
    // A rank that started anew counts from nothing.
    if (counts.counts[i] < before[i]) continue;
    const auto grown = static_cast<double>(counts.counts[i] - before[i]);
    this->slow.Add(i, grown);
    this->fast.Add(i, grown);
    this->total += grown;
  }
  before = counts.counts;
  this->NoticeBreak(now);
}

void DemandWindow::Fade(kernel::TimePoint now) {
  const double age =
      std::chrono::duration<double, std::milli>(now - this->faded_at).count();
  this->faded_at = now;
  this->slow.Fade(KeptAfter(age, this->limits.slow_half_life));
  this->fast.Fade(KeptAfter(age, this->limits.fast_half_life));
}

double DemandWindow::Distance() const {
  if (this->slow.sum <= 0 || this->fast.sum <= 0) return 0;
  double distance = 0;
  for (std::size_t i = 0; i < this->slow.weights.size(); ++i) {
    distance += std::abs(this->slow.weights[i] / this->slow.sum -
                         this->fast.weights[i] / this->fast.sum);
  }
  return distance / 2;
}

void DemandWindow::NoticeBreak(kernel::TimePoint now) {
  if (now - this->compared_at < kComparePeriod) return;
  this->compared_at = now;
  const bool has_enough = this->HasEnough(this->fast, this->usual_fast);
  Learn(this->usual_fast, this->fast.sum);
  Learn(this->usual_slow, this->slow.sum);
  if (!has_enough) return;
  const double distance = this->Distance();
  const bool learned = this->usual_distance > 0;
  const bool broken =
      learned && distance > this->limits.least_break &&
      distance > this->usual_distance * this->limits.break_factor;
  if (broken) {
    this->slow = this->fast;
    return;
  }
  this->usual_distance =
      learned ? this->usual_distance +
                    kDistanceWeightOfNew * (distance - this->usual_distance)
              : distance;
}

void DemandWindow::Learn(double& usual, double sum) {
  const bool learned = usual > 0;
  usual = learned ? usual + kUsualWeightOfNew * (sum - usual) : sum;
}

bool DemandWindow::HasEnough(const Estimate& estimate, double usual) const {
  return estimate.sum >= this->limits.least_part * usual;
}

std::optional<GroupLoad> DemandWindow::Load(std::size_t layers) const {
  const auto& weights = this->slow.weights;
  if (this->total <= 0 || layers == 0 || weights.size() % layers != 0)
    return std::nullopt;
  if (!this->HasEnough(this->slow, this->usual_slow)) return std::nullopt;
  const std::size_t experts = weights.size() / layers;
  GroupLoad load;
  for (std::size_t layer = 0; layer < layers; ++layer) {
    const auto begin =
        weights.begin() + static_cast<std::ptrdiff_t>(layer * experts);
    load.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(experts));
  }
  return load;
}

void DemandWindow::Forget() {
  this->last.clear();
  this->slow = Estimate{};
  this->fast = Estimate{};
  this->total = 0;
}

}  // namespace banyanlane::experts
