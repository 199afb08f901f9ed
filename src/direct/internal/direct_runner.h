#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "direct/internal/direct_flow.h"
#include "http/i_http_handler.h"
#include "http/i_http_runtime.h"
#include "kernel/metrics.h"

namespace banyanlane::direct {

/// Runs one flow: calls endpoints as it decides, and keeps what is for the
/// caller until the caller's coroutine takes it.
class DirectRunner : public std::enable_shared_from_this<DirectRunner> {
 public:
  /// What the runner needs of its gateway. All outlive it.
  struct Environment {
    std::shared_ptr<http::IHttpRuntime> runtime;
    std::shared_ptr<const ICallerProtocol> protocol;
    EndpointPool* pool = nullptr;
    /// Told after a request has left an endpoint of `service`.
    std::function<void(const std::string& service)> on_room;
    std::shared_ptr<kernel::Metrics> metrics;
  };

  DirectRunner(Environment environment, std::unique_ptr<DirectFlow> flow,
               std::shared_ptr<http::INotifier> notifier);

  /// Returns when the request came.
  kernel::TimePoint begun() const { return this->begun_at; }

  /// Calls `decide` on the flow under its lock, then carries out its actions
  /// without the lock, in the order decided.
  template <typename Decision>
  void Decide(Decision decide) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->Sort(decide(*this->flow));
      if (this->acting) return;
      this->acting = true;
    }
    this->ActAll();
  }

  /// Returns the actions for the caller since the last call.
  DirectActions TakeForCaller();

  /// Returns when the flow wants to be woken.
  kernel::TimePoint NextTimer();
  /// Returns its ticket while the flow waits for room, or 0.
  std::uint64_t WaitingTicket();
  /// Returns the request, which does not change.
  const DirectWork& work() const { return this->flow->work(); }

 private:
  class Observer;

  void Count(const Report& report);
  void Sort(DirectActions decided);
  void ActAll();
  void Act(const CallEndpoint& action);
  void Act(const AbandonCall& action);
  void Act(const ReleaseEndpoint& action);
  template <typename Other>
  void Act(const Other& /*action*/) {}

  kernel::TimePoint begun_at = kernel::Clock::now();
  Environment environment;
  std::mutex mutex;
  std::unique_ptr<DirectFlow> flow;
  std::shared_ptr<http::INotifier> notifier;
  DirectActions undone;
  bool acting = false;  ///< A thread carries actions out.
  DirectActions for_caller;
  std::shared_ptr<http::IHttpCall> call;  ///< Of the current attempt.
  std::uint64_t call_attempt = 0;
};

}  // namespace banyanlane::direct
