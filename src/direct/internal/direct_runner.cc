#include "direct/internal/direct_runner.h"

#include "kernel/event_log.h"

namespace banyanlane::direct {
namespace {

/// Time that the connection's own bounds leave to the flow's, which come first.
constexpr kernel::Millis kBoundMargin{1'000};

}  // namespace

/// Passes an endpoint's answer to the flow.
class DirectRunner::Observer : public http::IHttpCallObserver {
 public:
  Observer(std::shared_ptr<DirectRunner> runner, std::uint64_t attempt)
      : runner(std::move(runner)), attempt(attempt) {}

  void OnHead(int status, const http::Headers& headers) override {
    AnswerHead head =
        this->runner->environment.protocol->ReadAnswer(status, headers);
    this->runner->Decide([&](DirectFlow& flow) {
      return flow.OnHead(this->attempt, std::move(head), kernel::Clock::now());
    });
  }
  void OnData(std::string_view data) override {
    this->runner->Decide([&](DirectFlow& flow) {
      return flow.OnData(this->attempt, data, kernel::Clock::now());
    });
  }
  void OnEnd() override {
    this->runner->Decide([&](DirectFlow& flow) {
      return flow.OnEnd(this->attempt, kernel::Clock::now());
    });
  }
  void OnFailed(const kernel::Error& error, http::SendState state) override {
    const bool own_end = error.code == kernel::ErrorCode::kCancelled;
    if (!own_end) {
      kernel::LogEvent(
          kernel::EventId::kAttemptFailed,
          {{"request", this->runner->work().request_id},
           {"peer", error.peer},
           {"step", error.step},
           {"reason", error.detail},
           {"sent", state == http::SendState::kNotSent ? "no" : "maybe"}});
    }
    this->runner->Decide([&](DirectFlow& flow) {
      return flow.OnFailed(this->attempt, state, kernel::Clock::now());
    });
  }

 private:
  std::shared_ptr<DirectRunner> runner;
  std::uint64_t attempt;
};

DirectRunner::DirectRunner(Environment environment,
                           std::unique_ptr<DirectFlow> flow,
                           std::shared_ptr<http::INotifier> notifier)
    : environment(std::move(environment)),
      flow(std::move(flow)),
      notifier(std::move(notifier)) {}

void DirectRunner::Sort(DirectActions decided) {
  bool wake = false;
  for (DirectAction& action : decided) {
    if (const auto* report = std::get_if<Report>(&action)) {
      kernel::LogEvent(report->event, report->fields);
      this->Count(*report);
      continue;
    }
    const bool for_endpoint = std::holds_alternative<CallEndpoint>(action) ||
                              std::holds_alternative<AbandonCall>(action) ||
                              std::holds_alternative<ReleaseEndpoint>(action);
    if (for_endpoint) {
      this->undone.push_back(std::move(action));
      continue;
    }
    this->for_caller.push_back(std::move(action));
    wake = true;
  }
  if (wake) this->notifier->Notify();
}

void DirectRunner::Count(const Report& report) {
  const std::string& service = this->flow->work().service;
  if (report.event == kernel::EventId::kRequestRetried) {
    this->environment.metrics->Count("banyanlane_retries_total{service=\"" +
                                     service + "\"}");
  }
  if (report.event != kernel::EventId::kRequestEnded) return;
  this->environment.metrics->Count(
      "banyanlane_requests_total{service=\"" + service + "\",outcome=\"" +
      kernel::FieldOf(report.fields, "outcome") + "\"}");
}

void DirectRunner::ActAll() {
  while (true) {
    DirectActions batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->undone);
      this->acting = !batch.empty();
    }
    if (batch.empty()) return;
    for (const DirectAction& action : batch) {
      std::visit([this](const auto& chosen) { this->Act(chosen); }, action);
    }
  }
}

void DirectRunner::Act(const CallEndpoint& action) {
  const DirectWork& work = this->work();
  http::HttpRequest message = work.message;
  message.headers =
      this->environment.protocol->WriteAttempt(work.message, action.terms);
  const kernel::Millis bound =
      kernel::Millis(action.terms.deadline_ms) + kBoundMargin;
  http::CallLimits limits;
  limits.connect_timeout = action.connect_timeout;
  limits.head_timeout = bound;
  limits.body_idle_timeout = bound;
  limits.close_ends_response = true;
  this->call_attempt = action.attempt;
  this->call = this->environment.runtime->Call(
      action.endpoint.address, std::move(message), limits,
      std::make_shared<Observer>(this->shared_from_this(), action.attempt));
}

void DirectRunner::Act(const AbandonCall& action) {
  if (this->call && this->call_attempt == action.attempt) this->call->Abort();
}

void DirectRunner::Act(const ReleaseEndpoint& action) {
  this->environment.pool->Release(action.endpoint, action.result,
                                  kernel::Clock::now());
  this->environment.on_room(action.endpoint.service);
}

DirectActions DirectRunner::TakeForCaller() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  DirectActions taken;
  taken.swap(this->for_caller);
  return taken;
}

std::uint64_t DirectRunner::WaitingTicket() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->flow->WaitingTicket();
}

kernel::TimePoint DirectRunner::NextTimer() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->flow->NextTimer();
}

}  // namespace banyanlane::direct
