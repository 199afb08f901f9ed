#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "config/i_config.h"
#include "direct/i_caller_protocol.h"
#include "direct/i_gateway.h"
#include "direct/internal/direct_runner.h"
#include "direct/internal/endpoint_pool.h"
#include "direct/internal/graceful_stop.h"
#include "direct/internal/request_queue.h"
#include "direct/internal/retry_allowance.h"
#include "direct/internal/route_table.h"
#include "http/i_http_handler.h"
#include "http/i_http_runtime.h"
#include "kernel/metrics.h"
#include "kernel/sharded_map.h"
#include "membership/instances.h"
#include "peers/i_peers.h"

namespace banyanlane::direct {

/// Settings of a gateway.
struct GatewaySettings {
  std::string caller_address;
  std::string failure_domain;
  kernel::Millis address_ttl{0};
  /// Longest time of a graceful shutdown.
  kernel::Millis grace_period{0};
  /// Number of parts of a prompt for which evidence about crashes is kept.
  std::size_t max_prompt_parts = 0;
  RetryLimits retries;
  DirectLimits limits;
};

/// Serves callers by sending their requests directly to endpoints.
class DirectService : public http::IHttpHandler, public IGateway {
 public:
  DirectService(GatewaySettings settings,
                std::shared_ptr<http::IHttpRuntime> runtime,
                std::shared_ptr<const ICallerProtocol> protocol,
                std::shared_ptr<peers::IPeers> peers,
                std::shared_ptr<membership::IMembership> membership,
                std::shared_ptr<kernel::Metrics> metrics,
                std::shared_ptr<CrashMonitor> crashes,
                std::shared_ptr<limits::IRateLimits> rate_limits,
                std::uint64_t seed, kernel::TimePoint now);

  void Handle(http::IHttpExchange& exchange) override;
  http::HttpResponse RefuseOverload(const http::HttpRequest& request,
                                    const std::string& reason) override;

  bool IsReady(kernel::TimePoint now) override;
  GatewayAddresses AddressesFor(const std::string& failure_domain,
                                kernel::TimePoint now) override;

  void OnConfig(const config::ConfigPtr& config);
  void OnInstances(const membership::InstanceListPtr& list,
                   kernel::TimePoint now);
  /// Sends this gateway's state to its peers.
  void Publish(kernel::TimePoint now);
  /// Sends the queued requests of all services that have capacity.
  void SendAllQueued(kernel::TimePoint now);

  /// Begins a graceful stop, and tells the peers.
  /// @param requested_at time from which the grace period is counted. Both
  /// times are those of kernel::BootNow.
  void Drain(kernel::TimePoint requested_at, kernel::TimePoint now);
  /// Returns what the stop waits for, or "" when it is over. Answers the
  /// requests that are left when the stop closes.
  /// @param busy_connections number of connections on which requests of callers
  /// arrive or are answered.
  /// @param now present time of kernel::BootNow.
  std::string Pending(std::size_t busy_connections, kernel::TimePoint now);
  /// Returns whether a stop has reached its last phase.
  bool IsClosing() const { return this->stop.IsClosing(); }

  EndpointPool& endpoints() { return this->pool; }
  std::size_t InFlight() { return this->runners.Size(); }

 private:
  /// A refusal before any attempt.
  struct Rejection {
    int status = 0;
    std::string reason;
    std::int64_t retry_after_ms = -1;
  };

  /// Validates `request`, finds its profile and accepts it unless a stop is too
  /// near. The stop must be told when the response to an accepted one has
  /// ended.
  /// @param request is moved from unless it is rejected.
  /// @param now present time of kernel::BootNow.
  std::variant<DirectRequest, Rejection> Accept(http::HttpRequest& request,
                                                const CallerRequestHead& head,
                                                kernel::TimePoint now);
  std::string PickService(const config::Profile& profile);
  void Run(http::IHttpExchange& exchange, DirectRequest direct_request);
  /// Runs the actions for the caller.
  /// @return whether the response continues.
  bool Deliver(http::IHttpExchange& exchange, DirectRunner& runner,
               DirectActions actions);
  void Reject(http::IHttpExchange& exchange, const Rejection& rejection,
              const std::string& request_id);
  http::HttpResponse WriteRejection(const Rejection& rejection,
                                    const std::string& request_id);
  /// Sends queued requests of `service` while it has capacity.
  void SendQueued(const std::string& service, kernel::TimePoint now);
  std::shared_ptr<const RouteTable> Routes();
  void RecordCut(const AbortResponse& cut, const std::string& request_id);
  /// Answers all requests that are in progress.
  void EndRequests(kernel::TimePoint now);
  void SetGauges(kernel::TimePoint now);

  GatewaySettings settings;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<const ICallerProtocol> protocol;
  std::shared_ptr<peers::IPeers> peers;
  std::shared_ptr<membership::IMembership> membership;
  std::shared_ptr<kernel::Metrics> metrics;
  std::shared_ptr<CrashMonitor> crashes;
  std::shared_ptr<limits::IRateLimits> rate_limits;
  EndpointPool pool;
  RetryAllowance retries;
  RequestQueue queue;
  GracefulStop stop;
  std::atomic<bool> has_closed{false};  ///< Whether kStopClosing is logged.
  /// Last number given to a request or used to pick a service.
  std::atomic<std::uint64_t> last_number;
  /// Runners of all active requests, by number.
  kernel::ShardedMap<std::uint64_t, std::shared_ptr<DirectRunner>> runners;
  std::mutex mutex;  ///< Guards the member below.
  std::shared_ptr<const RouteTable> routes;
};

}  // namespace banyanlane::direct
