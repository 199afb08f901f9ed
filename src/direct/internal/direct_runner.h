#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "direct/internal/crash_monitor.h"
#include "direct/internal/direct_flow.h"
#include "http/i_http_handler.h"
#include "http/i_http_runtime.h"
#include "kernel/metrics.h"

namespace banyanlane::direct {

/// Runs one flow. It calls endpoints as the flow decides, and keeps the actions
/// for the caller until the caller's coroutine fetches them.
class DirectRunner : public std::enable_shared_from_this<DirectRunner> {
 public:
  /// Objects of the gateway that the runner uses. All of them outlive it.
  struct Environment {
    std::shared_ptr<http::IHttpRuntime> runtime;
    std::shared_ptr<const ICallerProtocol> protocol;
    EndpointPool* pool = nullptr;
    /// Called after a request has left an endpoint of `service`.
    std::function<void(const std::string& service)> on_capacity;
    std::shared_ptr<kernel::Metrics> metrics;
    std::shared_ptr<CrashMonitor> crashes;
    std::shared_ptr<limits::IRateLimits> rate_limits;
  };

  DirectRunner(Environment environment, std::unique_ptr<DirectFlow> flow,
               std::shared_ptr<http::INotifier> notifier,
               std::shared_ptr<http::IResponseMemory> memory);

  /// Returns when the runner was created, on the arrival of the request.
  kernel::TimePoint started() const { return this->started_at; }

  /// Calls `update` on the flow and queues the resulting actions, both under
  /// the mutex. The actions for endpoints then run in order without the mutex,
  /// here or in the call of UpdateFlow that is already running actions.
  template <typename Update>
  void UpdateFlow(Update update) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->QueueActions(update(*this->flow));
      this->HoldResponse();
      if (this->is_running) return;
      this->is_running = true;
    }
    this->RunActions();
  }

  /// Returns the actions for the caller since the last call.
  DirectActions TakeCallerActions();

  /// Returns when the flow's timer is due.
  kernel::TimePoint NextTimer();
  /// Returns the request, which does not change.
  const DirectRequest& direct_request() const {
    return this->flow->direct_request();
  }

 private:
  class Observer;

  void Count(const WriteLogEvent& log_event);
  /// Reserves memory for what the flow holds of the response. Gives the
  /// response up if there is none. Requires the mutex.
  void HoldResponse();
  void QueueActions(DirectActions new_actions);
  void RunActions();
  void RunAction(const CallEndpoint& action);
  void RunAction(const CancelCall& action);
  void RunAction(const PauseCall& action);
  void RunAction(const ResumeCall& action);
  void RunAction(const ReleaseEndpoint& action);
  void RunAction(const ReportLostConnection& action);
  void RunAction(const ReportBegun& action);
  void RunAction(const ReportSurvival& action);
  void RunAction(const ReportRateLimit& action);
  template <typename CallerAction>
  void RunAction(const CallerAction& /*action*/) {}

  kernel::TimePoint started_at = kernel::Clock::now();
  Environment environment;
  std::mutex mutex;
  std::unique_ptr<DirectFlow> flow;
  std::shared_ptr<http::INotifier> notifier;
  std::shared_ptr<http::IResponseMemory> memory;
  DirectActions endpoint_actions;
  bool is_running = false;  ///< A call of UpdateFlow is running actions.
  DirectActions caller_actions;
  std::shared_ptr<http::IHttpCall> call;  ///< HTTP call of the current attempt.
  std::uint64_t call_attempt = 0;
};

}  // namespace banyanlane::direct
