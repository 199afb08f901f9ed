#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "entry/internal/request_flow.h"
#include "http/i_http_handler.h"
#include "link/i_link.h"

namespace banyanlane::entry {

/// Runs one flow: takes events from links and from the caller's coroutine,
/// sends to agents in the order decided, and keeps what is for the caller until
/// the coroutine takes it.
class FlowRunner {
 public:
  /// Sends a message on a link by its number.
  using SendFunction = std::function<void(std::uint64_t, const link::Message&)>;

  FlowRunner(std::unique_ptr<RequestFlow> flow, SendFunction send,
             std::shared_ptr<http::INotifier> notifier);

  /// Calls `decide` on the flow under its lock, then carries out its actions
  /// without the lock.
  template <typename Decision>
  void Decide(Decision decide) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->Sort(decide(*this->flow));
      if (this->sending) return;
      this->sending = true;
    }
    this->SendAll();
  }

  /// Returns the actions for the caller since the last call.
  FlowActions TakeForCaller();

  /// Returns when the flow wants to be woken.
  kernel::TimePoint NextTimer();
  bool IsDone();
  /// Returns the request, which does not change.
  const CallerRequest& request() const { return this->flow->request(); }

 private:
  void Sort(FlowActions actions);
  void SendAll();

  std::mutex mutex;
  std::unique_ptr<RequestFlow> flow;
  SendFunction send;
  std::shared_ptr<http::INotifier> notifier;
  std::vector<SendToAgent> unsent;
  bool sending = false;  ///< A thread is sending.
  FlowActions for_caller;
};

}  // namespace banyanlane::entry
