#include "direct/internal/direct_service.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <set>

#include "direct/internal/work_keys.h"
#include "kernel/boot_clock.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"

namespace banyanlane::direct {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Time in milliseconds after which callers may retry when the gateway has no
/// configuration or instance list yet.
constexpr std::int64_t kNotReadyRetryMillis = 250;
/// Time in milliseconds after which callers may retry when this gateway has no
/// free connection or memory. Another gateway may have capacity immediately.
constexpr std::int64_t kOverloadRetryMillis = 250;
/// If fewer gateways than this are ready in the caller's failure domain,
/// callers are given those of other domains as well, so that one of them can
/// fail.
constexpr std::size_t kMinAddresses = 2;
/// Maximum number of gateways given to callers.
constexpr std::size_t kMaxAddresses = 64;

/// Returns the key of requests that repeat this one.
std::string RequestKey(const http::HttpRequest& request,
                       const std::string& host,
                       const std::string& organisation) {
  kernel::DigestStream digest;
  for (const std::string& part :
       {request.method, host, request.target, organisation}) {
    digest.Add(part);
    digest.Add("\n");
  }
  digest.Add(request.body);
  return "request:" + digest.Finish();
}

/// Before any outage of a service was observed, one is expected to last as
/// long as endpoints wait for a lost endpoint.
PoolLimits PoolLimitsOf(const GatewaySettings& settings) {
  PoolLimits limits;
  limits.initial_outage = settings.limits.stream_stall_timeout;
  return limits;
}

}  // namespace

DirectService::DirectService(
    GatewaySettings settings, std::shared_ptr<http::IHttpRuntime> runtime,
    std::shared_ptr<const ICallerProtocol> protocol,
    std::shared_ptr<peers::IPeers> peers,
    std::shared_ptr<membership::IMembership> membership,
    std::shared_ptr<kernel::Metrics> metrics,
    std::shared_ptr<CrashMonitor> crashes,
    std::shared_ptr<limits::IRateLimits> rate_limits, std::uint64_t seed,
    kernel::TimePoint now)
    : settings(std::move(settings)),
      runtime(std::move(runtime)),
      protocol(std::move(protocol)),
      peers(std::move(peers)),
      membership(std::move(membership)),
      metrics(std::move(metrics)),
      crashes(std::move(crashes)),
      rate_limits(std::move(rate_limits)),
      pool(
          this->settings.failure_domain, PoolLimitsOf(this->settings), seed,
          [this](const std::string& endpoint) {
            return this->peers->InFlightFromPeers(endpoint);
          },
          [this](const std::string& address) {
            return this->peers->SlowdownOf(address);
          },
          this->rate_limits.get()),
      retries(this->settings.retries, now),
      stop(this->settings.grace_period, this->settings.address_ttl),
      last_number(seed) {}

void DirectService::OnConfig(const config::ConfigPtr& config) {
  auto table = std::make_shared<const RouteTable>(config);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->routes = std::move(table);
}

void DirectService::OnInstances(const membership::InstanceListPtr& list,
                                kernel::TimePoint now) {
  this->pool.OnInstances(*list);
  this->Publish(now);
  this->SendAllQueued(now);
}

std::shared_ptr<const RouteTable> DirectService::Routes() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->routes;
}

bool DirectService::IsReady(kernel::TimePoint /*now*/) {
  return !this->stop.HasBegun() && this->Routes() != nullptr &&
         this->membership->Current() != nullptr;
}

GatewayAddresses DirectService::AddressesFor(const std::string& failure_domain,
                                             kernel::TimePoint now) {
  std::vector<std::string> same_domain;
  std::vector<std::string> other_domains;
  const auto add = [&](const std::string& address, const std::string& domain) {
    (domain == failure_domain ? same_domain : other_domains).push_back(address);
  };
  if (this->IsReady(now))
    add(this->settings.caller_address, this->settings.failure_domain);
  for (const peers::Peer& peer : this->peers->LiveGateways(now)) {
    if (peer.ready && !peer.leaving)
      add(peer.caller_address, peer.failure_domain);
  }
  if (same_domain.size() < kMinAddresses)
    same_domain.insert(same_domain.end(), other_domains.begin(),
                       other_domains.end());
  same_domain.resize(std::min(same_domain.size(), kMaxAddresses));
  return {std::move(same_domain), this->settings.address_ttl};
}

