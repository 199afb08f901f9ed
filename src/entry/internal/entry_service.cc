#include "entry/internal/entry_service.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "agent/idempotency_key.h"
#include "kernel/event_log.h"
#include "kernel/hash.h"
#include "kernel/text.h"

namespace banyanlane::entry {
namespace {

using nlohmann::json;

constexpr std::string_view kAddressesPath = "/v1/addresses";
constexpr std::string_view kKeysPath = "/v1/keys";
constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr kernel::Millis kEvidenceLifetime{600'000};
/// An entry that has reached no peer, or has not received the revision of one,
/// accepts work after this time, with the configuration that it has.
constexpr kernel::Millis kMaxPeerWait{2'000};
constexpr std::uint64_t kRetryAfterMillis = 500;

http::HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump() + "\n"};
}

std::int64_t MaxDeadlineMillis(const config::ConfigPtr& config) {
  std::int64_t max_deadline = 0;
  if (!config) return max_deadline;
  for (const auto& [name, profile] : config->profiles) {
    max_deadline = std::max(max_deadline, profile.deadline_ms);
  }
  return max_deadline;
}

}  // namespace

EntryService::EntryService(AddressSelector address_selector,
                           std::unique_ptr<IRoutePolicy> route_policy,
                           std::shared_ptr<config::IConfigStore> store,
                           std::shared_ptr<membership::IMembership> membership,
                           std::shared_ptr<kernel::Metrics> metrics,
                           kernel::TimePoint now)
    : address_selector(std::move(address_selector)),
      endpoint_table(std::move(route_policy)),
      store(std::move(store)),
      membership(std::move(membership)),
      metrics(std::move(metrics)),
      crash_evidence(kEvidenceLifetime),
      start_time(now) {}

void EntryService::Handle(http::IHttpExchange& exchange) {
  this->stop.OnArrived(kernel::Clock::now());
  const absl::Cleanup on_ended = [this] { this->stop.OnEnded(); };
  if (this->stop.HasBegun()) exchange.CloseAfterResponse();
  this->HandleByPath(exchange);
}

void EntryService::HandleByPath(http::IHttpExchange& exchange) {
  const std::string path = exchange.request().Path();
  if (path == kAddressesPath) {
    this->HandleAddresses(exchange);
    return;
  }
  if (path == kKeysPath) {
    this->HandleIssueKey(exchange);
    return;
  }
  if (kernel::StartsWith(path, kRequestsPath)) {
    this->HandleResume(exchange);
    return;
  }
  this->HandleWork(exchange);
}

void EntryService::HandleAddresses(http::IHttpExchange& exchange) {
  const EntryAddresses selection = this->address_selector.Select(
      this->membership->Current(), OrganisationOf(exchange.request()),
      this->stop.HasBegun());
  json body;
  body["addresses"] = selection.addresses;
  body["keep_ms"] = selection.lifetime.count();
  exchange.Reply(JsonResponse(200, body));
}

void EntryService::HandleIssueKey(http::IHttpExchange& exchange) {
  const auto now = kernel::Clock::now();
  if (const auto problem = this->CheckConfigKnown(now)) {
    this->ReplyProblem(exchange, *problem);
    return;
  }
  const config::ConfigPtr config = this->store->Current();
  const std::string name = exchange.request().Query("profile");
  const config::Profile* profile = config ? config->FindProfile(name) : nullptr;
  if (profile == nullptr) {
    this->ReplyProblem(exchange, MakeRequestProblem(404, "unknown_profile",
                                                    "profile '" + name +
                                                        "' is not published"));
    return;
  }
  const std::string key = this->IssueKey(*profile, now);
  if (key.empty()) {
    Problem problem = MakeRequestProblem(503, "no_endpoint",
                                         "no endpoint of " + profile->service);
    problem.retry_after_ms = kRetryAfterMillis;
    this->ReplyProblem(exchange, problem);
    return;
  }
  json body;
  body["key"] = key;
  body["profile"] = profile->name;
  body["lifetime_s"] = profile->key_lifetime_s;
  exchange.Reply(JsonResponse(200, body));
}

std::string EntryService::IssueKey(const config::Profile& profile,
                                   kernel::TimePoint now) {
  RouteRequest route;
  route.service = profile.service;
  route.affinity = kernel::RandomId();
  const auto endpoint = this->endpoint_table.Choose(route, now);
  if (!endpoint) return "";
  const agent::IdempotencyKey key{endpoint->node, endpoint->incarnation,
                                  endpoint->clock_ms, kernel::RandomId()};
  return key.Format();
}

std::optional<Problem> EntryService::CheckConfigKnown(
    kernel::TimePoint now) const {
  const config::ConfigPtr config = this->store->Current();
  const bool wait_over = now - this->start_time >= kMaxPeerWait;
  const bool has_newest = config && this->peer_connected &&
                          config->revision >= this->newest_peer_revision;
  if (has_newest || (config && wait_over)) return std::nullopt;
  Problem problem;
  problem.status = 503;
  problem.step = "admit";
  problem.retry_after_ms = kRetryAfterMillis;
  problem.reason = "not_ready";
  problem.detail = "this entry has not learned the configuration in force yet";
  return problem;
}

Problem EntryService::StoppingProblem(const std::string& organisation) const {
  Problem problem;
  problem.status = 503;
  problem.step = "admit";
  problem.retry_after_ms = kRetryAfterMillis;
  problem.reason = "stopping";
  problem.detail = "use";
  const EntryAddresses others = this->address_selector.Select(
      this->membership->Current(), organisation, true);
  for (const std::string& address : others.addresses)
    problem.detail += " " + address;
  return problem;
}

std::optional<Problem> EntryService::CheckKey(const CallerRequest& request,
                                              kernel::TimePoint now) {
  const bool has_issued_key =
      agent::IdempotencyKey::Parse(request.key).has_value();
  if (request.profile->repeatable || has_issued_key) return std::nullopt;
  Problem problem;
  constexpr int kPreconditionRequired = 428;
  problem.status = kPreconditionRequired;
  problem.reason = "key_required";
  problem.step = "claim_key";
  problem.detail =
      "send again with Idempotency-Key: next_key, on every sending of this "
      "request";
  problem.next_key = this->IssueKey(*request.profile, now);
  if (problem.next_key.empty()) problem.retry_after_ms = kRetryAfterMillis;
  return problem;
}

std::optional<Problem> EntryService::Accept(CallerRequest& request,
                                            kernel::TimePoint now) {
  const auto granted =
      this->stop.TryAccept(kernel::Millis(request.deadline_ms), now);
  if (!granted) return this->StoppingProblem(request.organisation);
  request.deadline_ms = static_cast<std::uint64_t>(granted->count());
  return std::nullopt;
}

void EntryService::HandleWork(http::IHttpExchange& exchange) {
  const auto now = kernel::Clock::now();
  this->metrics->Count("banyanlane_requests_total");
  const std::string organisation = OrganisationOf(exchange.request());
  if (const auto problem = this->CheckConfigKnown(now)) {
    this->ReplyProblem(exchange, *problem);
    return;
  }
  auto checked = CheckRequest(exchange.request(), this->store->Current());
  if (const Problem* problem = std::get_if<Problem>(&checked)) {
    this->ReplyProblem(exchange, *problem);
    return;
  }
  auto& request = std::get<CallerRequest>(checked);
  if (const auto problem = this->CheckKey(request, now)) {
    this->ReplyProblem(exchange, *problem);
    return;
  }
  if (const auto problem = this->Accept(request, now)) {
    this->ReplyProblem(exchange, *problem);
    return;
  }
  const config::ConfigPtr config = request.config;
  const config::Profile& profile = *request.profile;
  const EntryAddresses entry_addresses = this->address_selector.Select(
      this->membership->Current(), organisation, false);
  const auto entry_count =
      static_cast<std::int64_t>(entry_addresses.addresses.size());
  if (!this->organisation_limits.Acquire(profile, organisation, entry_count)) {
    Problem problem;
    problem.status =
        StatusFor(link::Reason::kOrganisationLimit, link::Outcome::kNotRun);
    problem.reason =
        std::string(link::ReasonName(link::Reason::kOrganisationLimit));
    problem.step = "admit";
    problem.retry_after_ms = kRetryAfterMillis;
    const bool keyed = !request.key.empty();
    problem.outcome = keyed ? link::Outcome::kUnknown : link::Outcome::kNotRun;
    if (keyed) problem.attempt_outcome = link::Outcome::kNotRun;
    this->ReplyProblem(exchange, problem);
    return;
  }
  this->RunFlow(
      exchange, kernel::RandomId(), std::move(request),
      [](RequestFlow& flow) { return flow.Start(kernel::Clock::now()); });
  this->organisation_limits.Release(profile, organisation);
}

void EntryService::HandleResume(http::IHttpExchange& exchange) {
  const http::HttpRequest& request = exchange.request();
  const config::ConfigPtr config = this->store->Current();
  const auto response_id =
      ResponseId::Parse(request.Path().substr(kRequestsPath.size()));
  const std::string organisation = OrganisationOf(request);
  const auto offset =
      kernel::ParseNumber<std::uint64_t>("0" + request.Query("offset"));
  if (!response_id || !offset || organisation.empty() || !config) {
    this->ReplyProblem(
        exchange,
        MakeRequestProblem(400, "invalid_resume",
                           "needs an answer's name, an organisation and a "
                           "numeric offset"));
    return;
  }
  CallerRequest caller;
  caller.config = config;
  const config::Profile* profile =
      config->FindProfile(request.Query("profile"));
  caller.profile =
      profile != nullptr ? profile : &config->profiles.begin()->second;
  caller.organisation = organisation;
  caller.deadline_ms = static_cast<std::uint64_t>(MaxDeadlineMillis(config));
  if (const auto problem = this->Accept(caller, kernel::Clock::now())) {
    this->ReplyProblem(exchange, *problem);
    return;
  }
  this->RunFlow(exchange, RequestFlow::FlowIdOf(response_id->request),
                std::move(caller), [&](RequestFlow& flow) {
                  return flow.StartResumed(*response_id, *offset,
                                           kernel::Clock::now());
                });
}

template <typename Start>
void EntryService::RunFlow(http::IHttpExchange& exchange, const std::string& id,
                           CallerRequest request, Start start) {
  const auto flow_start = kernel::Clock::now();
  const FlowContext context{this->endpoint_table, this->retry_budget,
                            this->crash_evidence, FlowLimits{}};
  auto flow = std::make_unique<RequestFlow>(context, id, std::move(request),
                                            ++this->flow_seed);
  const auto send = [this](std::uint64_t link_id,
                           const link::Message& message) {
    if (const auto link = this->links.Find(link_id)) (*link)->Send(message);
  };
  const auto runner =
      std::make_shared<FlowRunner>(std::move(flow), send, exchange.notifier());
  this->flows.Add(id, runner);
  runner->Dispatch(
      [&start](RequestFlow& request_flow) { return start(request_flow); });
  bool responding = true;
  while (responding) {
    responding = this->Deliver(exchange, *runner, runner->TakeCallerActions());
    if (!responding) break;
    const http::WakeReason wake_reason = exchange.Wait(runner->NextTimer());
    const auto now = kernel::Clock::now();
    if (wake_reason == http::WakeReason::kTimeout) {
      runner->Dispatch([now](RequestFlow& request_flow) {
        return request_flow.OnTimer(now);
      });
    }
    if (wake_reason == http::WakeReason::kCallerDisconnected) {
      runner->Dispatch([now](RequestFlow& request_flow) {
        return request_flow.OnCallerDisconnected(now);
      });
      exchange.Abort();
      responding = false;
    }
  }
  this->flows.Remove(id, runner);
  const auto elapsed_ms = std::chrono::duration<double, std::milli>(
      kernel::Clock::now() - flow_start);
  this->metrics->ObserveMillis("banyanlane_request_millis", elapsed_ms.count());
}

bool EntryService::Deliver(http::IHttpExchange& exchange, FlowRunner& runner,
                           FlowActions actions) {
  for (FlowAction& action : actions) {
    bool written = true;
    if (auto* complete = std::get_if<DeliverResponse>(&action)) {
      exchange.Reply(complete->response);
      return false;
    }
    if (auto* problem = std::get_if<DeliverProblem>(&action)) {
      this->AddNextKey(problem->problem, runner.request());
      this->ReplyProblem(exchange, problem->problem);
      return false;
    }
    if (std::holds_alternative<DeliverEnd>(action)) {
      exchange.EndStream();
      return false;
    }
    if (auto* aborted = std::get_if<DeliverAbort>(&action)) {
      const http::HttpResponse problem_response = ToResponse(aborted->problem);
      exchange.WriteChunk("event: error\ndata: " + problem_response.body +
                          "\n");
      exchange.Abort();
      return false;
    }
    if (auto* head = std::get_if<DeliverHead>(&action)) {
      written = exchange.BeginStream(head->status, head->headers);
    }
    if (auto* part = std::get_if<DeliverData>(&action)) {
      written = exchange.WriteChunk(part->data);
      const std::uint64_t end = part->end_offset;
      if (written) {
        runner.Dispatch([end](RequestFlow& flow) {
          return flow.OnCallerConsumed(end, kernel::Clock::now());
        });
      }
    }
    if (!written) {
      runner.Dispatch([](RequestFlow& flow) {
        return flow.OnCallerDisconnected(kernel::Clock::now());
      });
      exchange.Abort();
      return false;
    }
  }
  return true;
}

void EntryService::AddNextKey(Problem& problem, const CallerRequest& request) {
  // The agent never runs work under a key after it has reported not_run for it.
  const bool key_spent =
      !request.key.empty() && problem.outcome == link::Outcome::kNotRun;
  if (!key_spent) return;
  problem.next_key = this->IssueKey(*request.profile, kernel::Clock::now());
}

void EntryService::ReplyProblem(http::IHttpExchange& exchange,
                                const Problem& problem) {
  this->metrics->Count("banyanlane_problems_total{reason=\"" + problem.reason +
                       "\"}");
  exchange.Reply(ToResponse(problem));
}

std::string EntryService::Explain(const http::HttpRequest& request,
                                  kernel::TimePoint now) {
  const std::string name = request.Query("profile");
  const config::ConfigPtr config = this->store->Current();
  const config::Profile* profile = config ? config->FindProfile(name) : nullptr;
  if (profile == nullptr) return "profile '" + name + "' is not published\n";
  RouteRequest route;
  route.service = profile->service;
  route.affinity = profile->service + "\n" + request.Query("prefix");
  const auto choice = this->endpoint_table.Choose(route, now);
  std::string text =
      "revision " + std::to_string(config->revision) + "\nservice " +
      profile->service + "\nchoice " + (choice ? choice->node : "none") +
      ": first by prompt prefix among endpoints below the load bound\n";
  for (const std::string& line : this->endpoint_table.Describe(now))
    text += line + "\n";
  return text;
}

void EntryService::Drain(kernel::TimePoint now) {
  const kernel::Millis max_deadline(MaxDeadlineMillis(this->store->Current()));
  const auto address_use = std::min(
      this->address_selector.Select(this->membership->Current(), "", true)
          .lifetime,
      max_deadline / 2);
  this->stop.Begin(max_deadline, address_use, now);
}

std::string EntryService::Pending(kernel::TimePoint now) {
  return this->stop.Pending(now);
}

}  // namespace banyanlane::entry
