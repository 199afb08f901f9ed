#include "direct/internal/crash_monitor.h"

#include "kernel/event_log.h"
#include "peers/i_peers.h"

namespace banyanlane::direct {
namespace {

/// Time within which an endpoint that is up accepts a connection. A machine
/// without power does not respond at all, which shows nothing about the work.
constexpr kernel::Millis kCheckTimeout{500};

}  // namespace

CrashMonitor::CrashMonitor(
    std::string node, std::shared_ptr<http::IHttpRuntime> runtime,
    std::shared_ptr<kernel::Metrics> metrics,
    std::function<std::size_t(kernel::TimePoint)> count_gateways)
    : runtime(std::move(runtime)),
      metrics(std::move(metrics)),
      count_gateways(std::move(count_gateways)),
      evidence(std::move(node), evidence::AttributionLimits{}) {}

void CrashMonitor::OnConnectionLost(const EndpointChoice& endpoint,
                                    const Keys& keys,
                                    const evidence::LostAttempt& attempt) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<PendingAttempt>& waiting = this->pending[endpoint.id];
    waiting.push_back({keys, attempt});
    if (waiting.size() > 1) return;
  }
  this->runtime->CheckConnection(
      endpoint.address, kCheckTimeout,
      [weak = this->weak_from_this(), endpoint](http::ConnectionCheck result) {
        const auto self = weak.lock();
        if (self) self->OnChecked(endpoint, result, kernel::Clock::now());
      });
}

void CrashMonitor::OnChecked(const EndpointChoice& endpoint,
                             http::ConnectionCheck result,
                             kernel::TimePoint now) {
  std::vector<PendingAttempt> attempts;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    attempts.swap(this->pending[endpoint.id]);
    this->pending.erase(endpoint.id);
  }
  if (result != http::ConnectionCheck::kRefused) return;
  this->metrics->Count("banyanlane_endpoint_crashes_total");
  const std::string crash =
      endpoint.id + "/" + std::to_string(endpoint.incarnation);
  kernel::LogEvent(kernel::EventId::kEndpointLost,
                   {{"endpoint", crash},
                    {"address", endpoint.address},
                    {"attempts", std::to_string(attempts.size())}});
  for (const auto& [keys, attempt] : attempts)
    this->Send(this->evidence.RecordCrash(keys, crash, attempt, now));
  this->LogChanges();
}

void CrashMonitor::OnBegun(const Keys& keys, kernel::TimePoint sent_at,
                           kernel::TimePoint now) {
  this->Send(this->evidence.RecordBegun(keys, sent_at, now));
}

void CrashMonitor::OnSurvived(const Keys& keys, kernel::TimePoint sent_at,
                              kernel::TimePoint now) {
  this->Send(this->evidence.RecordSurvival(keys, sent_at, now));
  this->LogChanges();
}

void CrashMonitor::OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) {
  if (link->peer().role != peers::kGatewayRole) return;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links[link->id()] = link;
  }
  for (const link::WorkReport& report : this->evidence.All(now))
    link->Send(report);
}

void CrashMonitor::OnMessage(const link::LinkPtr& link, link::Message message,
                             kernel::TimePoint now) {
  const auto* report = std::get_if<link::WorkReport>(&message);
  if (report == nullptr) return;
  if (this->evidence.Merge(*report, now) && this->MustForward(now))
    this->Send({*report}, link);
  this->LogChanges();
}

void CrashMonitor::OnLinkDown(const link::LinkPtr& link,
                              kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->links.erase(link->id());
}

bool CrashMonitor::MustForward(kernel::TimePoint now) {
  const std::size_t gateways = this->count_gateways(now);
  const std::lock_guard<std::mutex> lock(this->mutex);
  return gateways > this->links.size();
}

void CrashMonitor::Send(const std::vector<link::WorkReport>& reports,
                        const link::LinkPtr& except) {
  if (reports.empty()) return;
  std::vector<link::LinkPtr> receivers;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& entry : this->links) {
      if (entry.second != except) receivers.push_back(entry.second);
    }
  }
  for (const link::LinkPtr& link : receivers) {
    for (const link::WorkReport& report : reports) link->Send(report);
  }
}

void CrashMonitor::LogChanges() {
  for (const auto& change : this->evidence.TakeChanges()) {
    kernel::LogEvent(
        change.is_quarantined ? kernel::EventId::kWorkQuarantined
                              : kernel::EventId::kWorkCleared,
        {{"work", change.key}, {"crashes", std::to_string(change.crashes)}});
    if (change.is_quarantined)
      this->metrics->Count("banyanlane_work_quarantined_total");
  }
}

}  // namespace banyanlane::direct