std::string DirectService::PickService(const config::Profile& profile) {
  if (profile.split.empty()) return profile.service;
  std::int64_t total = 0;
  for (const config::ServiceShare& share : profile.split) total += share.weight;
  if (total <= 0) return profile.split.front().service;
  // Consecutive numbers hash to evenly spread values.
  const std::uint64_t number =
      kernel::Hash64(profile.name, ++this->last_number) %
      static_cast<std::uint64_t>(total);
  auto remainder = static_cast<std::int64_t>(number);
  for (const config::ServiceShare& share : profile.split) {
    remainder -= share.weight;
    if (remainder < 0) return share.service;
  }
  return profile.split.back().service;
}

std::variant<DirectRequest, DirectService::Rejection> DirectService::Accept(
    http::HttpRequest& request, const CallerRequestHead& head,
    kernel::TimePoint now) {
  const auto table = this->Routes();
  if (!table || this->membership->Current() == nullptr)
    return Rejection{kUnavailable, "not_ready", kNotReadyRetryMillis};
  DirectRequest direct_request;
  direct_request.config = table->config();
  const std::string host = http::HeaderOf(request.headers, "host");
  direct_request.profile = table->Find(host, request.Path());
  if (direct_request.profile == nullptr)
    return Rejection{kNotFound, "no_route"};
  const auto& keys = direct_request.config->organisations_by_api_key;
  const auto organisation = keys.find(head.api_key);
  if (organisation == keys.end() && direct_request.profile->requires_api_key)
    return Rejection{kUnauthorized, "unknown_key"};
  direct_request.urgency = direct_request.profile->urgency;
  if (organisation != keys.end()) {
    direct_request.organisation = organisation->second.name;
    direct_request.urgency =
        organisation->second.urgency.value_or(direct_request.urgency);
  }
  direct_request.service = this->PickService(*direct_request.profile);
  direct_request.work_keys =
      PartKeys(head.shared_prompt_parts, this->settings.max_prompt_parts);
  direct_request.work_keys.push_back(
      RequestKey(request, host, direct_request.organisation));
  direct_request.deadline_ms = head.deadline_ms;
  const kernel::Millis time_limit =
      direct_request.TimeLimit().value_or(kMaxTimeLimit);
  if (!this->stop.TryAccept(time_limit, now))
    return Rejection{kUnavailable, "leaving", 0};
  direct_request.message = std::move(request);
  direct_request.message.authority = host;
  direct_request.request_id = head.request_id;
  direct_request.last_event_id = head.last_event_id;
  return direct_request;
}

void DirectService::Handle(http::IHttpExchange& exchange) {
  http::HttpRequest request = exchange.TakeRequest();
  if (this->stop.HasBegun()) exchange.CloseAfterResponse();
  std::string request_id;
  auto accepted = [&]() -> std::variant<DirectRequest, Rejection> {
    const CallerRequestHead head = this->protocol->ReadRequest(request);
    request_id = head.request_id;
    if (!exchange.HoldMemory(PartKeyMemory(head.shared_prompt_parts,
                                           this->settings.max_prompt_parts)))
      return Rejection{kUnavailable, "request_memory", kOverloadRetryMillis};
    return this->Accept(request, head, kernel::BootNow());
  }();
  if (const auto* rejection = std::get_if<Rejection>(&accepted)) {
    this->Reject(exchange, *rejection, request_id);
    return;
  }
  const absl::Cleanup on_ended = [this] { this->stop.OnEnded(); };
  this->Run(exchange, std::get<DirectRequest>(std::move(accepted)));
}

void DirectService::Reject(http::IHttpExchange& exchange,
                           const Rejection& rejection,
                           const std::string& request_id) {
  exchange.Reply(this->WriteRejection(rejection, request_id));
}

