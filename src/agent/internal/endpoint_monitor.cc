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

void EndpointMonitor::OnConnectionLost(std::string stream_id,
                                       std::vector<AffectedWork> running) {
  if (!this->probing) {
    this->affected_work = std::move(running);
    std::sort(this->affected_work.begin(), this->affected_work.end(),
              [](const AffectedWork& left, const AffectedWork& right) {
                return left.fingerprint < right.fingerprint;
              });
  }
  this->failed_streams.push_back(std::move(stream_id));
}

EndpointMonitor::ProbeResult EndpointMonitor::OnProbe(bool responded,
                                                      std::string_view boot_id,
                                                      kernel::TimePoint now) {
  ProbeResult result;
  const bool restarted =
      responded && !this->last_boot_id.empty() && boot_id != this->last_boot_id;
  result.went_down = this->up && !responded;
  result.recovered = !this->up && responded;
  result.crashed = (!responded || restarted) && !this->affected_work.empty();
  if (result.crashed) result.affected_work = std::move(this->affected_work);
  result.failed_streams = std::move(this->failed_streams);
  if (responded) this->last_boot_id = std::string(boot_id);
  this->up = responded;
  this->probing = false;
  this->last_probe = now;
  this->affected_work.clear();
  this->failed_streams.clear();
  return result;
}

}  // namespace banyanlane::agent
