#include "agent/internal/agent_service.h"

#include <iterator>
#include <nlohmann/json.hpp>

#include "kernel/event_log.h"

namespace banyanlane::agent {
namespace {

constexpr kernel::Millis kConnectTimeout{1'000};
constexpr kernel::Millis kBodyIdleTimeout{5'000};
constexpr kernel::Millis kProbeTimeout{500};
constexpr int kOk = 200;
/// Time from the beginning of a stop in which entries learn of it. Work that
/// they send meanwhile is refused, so that it is known not to have run.
constexpr kernel::Millis kNoticeTime{300};

}  // namespace

/// Passes the events of an endpoint call to the core.
class AgentService::CallObserver : public http::IHttpCallObserver {
 public:
  CallObserver(std::shared_ptr<AgentService> service, std::string stream)
      : service(std::move(service)), stream(std::move(stream)) {}

  void OnHead(int status, const http::Headers& headers) override {
    this->service->Execute([&](AgentCore& core, kernel::TimePoint now) {
      return core.OnCallHead(this->stream, status, headers, now);
    });
  }
  void OnData(std::string_view data) override {
    this->service->Execute([&](AgentCore& core, kernel::TimePoint now) {
      return core.OnCallData(this->stream, data, now);
    });
  }
  void OnEnd() override {
    this->service->calls.Erase(this->stream);
    this->service->Execute([&](AgentCore& core, kernel::TimePoint now) {
      return core.OnCallEnd(this->stream, now);
    });
  }
  void OnFailed(const kernel::Error& error, http::SendState state) override {
    this->service->calls.Erase(this->stream);
    this->service->Execute([&](AgentCore& core, kernel::TimePoint now) {
      return core.OnCallFailed(this->stream, error, state, now);
    });
  }

 private:
  std::shared_ptr<AgentService> service;
  std::string stream;
};

/// Passes the result of a probe to the core.
class AgentService::ProbeObserver : public http::IHttpCallObserver {
 public:
  explicit ProbeObserver(std::shared_ptr<AgentService> service)
      : service(std::move(service)) {}

  void OnHead(int status, const http::Headers& /*headers*/) override {
    this->status = status;
  }
  void OnData(std::string_view data) override { this->body += data; }
  void OnEnd() override {
    const auto parsed = nlohmann::json::parse(this->body, nullptr, false);
    const bool has_boot_id = parsed.is_object() && parsed.contains("boot") &&
                             parsed["boot"].is_string();
    this->ReportProbe(this->status == kOk,
                      has_boot_id ? parsed["boot"].get<std::string>() : "");
  }
  void OnFailed(const kernel::Error& /*error*/,
                http::SendState /*state*/) override {
    this->ReportProbe(false, "");
  }

 private:
  void ReportProbe(bool up, const std::string& boot_id) {
    this->service->Execute([&](AgentCore& core, kernel::TimePoint now) {
      return core.OnProbe(up, boot_id, now);
    });
  }

  std::shared_ptr<AgentService> service;
  int status = 0;
  std::string body;
};

AgentService::AgentService(std::unique_ptr<AgentCore> core,
                           std::string endpoint_address,
                           std::string health_path,
                           std::shared_ptr<http::IHttpRuntime> runtime,
                           std::shared_ptr<kernel::AuditTrail> audit,
                           std::shared_ptr<kernel::Metrics> metrics)
    : core(std::move(core)),
      endpoint_address(std::move(endpoint_address)),
      health_path(std::move(health_path)),
      runtime(std::move(runtime)),
      audit(std::move(audit)),
      metrics(std::move(metrics)) {}

template <typename Decision>
void AgentService::Execute(Decision decision) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    AgentActions actions = decision(*this->core, kernel::Clock::now());
    std::move(actions.begin(), actions.end(),
              std::back_inserter(this->pending_actions));
    // Only one thread performs actions at a time, so that they are performed in
    // the order in which the core returned them.
    if (this->is_performing) return;
    this->is_performing = true;
  }
  while (true) {
    AgentActions batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->pending_actions);
      this->is_performing = !batch.empty();
    }
    if (batch.empty()) return;
    this->Perform(batch);
  }
}

void AgentService::OnLinkUp(const link::LinkPtr& link,
                            kernel::TimePoint /*now*/) {
  this->links.Set(link->id(), link);
  this->Execute([&](AgentCore& core, kernel::TimePoint now) {
    return core.OnLinkUp(link->id(), now);
  });
}

void AgentService::OnMessage(const link::LinkPtr& link, link::Message message,
                             kernel::TimePoint /*now*/) {
  this->Execute([&](AgentCore& core, kernel::TimePoint now) {
    return core.OnMessage(link->id(), std::move(message), now);
  });
}

void AgentService::OnLinkDown(const link::LinkPtr& link,
                              kernel::TimePoint /*now*/) {
  this->links.Erase(link->id());
  this->Execute([&](AgentCore& core, kernel::TimePoint now) {
    return core.OnLinkDown(link->id(), now);
  });
}

