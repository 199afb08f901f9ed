#include "direct/internal/direct_service.h"

#include <algorithm>

#include "kernel/event_log.h"
#include "kernel/hash.h"

namespace banyanlane::direct {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Told to callers that come before the gateway knows what to serve, or after
/// it has told them to use others.
constexpr std::int64_t kNotServingRetryMillis = 250;
/// Told to callers that find no connection or memory free. Another gateway may
/// have some at once.
constexpr std::int64_t kCrowdedRetryMillis = 250;
/// Callers may keep an answer this many times as long as they are told.
constexpr int kOverkeeping = 3;
/// End of a graceful shutdown before the platform ends the process.
constexpr kernel::Millis kGraceMargin{700};
/// Time that a request needs to end before the shutdown does.
constexpr kernel::Millis kLastRequestTime{2'800};
/// Fewest gateways told to callers, so that one of them can fail.
constexpr std::size_t kFewestAddresses = 2;
/// Most gateways told to callers.
constexpr std::size_t kMostAddresses = 64;

}  // namespace

DirectService::DirectService(
    GatewaySettings settings, std::shared_ptr<http::IHttpRuntime> runtime,
    std::shared_ptr<const ICallerProtocol> protocol,
    std::shared_ptr<peers::IPeers> peers,
    std::shared_ptr<membership::IMembership> membership,
    std::shared_ptr<kernel::Metrics> metrics, std::uint64_t seed,
    kernel::TimePoint now)
    : settings(std::move(settings)),
      runtime(std::move(runtime)),
      protocol(std::move(protocol)),
      peers(std::move(peers)),
      membership(std::move(membership)),
      metrics(std::move(metrics)),
      pool(
          this->settings.failure_domain, PoolLimits{}, seed,
          [this](const std::string& endpoint) {
            return this->peers->InFlightElsewhere(endpoint);
          },
          [this](const std::string& address) {
            return this->peers->PaceOf(address);
          }),
      retries(this->settings.retries, now),
      seeds(seed) {}

void DirectService::OnConfig(const config::ConfigPtr& config) {
  auto table = std::make_shared<const RouteTable>(config);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->routes = std::move(table);
}

void DirectService::OnInstances(const membership::InstanceListPtr& list,
                                kernel::TimePoint now) {
  this->pool.OnInstances(*list);
  this->Publish(now);
  this->LetAllIn(now);
}

std::shared_ptr<const RouteTable> DirectService::Routes() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->routes;
}

std::optional<kernel::TimePoint> DirectService::LeavingSince() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->leaving_since;
}

bool DirectService::IsReady(kernel::TimePoint /*now*/) {
  return !this->LeavingSince() && this->Routes() != nullptr &&
         this->membership->Current() != nullptr;
}

GatewayAddresses DirectService::AddressesFor(const std::string& failure_domain,
                                             kernel::TimePoint now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  const auto add = [&](const std::string& address, const std::string& domain) {
    (domain == failure_domain ? near : far).push_back(address);
  };
  if (this->IsReady(now))
    add(this->settings.caller_address, this->settings.failure_domain);
  for (const peers::Peer& peer : this->peers->Live(now)) {
    if (peer.ready && !peer.leaving)
      add(peer.caller_address, peer.failure_domain);
  }
  if (near.size() < kFewestAddresses)
    near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kMostAddresses));
  return {std::move(near), this->settings.address_keep};
}

std::string DirectService::DrawService(const config::Profile& profile) {
  if (profile.split.empty()) return profile.service;
  std::int64_t total = 0;
  for (const config::ServiceShare& share : profile.split) total += share.weight;
  if (total <= 0) return profile.split.front().service;
  // Consecutive seeds hash to numbers that are spread evenly.
  const std::uint64_t number = kernel::Hash64(profile.name, ++this->seeds) %
                               static_cast<std::uint64_t>(total);
  auto drawn = static_cast<std::int64_t>(number);
  for (const config::ServiceShare& share : profile.split) {
    drawn -= share.weight;
    if (drawn < 0) return share.service;
  }
  return profile.split.back().service;
}

