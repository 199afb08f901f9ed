#include "entry/internal/flow_runner.h"

#include "kernel/event_log.h"

namespace banyanlane::entry {

FlowRunner::FlowRunner(std::unique_ptr<RequestFlow> flow, SendFunction send,
                       std::shared_ptr<http::INotifier> notifier)
    : flow(std::move(flow)),
      send(std::move(send)),
      notifier(std::move(notifier)) {}

void FlowRunner::QueueActions(FlowActions actions,
                              kernel::TimePoint timer_before) {
  bool notify_caller = this->flow->NextTimer() < timer_before;
  for (FlowAction& action : actions) {
    if (auto* to_agent = std::get_if<SendToAgent>(&action)) {
      this->send_queue.push_back(std::move(*to_agent));
      continue;
    }
    if (const auto* log_event = std::get_if<WriteLogEvent>(&action)) {
      kernel::LogEvent(log_event->event, log_event->fields);
      continue;
    }
    this->caller_actions.push_back(std::move(action));
    notify_caller = true;
  }
  if (notify_caller) this->notifier->Notify();
}

void FlowRunner::SendQueued() {
  while (true) {
    std::vector<SendToAgent> batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->send_queue);
      this->sending = !batch.empty();
    }
    if (batch.empty()) return;
    for (const SendToAgent& action : batch)
      this->send(action.link, action.message);
  }
}

FlowActions FlowRunner::TakeCallerActions() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  FlowActions result;
  result.swap(this->caller_actions);
  return result;
}

kernel::TimePoint FlowRunner::NextTimer() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->flow->NextTimer();
}

bool FlowRunner::IsDone() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->flow->IsDone();
}

}  // namespace banyanlane::entry
