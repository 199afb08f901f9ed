#include "direct/internal/direct_runner.h"

#include "kernel/event_log.h"

namespace banyanlane::direct {
namespace {

/// Time by which the connection's timeouts exceed the flow's deadline, so that
/// the flow's deadline comes first.
constexpr kernel::Millis kCallTimeoutMargin{1'000};

}  // namespace

/// Passes an endpoint's response to the flow.
class DirectRunner::Observer : public http::IHttpCallObserver {
 public:
  Observer(std::shared_ptr<DirectRunner> runner, std::uint64_t attempt)
      : runner(std::move(runner)), attempt(attempt) {}

  void OnHead(int status, const http::Headers& headers) override {
    ResponseHead head =
        this->runner->environment.protocol->ReadResponse(status, headers);
    this->runner->UpdateFlow([&](DirectFlow& flow) {
      return flow.OnHead(this->attempt, std::move(head), kernel::Clock::now());
    });
  }
  void OnData(std::string_view data) override {
    this->runner->UpdateFlow([&](DirectFlow& flow) {
      return flow.OnData(this->attempt, data, kernel::Clock::now());
    });
  }
  void OnEnd() override {
    this->runner->UpdateFlow([&](DirectFlow& flow) {
      return flow.OnEnd(this->attempt, kernel::Clock::now());
    });
  }
  void OnFailed(const kernel::Error& error, http::SendState state) override {
    const bool is_own_abort = error.code == kernel::ErrorCode::kCancelled;
    if (!is_own_abort) {
      kernel::LogEvent(
          kernel::EventId::kAttemptFailed,
          {{"request", this->runner->direct_request().request_id},
           {"peer", error.peer},
           {"step", error.step},
           {"reason", error.detail},
           {"sent", state == http::SendState::kNotSent ? "no" : "maybe"}});
    }
    this->runner->UpdateFlow([&](DirectFlow& flow) {
      return flow.OnFailed(this->attempt, state, kernel::Clock::now());
    });
  }

 private:
  std::shared_ptr<DirectRunner> runner;
  std::uint64_t attempt;
};

DirectRunner::DirectRunner(Environment environment,
                           std::unique_ptr<DirectFlow> flow,
                           std::shared_ptr<http::INotifier> notifier,
                           std::shared_ptr<http::IResponseMemory> memory)
    : environment(std::move(environment)),
      flow(std::move(flow)),
      notifier(std::move(notifier)),
      memory(std::move(memory)) {}

void DirectRunner::HoldResponse() {
  if (this->memory->Resize(this->flow->ResponseBytes())) return;
  this->QueueActions(this->flow->OnNoMemory(kernel::Clock::now()));
}

void DirectRunner::QueueActions(DirectActions new_actions) {
  bool must_notify = false;
  for (DirectAction& action : new_actions) {
    if (const auto* log_event = std::get_if<WriteLogEvent>(&action)) {
      kernel::LogEvent(log_event->event, log_event->fields);
      this->Count(*log_event);
      continue;
    }
    if (const auto* report = std::get_if<ReportPause>(&action)) {
      this->environment.metrics->ObserveMillis(
          "banyanlane_event_pause_millis",
          static_cast<double>(report->pause.count()));
      continue;
    }
    const bool is_for_endpoint =
        std::holds_alternative<CallEndpoint>(action) ||
        std::holds_alternative<CancelCall>(action) ||
        std::holds_alternative<PauseCall>(action) ||
        std::holds_alternative<ResumeCall>(action) ||
        std::holds_alternative<ReleaseEndpoint>(action) ||
        std::holds_alternative<ReportLostConnection>(action) ||
        std::holds_alternative<ReportBegun>(action) ||
        std::holds_alternative<ReportSurvival>(action) ||
        std::holds_alternative<ReportRateLimit>(action);
    if (is_for_endpoint) {
      this->endpoint_actions.push_back(std::move(action));
      continue;
    }
    this->caller_actions.push_back(std::move(action));
    must_notify = true;
  }
  if (must_notify) this->notifier->Notify();
}

void DirectRunner::Count(const WriteLogEvent& log_event) {
  const std::string& service = this->flow->direct_request().service;
  if (log_event.event == kernel::EventId::kRequestRetried) {
    this->environment.metrics->Count("banyanlane_retries_total{service=\"" +
                                     service + "\"}");
  }
  if (log_event.event != kernel::EventId::kRequestEnded) return;
  this->environment.metrics->Count(
      "banyanlane_requests_total{service=\"" + service + "\",outcome=\"" +
      kernel::FieldOf(log_event.fields, "outcome") + "\"}");
  const std::string late = kernel::FieldOf(log_event.fields, "late");
  if (late.empty()) return;
  this->environment.metrics->Count("banyanlane_streams_total{service=\"" +
                                   service + "\",late=\"" + late + "\"}");
}

void DirectRunner::RunActions() {
  while (true) {
    DirectActions batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->endpoint_actions);
      this->is_running = !batch.empty();
    }
    if (batch.empty()) return;
    for (const DirectAction& action : batch) {
      std::visit(
          [this](const auto& endpoint_action) {
            this->RunAction(endpoint_action);
          },
          action);
    }
  }
}

