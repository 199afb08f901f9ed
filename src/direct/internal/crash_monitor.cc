#include "direct/internal/crash_monitor.h"

#include "kernel/event_log.h"
#include "peers/i_peers.h"

namespace banyanlane::direct {
namespace {

/// Time within which an endpoint that is up accepts a connection. A machine
/// without power does not respond at all, which shows nothing about the work.
constexpr kernel::Millis kCheckTimeout{500};

kernel::EventId EventOf(evidence::WorkStatus status) {
  switch (status) {
    case evidence::WorkStatus::kClear:
      return kernel::EventId::kWorkCleared;
    case evidence::WorkStatus::kDoubtful:
      return kernel::EventId::kWorkDoubtful;
    case evidence::WorkStatus::kQuarantined:
      return kernel::EventId::kWorkQuarantined;
  }
  return kernel::EventId::kWorkCleared;
}

}  // namespace

CrashMonitor::CrashMonitor(
    std::string node, std::shared_ptr<http::IHttpRuntime> runtime,
    std::shared_ptr<kernel::Metrics> metrics,
    std::shared_ptr<limits::IRateLimits> rate_limits,
    std::function<std::size_t(kernel::TimePoint)> count_gateways)
    : runtime(std::move(runtime)),
      metrics(std::move(metrics)),
      rate_limits(std::move(rate_limits)),
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
  this->ApplyChanges(now);
}

void CrashMonitor::OnBegun(const Keys& keys, kernel::TimePoint sent_at,
                           kernel::TimePoint now) {
  this->Send(this->evidence.RecordBegun(keys, sent_at, now));
}

void CrashMonitor::OnSurvived(const Keys& keys, kernel::TimePoint sent_at,
                              kernel::TimePoint now) {
  this->Send(this->evidence.RecordSurvival(keys, sent_at, now));
  this->ApplyChanges(now);
}

void CrashMonitor::Expire(kernel::TimePoint now) {
  this->evidence.Expire(now);
  this->ApplyChanges(now);
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
  this->ApplyChanges(now);
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

void CrashMonitor::ApplyChanges(kernel::TimePoint now) {
  for (const auto& change : this->evidence.TakeChanges()) {
    const bool is_doubtful = change.status == evidence::WorkStatus::kDoubtful;
    this->rate_limits->SetLimit(
        limits::WorkResource(change.key),
        is_doubtful
            ? std::optional(evidence::AttributionLimits{}.permits_per_second)
            : std::nullopt,
        now);
    const bool is_quarantined =
        change.status == evidence::WorkStatus::kQuarantined;
    if (is_quarantined)
      this->metrics->Count("banyanlane_work_quarantined_total");
    kernel::LogEvent(
        EventOf(change.status),
        {{"work", change.key}, {"crashes", std::to_string(change.crashes)}});
  }
}

}  // namespace banyanlane::direct
