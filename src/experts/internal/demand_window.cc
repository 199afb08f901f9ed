#include "experts/internal/demand_window.h"

#include <cmath>

namespace banyanlane::experts {

void DemandWindow::OnCounts(const link::ExpertCounts& counts,
                            kernel::TimePoint now) {
  this->Fade(now);
  this->weights.resize(counts.counts.size(), 0.0);
  auto& before = this->last[counts.rank];
  const bool comparable = before.size() == counts.counts.size();
  for (std::size_t i = 0; comparable && i < before.size(); ++i) {
    // A rank that started anew counts from nothing.
    if (counts.counts[i] < before[i]) continue;
    const auto grown = static_cast<double>(counts.counts[i] - before[i]);
    this->weights[i] += grown;
    this->total += grown;
  }
  before = counts.counts;
}

void DemandWindow::Fade(kernel::TimePoint now) {
  const double age =
      std::chrono::duration<double, std::milli>(now - this->faded_at).count();
  this->faded_at = now;
  const double kept =
      std::exp2(-age / static_cast<double>(this->half_life.count()));
  for (double& weight : this->weights) weight *= kept;
}

std::optional<GroupLoad> DemandWindow::Load(std::size_t layers) const {
  if (this->total <= 0 || layers == 0 || this->weights.size() % layers != 0)
    return std::nullopt;
  const std::size_t experts = this->weights.size() / layers;
  GroupLoad load;
  for (std::size_t layer = 0; layer < layers; ++layer) {
    const auto begin =
        this->weights.begin() + static_cast<std::ptrdiff_t>(layer * experts);
    load.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(experts));
  }
  return load;
}

void DemandWindow::Forget() {
  this->last.clear();
  this->weights.clear();
  this->total = 0;
}

}  // namespace banyanlane::experts