void DirectRunner::RunAction(const CallEndpoint& action) {
  const DirectRequest& direct_request = this->direct_request();
  http::HttpRequest message = direct_request.message;
  message.headers = this->environment.protocol->WriteAttemptHeaders(
      direct_request.message, action.parameters);
  const kernel::Millis call_timeout =
      kernel::Millis(
          action.parameters.deadline_ms.value_or(kMaxTimeLimit.count())) +
      kCallTimeoutMargin;
  http::CallLimits limits;
  limits.connect_timeout = action.connect_timeout;
  limits.head_timeout = call_timeout;
  limits.body_idle_timeout = call_timeout;
  limits.close_ends_response = true;
  // The flow bounds what it keeps of a response.
  limits.max_body_bytes = http::kUnlimitedBody;
  this->call_attempt = action.attempt;
  this->call = this->environment.runtime->Call(
      action.endpoint.address, std::move(message), limits,
      std::make_shared<Observer>(this->shared_from_this(), action.attempt));
}

void DirectRunner::RunAction(const CancelCall& action) {
  if (this->call && this->call_attempt == action.attempt) this->call->Abort();
}

void DirectRunner::RunAction(const PauseCall& action) {
  if (this->call && this->call_attempt == action.attempt) this->call->Pause();
}

void DirectRunner::RunAction(const ResumeCall& action) {
  if (this->call && this->call_attempt == action.attempt) this->call->Resume();
}

void DirectRunner::RunAction(const ReleaseEndpoint& action) {
  this->environment.pool->Release(action.endpoint, action.result,
                                  kernel::Clock::now());
  this->environment.on_capacity(action.endpoint.service);
}

void DirectRunner::RunAction(const ReportLostConnection& action) {
  this->environment.crashes->OnConnectionLost(
      action.endpoint, this->direct_request().work_keys, action.attempt);
}

void DirectRunner::RunAction(const ReportBegun& action) {
  this->environment.crashes->OnBegun(this->direct_request().work_keys,
                                     action.sent_at, kernel::Clock::now());
}

void DirectRunner::RunAction(const ReportSurvival& action) {
  this->environment.crashes->OnSurvived(this->direct_request().work_keys,
                                        action.sent_at, kernel::Clock::now());
}

void DirectRunner::RunAction(const ReportRateLimit& action) {
  this->environment.rate_limits->OnResponse(
      action.endpoint, action.per_second, action.sent_at, kernel::Clock::now());
}

DirectActions DirectRunner::TakeCallerActions() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  DirectActions taken;
  taken.swap(this->caller_actions);
  return taken;
}

kernel::TimePoint DirectRunner::NextTimer() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->flow->NextTimer();
}

}  // namespace banyanlane::direct
