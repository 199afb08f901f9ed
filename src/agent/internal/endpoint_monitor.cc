#include "agent/internal/endpoint_monitor.h"

#include <algorithm>

namespace banyanlane::agent {
namespace {

constexpr kernel::Millis kProbePeriod{500};

}  // namespace

bool EndpointMonitor::BeginProbe() {
  if (this->probing) return false;
  this->probing = true;
  return true;
}

bool EndpointMonitor::IsProbeDue(kernel::TimePoint now) const {
  return !this->up && now - this->last_probe >= kProbePeriod;
}

void EndpointMonitor::OnConnectionLost(std::string stream,
                                       std::vector<CohortMember> running) {
  if (!this->probing) {
    this->cohort = std::move(running);
    std::sort(this->cohort.begin(), this->cohort.end(),
              [](const CohortMember& left, const CohortMember& right) {
                return left.fingerprint < right.fingerprint;
              });
  }
  this->failed_streams.push_back(std::move(stream));
}

EndpointMonitor::ProbeResult EndpointMonitor::OnProbe(bool responded,
                                                      std::string_view boot_id,
                                                      kernel::TimePoint now) {
  ProbeResult finding;
  const bool restarted =
      responded && !this->last_boot_id.empty() && boot_id != this->last_boot_id;
  finding.went_down = this->up && !responded;
  finding.recovered = !this->up && responded;
  finding.crashed = (!responded || restarted) && !this->cohort.empty();
  if (finding.crashed) finding.cohort = std::move(this->cohort);
  finding.failed_streams = std::move(this->failed_streams);
  if (responded) this->last_boot_id = std::string(boot_id);
  this->up = responded;
  this->probing = false;
  this->last_probe = now;
  this->cohort.clear();
  this->failed_streams.clear();
  return finding;
}

}  // namespace banyanlane::agent