std::variant<DirectWork, DirectService::Rejection> DirectService::Check(
    http::HttpRequest& request, const CallerHead& head, kernel::TimePoint now) {
  const auto table = this->Routes();
  if (!table || this->membership->Current() == nullptr)
    return Rejection{kUnavailable, "not_ready", kNotServingRetryMillis};
  const auto leaving = this->LeavingSince();
  const bool too_late =
      leaving &&
      now - *leaving > this->settings.grace - kGraceMargin - kLastRequestTime;
  if (too_late) return Rejection{kUnavailable, "leaving", 0};
  DirectWork work;
  work.config = table->config();
  const std::string host = http::HeaderOf(request.headers, "host");
  work.profile = table->Find(host, request.Path());
  if (work.profile == nullptr) return Rejection{kNotFound, "no_route"};
  const auto& keys = work.config->organisations_by_key;
  const auto organisation = keys.find(head.key);
  if (organisation == keys.end() && work.profile->needs_key)
    return Rejection{kUnauthorized, "unknown_key"};
  work.urgency = work.profile->urgency;
  if (organisation != keys.end()) {
    work.organisation = organisation->second.name;
    work.urgency = organisation->second.urgency.value_or(work.urgency);
  }
  work.service = this->DrawService(*work.profile);
  work.message = std::move(request);
  work.message.authority = host;
  work.request_id = head.request_id;
  work.deadline_ms = head.deadline_ms.value_or(work.profile->deadline_ms);
  work.last_event_id = head.last_event_id;
  return work;
}

void DirectService::Handle(http::IHttpExchange& exchange) {
  const auto now = kernel::Clock::now();
  http::HttpRequest request = exchange.TakeRequest();
  const CallerHead head = this->protocol->ReadRequest(request);
  if (this->LeavingSince()) exchange.CloseAfterResponse();
  auto checked = this->Check(request, head, now);
  if (const auto* rejection = std::get_if<Rejection>(&checked)) {
    this->Reject(exchange, *rejection, head.request_id);
    return;
  }
  this->Run(exchange, std::get<DirectWork>(std::move(checked)));
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
  return this->WriteRejection({kUnavailable, reason, kCrowdedRetryMillis},
                              this->protocol->ReadRequest(request).request_id);
}

void DirectService::Run(http::IHttpExchange& exchange, DirectWork work) {
  const auto begun = kernel::Clock::now();
  const std::uint64_t number = ++this->seeds;
  const DirectContext context{this->pool, this->retries, this->line,
                              this->peers->Live(begun).size() + 1,
                              this->settings.limits};
  DirectRunner::Environment environment;
  environment.runtime = this->runtime;
  environment.protocol = this->protocol;
  environment.pool = &this->pool;
  environment.on_room = [this](const std::string& service) {
    this->LetIn(service, kernel::Clock::now());
  };
  environment.metrics = this->metrics;
  const auto runner = std::make_shared<DirectRunner>(
      std::move(environment),
      std::make_unique<DirectFlow>(context, std::move(work), number),
      exchange.notifier());
  this->runners.Set(number, runner);
  runner->Decide([begun](DirectFlow& flow) { return flow.Start(begun); });
  const std::uint64_t ticket = runner->WaitingTicket();
  if (ticket != 0) this->waiting.Set(ticket, runner);
  bool answering = true;
  while (answering) {
    answering = this->Deliver(exchange, *runner, runner->TakeForCaller());
    if (!answering) break;
    const http::WakeReason woken = exchange.Wait(runner->NextTimer());
    const auto now = kernel::Clock::now();
    if (woken == http::WakeReason::kTimeout)
      runner->Decide([now](DirectFlow& flow) { return flow.OnTimer(now); });
    if (woken == http::WakeReason::kCallerDisconnected) {
      runner->Decide(
          [now](DirectFlow& flow) { return flow.OnCallerGone(now); });
      exchange.Abort();
      answering = false;
    }
  }
  if (ticket != 0) this->waiting.Erase(ticket);
  this->runners.Erase(number);
  const auto took =
      std::chrono::duration<double, std::milli>(kernel::Clock::now() - begun);
  this->metrics->ObserveMillis("banyanlane_request_millis", took.count());
}

