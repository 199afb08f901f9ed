#pragma once

#include <memory>
#include <mutex>
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
  std::size_t UnfinishedCount();

 private:
  class CallObserver;
  class ProbeObserver;

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
  std::string endpoint_address;
  std::string health_path;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<kernel::AuditTrail> audit;
  std::shared_ptr<kernel::Metrics> metrics;
  kernel::ShardedMap<std::uint64_t, link::LinkPtr> links;
  kernel::ShardedMap<std::string, std::shared_ptr<http::IHttpCall>> calls;
};

}  // namespace banyanlane::agent