http::HttpResponse DirectService::WriteRejection(
    const Rejection& rejection, const std::string& request_id) {
  this->metrics->Count("banyanlane_refusals_total{reason=\"" +
                       rejection.reason + "\"}");
  kernel::LogEvent(kernel::EventId::kRequestRefused,
                   {{"request", request_id},
                    {"status", std::to_string(rejection.status)},
                    {"reason", rejection.reason}});
  return this->protocol->WriteRefusal(rejection.status, rejection.reason,
                                      rejection.retry_after_ms, request_id);
}

http::HttpResponse DirectService::RefuseOverload(
    const http::HttpRequest& request, const std::string& reason) {
  return this->WriteRejection({kUnavailable, reason, kOverloadRetryMillis},
                              this->protocol->ReadRequest(request).request_id);
}

void DirectService::Run(http::IHttpExchange& exchange,
                        DirectRequest direct_request) {
  const auto started = kernel::Clock::now();
  const std::uint64_t number = ++this->last_number;
  const DirectContext context{this->pool,
                              this->retries,
                              this->queue,
                              this->crashes->attribution(),
                              this->peers->LiveGateways(started).size() + 1,
                              this->settings.limits,
                              this->rate_limits.get()};
  DirectRunner::Environment environment;
  environment.runtime = this->runtime;
  environment.protocol = this->protocol;
  environment.pool = &this->pool;
  environment.on_capacity = [this](const std::string& service) {
    this->SendQueued(service, kernel::Clock::now());
  };
  environment.metrics = this->metrics;
  environment.crashes = this->crashes;
  environment.rate_limits = this->rate_limits;
  const auto runner = std::make_shared<DirectRunner>(
      std::move(environment),
      std::make_unique<DirectFlow>(context, std::move(direct_request), number),
      exchange.notifier(), exchange.response_memory());
  this->runners.Set(number, runner);
  runner->UpdateFlow(
      [started](DirectFlow& flow) { return flow.Start(started); });
  bool is_responding = true;
  while (is_responding) {
    is_responding =
        this->Deliver(exchange, *runner, runner->TakeCallerActions());
    if (!is_responding) break;
    const http::WakeReason wake_reason = exchange.Wait(runner->NextTimer());
    const auto now = kernel::Clock::now();
    if (wake_reason == http::WakeReason::kTimeout)
      runner->UpdateFlow([now](DirectFlow& flow) { return flow.OnTimer(now); });
    if (wake_reason == http::WakeReason::kCallerDisconnected) {
      runner->UpdateFlow(
          [now](DirectFlow& flow) { return flow.OnCallerDisconnected(now); });
      exchange.Abort();
      is_responding = false;
    }
  }
  this->runners.Erase(number);
  const auto request_time =
      std::chrono::duration<double, std::milli>(kernel::Clock::now() - started);
  this->metrics->ObserveMillis("banyanlane_request_millis",
                               request_time.count());
}

bool DirectService::Deliver(http::IHttpExchange& exchange, DirectRunner& runner,
                            DirectActions actions) {
  for (DirectAction& action : actions) {
    bool is_connected = true;
    if (this->stop.HasBegun()) exchange.CloseAfterResponse();
    if (auto* complete = std::get_if<SendResponse>(&action)) {
      exchange.Reply(complete->response);
      return false;
    }
    if (auto* refusal = std::get_if<SendRefusal>(&action)) {
      this->Reject(exchange,
                   {refusal->status, refusal->reason, refusal->retry_after_ms},
                   runner.direct_request().request_id);
      return false;
    }
    if (std::holds_alternative<SendStreamEnd>(action)) {
      exchange.EndStream();
      return false;
    }
    if (const auto* cut = std::get_if<AbortResponse>(&action)) {
      this->RecordCut(*cut, runner.direct_request().request_id);
      exchange.Abort();
      return false;
    }
    if (auto* head = std::get_if<SendStreamHead>(&action)) {
      is_connected = exchange.BeginStream(head->status, head->headers);
      this->metrics->ObserveMillis("banyanlane_first_part_millis",
                                   std::chrono::duration<double, std::milli>(
                                       kernel::Clock::now() - runner.started())
                                       .count());
    }
    if (auto* events = std::get_if<SendEvents>(&action)) {
      is_connected = exchange.WriteChunk(events->text);
      runner.UpdateFlow([bytes = events->text.size()](DirectFlow& flow) {
        return flow.OnDelivered(bytes, kernel::Clock::now());
      });
    }
    if (!is_connected) {
      runner.UpdateFlow([](DirectFlow& flow) {
        return flow.OnCallerDisconnected(kernel::Clock::now());
      });
      exchange.Abort();
      return false;
    }
  }
  return true;
}

