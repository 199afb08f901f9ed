#include "direct/internal/batch_limit.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

/// Part of the pauses of one period that may be longer than the one that
/// counts. Single streams are delayed for reasons of their own.
constexpr double kIgnoredPauses = 0.5;

/// Returns the element below which `fraction` of the others are.
double QuantileOf(std::vector<double> values, double fraction) {
  const auto position = static_cast<std::ptrdiff_t>(
      static_cast<double>(values.size()) * fraction);
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<std::size_t>(position)];
}

}  // namespace

void BatchLimit::OnPause(kernel::Millis pause, kernel::Millis goal,
                         double running, kernel::TimePoint now) {
  if (pause.count() <= 0 || goal.count() <= 0 || running <= 0) return;
  const bool is_complete =
      now - this->period_begun_at >= this->parameters.period;
  if (is_complete) {
    if (!this->affordable.empty()) {
      this->observations.push_back(
          {now, QuantileOf(this->affordable, kIgnoredPauses)});
    }
    this->affordable.clear();
    this->period_begun_at = now;
  }
  while (!this->observations.empty() &&
         now - this->observations.front().at > this->parameters.memory)
    this->observations.pop_front();
  this->affordable.push_back(running * static_cast<double>(goal.count()) /
                             static_cast<double>(pause.count()));
}

std::optional<double> BatchLimit::Limit(double slots,
                                        kernel::TimePoint now) const {
  const double lowest = slots * this->parameters.min_fraction;
  std::vector<double> reachable;
  std::size_t unreachable = 0;
  for (const Observation& observation : this->observations) {
    if (now - observation.at > this->parameters.memory) continue;
    if (observation.affordable < lowest) {
      ++unreachable;
    } else {
      reachable.push_back(observation.affordable);
    }
  }
  const auto total = static_cast<double>(reachable.size() + unreachable);
  const bool helps = static_cast<double>(unreachable) <=
                     this->parameters.ignored_fraction * total;
  if (reachable.empty() || !helps) return std::nullopt;
  return QuantileOf(std::move(reachable), this->parameters.ignored_fraction);
}

}  // namespace banyanlane::direct