bool DirectService::Deliver(http::IHttpExchange& exchange, DirectRunner& runner,
                            DirectActions actions) {
  for (DirectAction& action : actions) {
    bool taken = true;
    if (auto* whole = std::get_if<PassAnswer>(&action)) {
      exchange.Reply(whole->response);
      return false;
    }
    if (auto* refusal = std::get_if<Refuse>(&action)) {
      this->Reject(exchange,
                   {refusal->status, refusal->reason, refusal->retry_after_ms},
                   runner.work().request_id);
      return false;
    }
    if (std::holds_alternative<PassEnd>(action)) {
      exchange.EndStream();
      return false;
    }
    if (std::holds_alternative<CutAnswer>(action)) {
      kernel::LogEvent(kernel::EventId::kAnswerCut,
                       {{"request", runner.work().request_id}});
      exchange.Abort();
      return false;
    }
    if (auto* head = std::get_if<PassHead>(&action)) {
      if (this->LeavingSince()) exchange.CloseAfterResponse();
      taken = exchange.BeginStream(head->status, head->headers);
      this->metrics->ObserveMillis("banyanlane_first_part_millis",
                                   std::chrono::duration<double, std::milli>(
                                       kernel::Clock::now() - runner.begun())
                                       .count());
    }
    if (auto* events = std::get_if<PassEvents>(&action))
      taken = exchange.WriteChunk(events->text);
    if (!taken) {
      runner.Decide([](DirectFlow& flow) {
        return flow.OnCallerGone(kernel::Clock::now());
      });
      exchange.Abort();
      return false;
    }
  }
  return true;
}

void DirectService::LetIn(const std::string& service, kernel::TimePoint now) {
  while (true) {
    const auto first = this->line.First(service, now);
    if (!first || !this->pool.HasRoom(service, now)) return;
    const auto runner = this->waiting.Find(*first);
    if (!runner) return;
    (*runner)->Decide([now](DirectFlow& flow) { return flow.OnRoom(now); });
    const bool has_moved = this->line.First(service, now) != first;
    if (!has_moved) return;
  }
}

void DirectService::LetAllIn(kernel::TimePoint now) {
  for (const std::string& service : this->line.Services())
    this->LetIn(service, now);
}

void DirectService::Publish(kernel::TimePoint now) {
  peers::LocalState state;
  state.ready = this->IsReady(now);
  state.leaving = this->LeavingSince().has_value();
  state.in_flight = this->pool.InFlight();
  this->peers->Publish(std::move(state), now);
  this->SetGauges(now);
}

void DirectService::SetGauges(kernel::TimePoint now) {
  const auto set = [this](std::string_view name, std::size_t value) {
    this->metrics->SetGauge(name, static_cast<double>(value));
  };
  set("banyanlane_requests_in_flight", this->InFlight());
  set("banyanlane_gateways_live", this->peers->Live(now).size() + 1);
  const auto table = this->Routes();
  const auto revision = table ? table->config()->revision : 0;
  set("banyanlane_config_revision", static_cast<std::size_t>(revision));
  set("banyanlane_requests_waiting", this->waiting.Size());
}

void DirectService::Drain(kernel::TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->leaving_since) this->leaving_since = now;
  }
  this->Publish(now);
}

std::string DirectService::Pending(kernel::TimePoint now) {
  const auto since = this->LeavingSince();
  if (!since) return "";
  const auto gone = now - *since;
  if (gone >= this->settings.grace - kGraceMargin) return "";
  if (this->InFlight() > 0)
    return std::to_string(this->InFlight()) + " requests in flight";
  if (gone < this->settings.address_keep * kOverkeeping)
    return "callers that keep this address";
  return "";
}

}  // namespace banyanlane::direct
