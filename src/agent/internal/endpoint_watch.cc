#include "agent/internal/endpoint_watch.h"

#include <algorithm>

namespace banyanlane::agent {
namespace {

constexpr kernel::Millis kProbePeriod{500};

}  // namespace

bool EndpointWatch::BeginProbe() {
  if (this->probing) return false;
  this->probing = true;
  return true;
}

bool EndpointWatch::IsProbeDue(kernel::TimePoint now) const {
  return !this->up && now - this->last_probe >= kProbePeriod;
}

void EndpointWatch::OnCut(std::string stream,
                          std::vector<CohortMember> running) {
  if (!this->probing) {
    this->cohort = std::move(running);
    std::sort(this->cohort.begin(), this->cohort.end(),
              [](const CohortMember& left, const CohortMember& right) {
                return left.fingerprint < right.fingerprint;
              });
  }
  this->failed.push_back(std::move(stream));
}

EndpointWatch::Finding EndpointWatch::OnProbe(bool answered,
                                              std::string_view name,
                                              kernel::TimePoint now) {
  Finding finding;
  const bool rebooted = answered && !this->boot.empty() && name != this->boot;
  finding.went_down = this->up && !answered;
  finding.came_back = !this->up && answered;
  finding.crashed = (!answered || rebooted) && !this->cohort.empty();
  if (finding.crashed) finding.cohort = std::move(this->cohort);
  finding.failed = std::move(this->failed);
  if (answered) this->boot = std::string(name);
  this->up = answered;
  this->probing = false;
  this->last_probe = now;
  this->cohort.clear();
  this->failed.clear();
  return finding;
}

}  // namespace banyanlane::agent
