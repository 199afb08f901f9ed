#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "direct/internal/endpoint_pool.h"
#include "evidence/crash_attribution.h"
#include "http/i_http_runtime.h"
#include "kernel/metrics.h"
#include "limits/i_rate_limits.h"
#include "link/i_link.h"

namespace banyanlane::direct {

/// Observes which attempts end with a crash of their endpoint, and exchanges
/// this evidence with other gateways. Thread-safe.
///
/// A connection can break although its endpoint is up. After one has broken, a
/// new connection shows which is the case: an endpoint that has crashed refuses
/// it.
class CrashMonitor : public link::ILinkObserver,
                     public std::enable_shared_from_this<CrashMonitor> {
 public:
  using Keys = evidence::CrashAttribution::Keys;

  /// @param node name of this gateway's incarnation in reports.
  /// @param rate_limits permits for attempts at doubtful work.
  /// @param count_gateways returns the number of other gateways that are live.
  /// Reports are forwarded only while there are more of them than links, since
  /// otherwise every gateway receives each report from its sender.
  CrashMonitor(std::string node, std::shared_ptr<http::IHttpRuntime> runtime,
               std::shared_ptr<kernel::Metrics> metrics,
               std::shared_ptr<limits::IRateLimits> rate_limits,
               std::function<std::size_t(kernel::TimePoint)> count_gateways);

  evidence::CrashAttribution& attribution() { return this->evidence; }

  /// Processes the end of a connection before the response was complete.
  /// @param keys keys of the attempt's work.
  void OnConnectionLost(const EndpointChoice& endpoint, const Keys& keys,
                        const evidence::LostAttempt& attempt);
  /// Processes the beginning of an endpoint's response.
  /// @param sent_at when the attempt was sent.
  void OnBegun(const Keys& keys, kernel::TimePoint sent_at,
               kernel::TimePoint now);
  /// Processes an attempt that its endpoint has survived.
  /// @param sent_at when the attempt was sent.
  void OnSurvived(const Keys& keys, kernel::TimePoint sent_at,
                  kernel::TimePoint now);
  void Expire(kernel::TimePoint now);

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

 private:
  struct PendingAttempt {
    Keys keys;
    evidence::LostAttempt attempt;
  };

  void OnChecked(const EndpointChoice& endpoint, http::ConnectionCheck result,
                 kernel::TimePoint now);
  bool MustForward(kernel::TimePoint now);
  void Send(const std::vector<link::WorkReport>& reports,
            const link::LinkPtr& except = nullptr);
  /// Processes the changes of the status of work.
  void ApplyChanges(kernel::TimePoint now);

  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<kernel::Metrics> metrics;
  std::shared_ptr<limits::IRateLimits> rate_limits;
  std::function<std::size_t(kernel::TimePoint)> count_gateways;
  evidence::CrashAttribution evidence;
  std::mutex mutex;  ///< Guards the members below.
  /// Attempts whose endpoint is being checked, by its id.
  std::map<std::string, std::vector<PendingAttempt>> pending;
  std::map<std::uint64_t, link::LinkPtr> links;  ///< Links to gateways.
};

}  // namespace banyanlane::direct