void AgentService::OnConfig(const config::ConfigPtr& config) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->core->OnConfig(config);
}

void AgentService::PublishMetrics() {
  const link::Heartbeat state = this->State(kernel::Clock::now());
  this->metrics->SetGauge("banyanlane_endpoint_running",
                          static_cast<double>(state.running));
  this->metrics->SetGauge("banyanlane_endpoint_queued",
                          static_cast<double>(state.queued));
  this->metrics->SetGauge("banyanlane_endpoint_up", state.endpoint_up ? 1 : 0);
  this->metrics->SetGauge("banyanlane_config_revision",
                          static_cast<double>(state.revision));
}

void AgentService::OnTick(kernel::TimePoint /*now*/) {
  this->Execute(
      [](AgentCore& core, kernel::TimePoint now) { return core.OnTick(now); });
}

void AgentService::OnLeaving(std::string_view cause,
                             kernel::TimePoint /*now*/) {
  this->Execute([cause](AgentCore& core, kernel::TimePoint now) {
    return core.OnLeaving(cause, now);
  });
}

link::Heartbeat AgentService::State(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->core->HeartbeatAt(now);
}

std::size_t AgentService::UnfinishedCount() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->CountUnfinished();
}

std::size_t AgentService::CountUnfinished() const {
  return this->core->UnfinishedCount() + (this->is_performing ? 1 : 0);
}

void AgentService::BeginStop(kernel::TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->stop_began_at) this->stop_began_at = now;
  }
  this->OnLeaving("stop requested", now);
}

std::string AgentService::Pending(std::size_t queued_bytes,
                                  kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->stop_began_at) return "";
  if (now - *this->stop_began_at < kNoticeTime)
    return "entries that may not know of the stop";
  if (const std::size_t unfinished = this->CountUnfinished())
    return std::to_string(unfinished) +
           " responses not yet complete or not yet read";
  if (queued_bytes > 0)
    return std::to_string(queued_bytes) + " bytes not yet sent";
  return "";
}

void AgentService::Perform(AgentActions& actions) {
  for (AgentAction& action : actions) {
    std::visit([this](auto& typed_action) { this->Perform(typed_action); },
               action);
  }
}

void AgentService::Perform(SendMessage& action) {
  if (const auto* ended = std::get_if<link::Ended>(&action.message)) {
    this->metrics->Count("banyanlane_attempts_total{outcome=\"" +
                         std::string(link::OutcomeName(ended->outcome)) +
                         "\",reason=\"" +
                         std::string(link::ReasonName(ended->reason)) + "\"}");
  }
  if (const auto link = this->links.Find(action.link))
    (*link)->Send(action.message);
}

void AgentService::Perform(Broadcast& action) {
  for (const link::LinkPtr& link : this->links.Values())
    link->Send(action.message);
}

void AgentService::Perform(StartCall& action) {
  this->metrics->Count("banyanlane_endpoint_calls_total");
  http::CallLimits limits;
  limits.connect_timeout = kConnectTimeout;
  limits.head_timeout = action.head_timeout;
  limits.body_idle_timeout = kBodyIdleTimeout;
  // The stream bounds what the agent keeps of a response.
  limits.max_body_bytes = http::kUnlimitedBody;
  // The lock of the map's shard is held until the call is stored, so that a
  // call that ends immediately is erased only after it was stored.
  this->calls.With(action.stream, [&](std::shared_ptr<http::IHttpCall>& call) {
    call = this->runtime->Call(this->endpoint_address,
                               std::move(action.request), limits,
                               std::make_shared<CallObserver>(
                                   this->shared_from_this(), action.stream));
  });
}

void AgentService::Perform(AbortCall& action) {
  if (const auto call = this->calls.Find(action.stream)) (*call)->Abort();
}

void AgentService::Perform(PauseCall& action) {
  if (const auto call = this->calls.Find(action.stream)) (*call)->Pause();
}

void AgentService::Perform(ResumeCall& action) {
  if (const auto call = this->calls.Find(action.stream)) (*call)->Resume();
}

void AgentService::Perform(ProbeEndpoint& /*action*/) {
  http::HttpRequest request;
  request.target = this->health_path;
  const http::CallLimits limits{kProbeTimeout, kProbeTimeout, kProbeTimeout};
  this->runtime->Call(
      this->endpoint_address, std::move(request), limits,
      std::make_shared<ProbeObserver>(this->shared_from_this()));
}

void AgentService::Perform(WriteLogEvent& action) {
  kernel::LogEvent(action.event, action.fields);
}

void AgentService::Perform(Audit& action) {
  this->audit->Record(action.kind, action.subject, 0, action.cause,
                      std::chrono::system_clock::now());
}

}  // namespace banyanlane::agent
