#include "direct/internal/pace_governor.h"

#include <algorithm>

namespace banyanlane::direct {

void PaceGovernor::OnPause(const std::string& service, std::int64_t pause_ms,
                           std::int64_t goal_ms, kernel::TimePoint now) {
  if (goal_ms <= 0) return;
  const std::lock_guard<std::mutex> lock(this->mutex);
  Pace& pace = this->services[service];
  if (pace.part <= 0) {
    pace.part = this->limits.first_part;
    pace.since = now;
  }
  const bool slow = static_cast<double>(pause_ms) >
                    this->limits.slow_part * static_cast<double>(goal_ms);
  ++pace.pauses;
  pace.slow += slow ? 1 : 0;
  if (now - pace.since < this->limits.span) return;
  this->Adjust(pace);
  pace.pauses = 0;
  pace.slow = 0;
  pace.since = now;
}

void PaceGovernor::Adjust(Pace& pace) const {
  const double share =
      static_cast<double>(pace.slow) / static_cast<double>(pace.pauses);
  const double part = share > this->limits.slow_share
                          ? pace.part * this->limits.decrease
                          : pace.part + this->limits.increase;
  pace.part =
      std::clamp(part, this->limits.least_part, this->limits.most_part);
}

double PaceGovernor::PartFor(const std::string& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(service);
  return found == this->services.end() ? this->limits.most_part
                                       : found->second.part;
}

}  // namespace banyanlane::direct
