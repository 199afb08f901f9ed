#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "config/i_config.h"
#include "entry/internal/address_book.h"
#include "entry/internal/endpoint_table.h"
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

/// Answers callers, and passes frames from agents to the flows they belong to.
class EntryService : public http::IHttpHandler, public link::ILinkObserver {
 public:
  EntryService(AddressBook addresses,
               std::unique_ptr<IRoutePolicy> route_policy,
               std::shared_ptr<config::IConfigStore> store,
               std::shared_ptr<membership::IMembership> membership,
               std::shared_ptr<kernel::Metrics> metrics, kernel::TimePoint now);

  void Handle(http::IHttpExchange& exchange) override;

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Forgets what has expired or is not used any more.
  void OnTick(kernel::TimePoint now);

  void OnInstances(const membership::InstanceListPtr& list);

  /// Begins a graceful shutdown.
  void Drain(kernel::TimePoint now);
  /// Returns what the shutdown still waits for, or "".
  std::string Pending(kernel::TimePoint now);

  /// Returns why a request with this profile and organisation would go where it
  /// would.
  std::string Explain(const http::HttpRequest& request, kernel::TimePoint now);

  EndpointTable& endpoints() { return this->endpoint_table; }
  std::size_t InFlight() { return this->flows.Size(); }

 private:
  void HandleAddresses(http::IHttpExchange& exchange);
  void HandleIssueKey(http::IHttpExchange& exchange);
  void HandleResume(http::IHttpExchange& exchange);
  void HandleWork(http::IHttpExchange& exchange);

  /// Returns why no work can be taken now, if anything speaks against it.
  std::optional<Problem> NotServing(const std::string& organisation,
                                    kernel::TimePoint now);
  /// Returns the problem of a request that needs an issued key and has none.
  std::optional<Problem> NeedsKey(const CallerRequest& request,
                                  kernel::TimePoint now);
  std::string IssueKey(const config::Profile& profile, kernel::TimePoint now);
  void ClipDeadline(CallerRequest& request, kernel::TimePoint now) const;
  /// Runs a flow to its end; `start` sends its first message.
  template <typename Start>
  void RunFlow(http::IHttpExchange& exchange, const std::string& id,
               CallerRequest request, Start start);
  /// Passes the flow's actions to the caller. @return false when the answer is
  /// over.
  bool Deliver(http::IHttpExchange& exchange, FlowRunner& runner,
               FlowActions actions);
  /// Adds the key to use when the request is sent again, if its own is spent.
  void OfferNextKey(Problem& problem, const CallerRequest& request);
  void ReplyProblem(http::IHttpExchange& exchange, const Problem& problem);

  AddressBook addresses;
  EndpointTable endpoint_table;
  std::shared_ptr<config::IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  std::shared_ptr<kernel::Metrics> metrics;
  RetryBudget retry_budget;
  OrganisationLimits organisation_limits;
  evidence::CrashEvidence crash_evidence;
  FlowTable flows;
  kernel::ShardedMap<std::uint64_t, link::LinkPtr> links;
  std::atomic<std::uint64_t> seeds{1};
  kernel::TimePoint started;
  std::atomic<bool> heard_peer{false};
  mutable std::mutex drain_mutex;
  std::optional<kernel::TimePoint> draining_since;
};

}  // namespace banyanlane::entry
