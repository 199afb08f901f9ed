#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "entry/internal/request_flow.h"
#include "http/i_http_handler.h"
#include "link/i_link.h"

namespace banyanlane::entry {

/// Runs one flow. Links and the caller's coroutine pass events to it from any
/// thread. It sends messages to agents in the order in which the flow returned
/// them, and queues the actions for the caller until the coroutine fetches
/// them.
class FlowRunner {
 public:
  /// Sends a message on the link with the given id.
  using SendFunction = std::function<void(std::uint64_t, const link::Message&)>;

  FlowRunner(std::unique_ptr<RequestFlow> flow, SendFunction send,
             std::shared_ptr<http::INotifier> notifier);

  /// Calls `handler` on the flow under the lock and queues the returned
  /// actions. Then sends the queued messages without the lock, unless another
  /// thread is already sending them.
  template <typename Handler>
  void Dispatch(Handler handler) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      const kernel::TimePoint timer_before = this->flow->NextTimer();
      this->QueueActions(handler(*this->flow), timer_before);
      if (this->sending) return;
      this->sending = true;
    }
    this->SendQueued();
  }

  /// Returns the actions for the caller that were queued since the last call.
  FlowActions TakeCallerActions();

  /// Returns the time at which the flow's timer is due.
  kernel::TimePoint NextTimer();
  bool IsDone();
  /// Returns the request. It is constant, so no lock is needed.
  const CallerRequest& request() const { return this->flow->request(); }

 private:
  /// @param timer_before time at which the flow's timer was due before it
  /// returned `actions`. The caller's coroutine waits until then.
  void QueueActions(FlowActions actions, kernel::TimePoint timer_before);
  void SendQueued();

  std::mutex mutex;
  std::unique_ptr<RequestFlow> flow;
  SendFunction send;
  std::shared_ptr<http::INotifier> notifier;
  std::vector<SendToAgent> send_queue;
  bool sending = false;  ///< A thread is in SendQueued.
  FlowActions caller_actions;
};

}  // namespace banyanlane::entry
