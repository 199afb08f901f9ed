#include "entry/internal/flow_runner.h"

#include "kernel/event_log.h"

namespace banyanlane::entry {

FlowRunner::FlowRunner(std::unique_ptr<RequestFlow> flow, SendFunction send,
                       std::shared_ptr<http::INotifier> notifier)
    : flow(std::move(flow)),
      send(std::move(send)),
      notifier(std::move(notifier)) {}

void FlowRunner::Sort(FlowActions actions) {
  bool wake = false;
  for (FlowAction& action : actions) {
    if (auto* to_agent = std::get_if<SendToAgent>(&action)) {
      this->unsent.push_back(std::move(*to_agent));
      continue;
    }
    if (const auto* report = std::get_if<FlowReport>(&action)) {
      kernel::LogEvent(report->event, report->fields);
      continue;
    }
    this->for_caller.push_back(std::move(action));
    wake = true;
  }
  if (wake) this->notifier->Notify();
}

void FlowRunner::SendAll() {
  while (true) {
    std::vector<SendToAgent> batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->unsent);
      this->sending = !batch.empty();
    }
    if (batch.empty()) return;
    for (const SendToAgent& action : batch)
      this->send(action.link, action.message);
  }
}

FlowActions FlowRunner::TakeForCaller() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  FlowActions taken;
  taken.swap(this->for_caller);
  return taken;
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
