#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "agent/internal/agent_core.h"
#include "http/i_http_runtime.h"
#include "kernel/audit_trail.h"
#include "kernel/metrics.h"
#include "kernel/sharded_map.h"
#include "link/i_link.h"

namespace banyanlane::agent {

/// Connects AgentCore to links and to the endpoint's HTTP interface.
class AgentService : public link::ILinkObserver,
                     public std::enable_shared_from_this<AgentService> {
 public:
  AgentService(std::unique_ptr<AgentCore> core, std::string endpoint_address,
               std::string health_path,
               std::shared_ptr<http::IHttpRuntime> runtime,
               std::shared_ptr<kernel::AuditTrail> audit,
               std::shared_ptr<kernel::Metrics> metrics);

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  void OnConfig(const config::ConfigPtr& config);
  void OnTick(kernel::TimePoint now);
  void OnLeaving(std::string_view cause, kernel::TimePoint now);
  /// Updates the gauges.
  void PublishMetrics();
  link::Heartbeat State(kernel::TimePoint now);
  /// Returns the number of responses that are not complete, not read or not
  /// yet passed on to their links.
  std::size_t UnfinishedCount();

  /// Begins a graceful stop, in which all new work is refused.
  void BeginStop(kernel::TimePoint now);
  /// Returns what a graceful stop still waits for, or "". Each piece of work
  /// ends at its own deadline at the latest.
  /// @param queued_bytes bytes of messages that wait to be sent.
  std::string Pending(std::size_t queued_bytes, kernel::TimePoint now);

 private:
  class CallObserver;
  class ProbeObserver;

  /// Implements UnfinishedCount; the mutex must be held.
  std::size_t CountUnfinished() const;
  /// Calls `decision` on the core under the lock and queues the returned
  /// actions. Then performs the queued actions without the lock, unless another
  /// thread is already performing them.
  /// @param decision function that receives the core and the current time, and
  /// returns actions.
  template <typename Decision>
  void Execute(Decision decision);
  void Perform(AgentActions& actions);
  void Perform(SendMessage& action);
  void Perform(Broadcast& action);
  void Perform(StartCall& action);
  void Perform(AbortCall& action);
  void Perform(PauseCall& action);
  void Perform(ResumeCall& action);
  void Perform(ProbeEndpoint& action);
  void Perform(WriteLogEvent& action);
  void Perform(Audit& action);

  std::mutex mutex;
  std::unique_ptr<AgentCore> core;
  AgentActions pending_actions;  ///< Actions not yet performed.
  bool is_performing = false;    ///< A thread is performing the actions.
  std::optional<kernel::TimePoint> stop_began_at;
  std::string endpoint_address;
  std::string health_path;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<kernel::AuditTrail> audit;
  std::shared_ptr<kernel::Metrics> metrics;
  kernel::ShardedMap<std::uint64_t, link::LinkPtr> links;
  kernel::ShardedMap<std::string, std::shared_ptr<http::IHttpCall>> calls;
};

}  // namespace banyanlane::agent
