#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "config/i_config.h"
#include "entry/internal/address_selector.h"
#include "entry/internal/endpoint_table.h"
#include "entry/internal/entry_stop.h"
#include "entry/internal/flow_table.h"
#include "entry/internal/organisation_limits.h"
#include "entry/internal/retry_budget.h"
#include "evidence/crash_evidence.h"
#include "http/i_http_handler.h"
#include "kernel/metrics.h"
#include "kernel/sharded_map.h"
#include "link/i_link.h"
#include "membership/instances.h"

namespace banyanlane::entry {

/// Handles callers' requests, and passes each message from an agent to the flow
/// of the request that it belongs to.
class EntryService : public http::IHttpHandler, public link::ILinkObserver {
 public:
  EntryService(AddressSelector address_selector,
               std::unique_ptr<IRoutePolicy> route_policy,
               std::shared_ptr<config::IConfigStore> store,
               std::shared_ptr<membership::IMembership> membership,
               std::shared_ptr<kernel::Metrics> metrics, kernel::TimePoint now);

  void Handle(http::IHttpExchange& exchange) override;

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Removes expired evidence and unused retry budgets, and updates the
  /// metrics.
  void OnTick(kernel::TimePoint now);

  /// Processes a new version of the platform's instance list.
  void OnInstances(const membership::InstanceListPtr& list);

  /// Begins a graceful shutdown.
  void Drain(kernel::TimePoint now);
  /// Returns what the graceful shutdown still waits for. When it returns "",
  /// the shutdown is over, and no work is accepted any more.
  std::string Pending(kernel::TimePoint now);

  /// Returns a text for operators that shows to which endpoint a request would
  /// be routed, and the state of all endpoints.
  /// @param request Names the profile and the prompt prefix in its query.
  std::string Explain(const http::HttpRequest& request, kernel::TimePoint now);

  EndpointTable& endpoints() { return this->endpoint_table; }
  std::size_t InFlight() { return this->flows.Size(); }

 private:
  void HandleByPath(http::IHttpExchange& exchange);
  void HandleAddresses(http::IHttpExchange& exchange);
  void HandleIssueKey(http::IHttpExchange& exchange);
  void HandleResume(http::IHttpExchange& exchange);
  void HandleWork(http::IHttpExchange& exchange);

  /// Returns the problem if this entry does not know the configuration in force
  /// yet.
  std::optional<Problem> CheckConfigKnown(kernel::TimePoint now) const;
  /// Returns the response to work that is refused because the entry stops.
  Problem StoppingProblem(const std::string& organisation) const;
  /// Returns the problem if `request` needs an issued idempotency key and has
  /// none.
  std::optional<Problem> CheckKey(const CallerRequest& request,
                                  kernel::TimePoint now);
  /// Returns a new idempotency key, or "" if the profile has no endpoint.
  std::string IssueKey(const config::Profile& profile, kernel::TimePoint now);
  /// Returns the problem if `request` is refused because the entry stops.
  /// Otherwise accepts it, and limits its deadline to the end of a graceful
  /// shutdown.
  std::optional<Problem> Accept(CallerRequest& request, kernel::TimePoint now);
  /// Runs a flow to its end.
  /// @param start Starts the flow and returns its first actions.
  template <typename Start>
  void RunFlow(http::IHttpExchange& exchange, const std::string& id,
               CallerRequest request, Start start);
  /// Performs the flow's actions for the caller.
  /// @return False if the response has ended.
  bool Deliver(http::IHttpExchange& exchange, FlowRunner& runner,
               FlowActions actions);
  /// Adds a new idempotency key to `problem` if that of the request can't be
  /// used again.
  void AddNextKey(Problem& problem, const CallerRequest& request);
  void ReplyProblem(http::IHttpExchange& exchange, const Problem& problem);

  AddressSelector address_selector;
  EndpointTable endpoint_table;
  std::shared_ptr<config::IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  std::shared_ptr<kernel::Metrics> metrics;
  RetryBudget retry_budget;
  OrganisationLimits organisation_limits;
  evidence::CrashEvidence crash_evidence;
  FlowTable flows;
  kernel::ShardedMap<std::uint64_t, link::LinkPtr> links;
  std::atomic<std::uint64_t> flow_seed{1};
  kernel::TimePoint start_time;
  std::atomic<bool> peer_connected{false};
  /// Highest revision that a peer had when its link opened.
  std::atomic<std::uint64_t> newest_peer_revision{0};
  EntryStop stop;
};

}  // namespace banyanlane::entry