void DirectService::SendQueued(const std::string& service,
                               kernel::TimePoint now) {
  // The end of a stop frees places, and would cut off what is sent to them.
  if (this->stop.IsClosing()) return;
  // A request that can't use the capacity, because it has tried that endpoint
  // before, does not keep the ones behind it from using it.
  std::set<std::uint64_t> tried;
  while (this->pool.HasCapacity(service, now)) {
    const auto next = this->queue.NextRequest(service, tried, now);
    if (!next) return;
    tried.insert(*next);
    const auto runner = this->runners.Find(*next);
    if (!runner) continue;
    (*runner)->UpdateFlow(
        [now](DirectFlow& flow) { return flow.OnCapacity(now); });
  }
}

void DirectService::SendAllQueued(kernel::TimePoint now) {
  for (const std::string& service : this->queue.QueuedServices())
    this->SendQueued(service, now);
}

void DirectService::Publish(kernel::TimePoint now) {
  peers::LocalState state;
  state.ready = this->IsReady(now);
  state.leaving = this->stop.HasBegun();
  state.in_flight =
      this->pool.InFlight(this->peers->LiveGateways(now).size() + 1);
  this->peers->Publish(std::move(state), now);
  this->SetGauges(now);
}

void DirectService::SetGauges(kernel::TimePoint now) {
  const auto set = [this](std::string_view name, std::size_t value) {
    this->metrics->SetGauge(name, static_cast<double>(value));
  };
  set("banyanlane_requests_in_flight", this->InFlight());
  set("banyanlane_gateways_live", this->peers->LiveGateways(now).size() + 1);
  const auto table = this->Routes();
  const auto revision = table ? table->config()->revision : 0;
  set("banyanlane_config_revision", static_cast<std::size_t>(revision));
  set("banyanlane_requests_waiting", this->queue.TotalLength());
}

void DirectService::Drain(kernel::TimePoint requested_at,
                          kernel::TimePoint now) {
  this->stop.Begin(requested_at, now);
  this->Publish(kernel::Clock::now());
}

std::string DirectService::Pending(std::size_t busy_connections,
                                   kernel::TimePoint now) {
  std::string pending = this->stop.Pending(busy_connections, now);
  if (this->stop.IsClosing()) this->EndRequests(kernel::Clock::now());
  return pending;
}

void DirectService::RecordCut(const AbortResponse& cut,
                              const std::string& request_id) {
  const std::string stopping = this->stop.HasBegun() ? "yes" : "no";
  this->metrics->Count("banyanlane_cut_responses_total{reason=\"" + cut.reason +
                       "\",stopping=\"" + stopping + "\"}");
  kernel::LogEvent(kernel::EventId::kAnswerCut, {{"request", request_id},
                                                 {"reason", cut.reason},
                                                 {"stopping", stopping}});
}

void DirectService::EndRequests(kernel::TimePoint now) {
  if (!this->has_closed.exchange(true)) {
    kernel::LogEvent(kernel::EventId::kStopClosing,
                     {{"left", std::to_string(this->InFlight())}});
  }
  for (const auto& runner : this->runners.Values()) {
    runner->UpdateFlow([now](DirectFlow& flow) { return flow.OnStopEnd(now); });
  }
}

}  // namespace banyanlane::direct
