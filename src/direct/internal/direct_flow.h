#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "direct/internal/direct_actions.h"
#include "direct/internal/direct_request.h"
#include "direct/internal/event_splitter.h"
#include "direct/internal/request_queue.h"
#include "direct/internal/retry_allowance.h"
#include "http/i_http_runtime.h"
#include "kernel/time.h"

namespace banyanlane::direct {

/// Bounds of a flow that no profile sets.
struct DirectLimits {
  /// An endpoint that does not accept within this is tried no longer: many
  /// times the delay between failure domains.
  kernel::Millis connect_timeout{250};
  /// A stream without events for this long goes on elsewhere. Work that depends
  /// on a lost endpoint is answered after the platform's own bound, which is
  /// waited for first.
  kernel::Millis stream_stall_timeout{1'600};
  /// A silent stream is looked at again after this.
  kernel::Millis stall_check_interval{300};
  /// Endpoints count as answering when an event came from them within this.
  kernel::Millis progress_window{500};
  /// Longest wait for room, as a part of the time that the caller gives.
  double max_wait_fraction = 0.25;
  /// Longest wait for room of a stream, whose callers leave when it is silent.
  kernel::Millis max_stream_wait{1'500};
  /// A request that waits for less than this part of its goal can still be
  /// answered in time.
  double on_time_wait_fraction = 0.5;
  /// Told to callers where nothing better is known.
  kernel::Millis retry_after{300};
  /// Told while a service refuses everything: a group forms anew in about two
  /// seconds, some of which the caller has waited here.
  kernel::Millis retry_after_unavailable{1'500};
  /// Told while all of a service is silent. Callers come back once, and within
  /// a third of the time they have left.
  kernel::Millis retry_after_stalled{2'000};
  /// Sendings of one request that endpoints refused without running it.
  int max_refusals = 3;
  /// Connections of one request that could not be opened.
  int max_connect_failures = 3;
  /// Least time left that a further sending can use.
  kernel::Millis min_time_left{20};
  /// Largest answer that is collected before it is passed on.
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
};

/// What a flow needs of its gateway. All outlive the flow.
struct DirectContext {
  EndpointPool& pool;
  RetryAllowance& retries;
  RequestQueue& queue;
  std::size_t gateway_count = 1;  ///< That share the retries.
  DirectLimits limits;
};

/// All decisions about one caller's request that is sent straight to
/// endpoints. I/O-free; not thread-safe.
class DirectFlow {
 public:
  DirectFlow(DirectContext context, DirectRequest direct_request,
             std::uint64_t seed);

  DirectActions Start(kernel::TimePoint now);

  DirectActions OnHead(std::uint64_t attempt, ResponseHead head,
                       kernel::TimePoint now);
  DirectActions OnData(std::uint64_t attempt, std::string_view data,
                       kernel::TimePoint now);
  DirectActions OnEnd(std::uint64_t attempt, kernel::TimePoint now);
  DirectActions OnFailed(std::uint64_t attempt, http::SendState state,
                         kernel::TimePoint now);
  /// There may be room for a request that waits.
  DirectActions OnCapacity(kernel::TimePoint now);
  DirectActions OnTimer(kernel::TimePoint now);
  DirectActions OnCallerDisconnected(kernel::TimePoint now);

  /// Returns when OnTimer is due.
  kernel::TimePoint NextTimer() const;
  bool IsDone() const { return this->state == State::kDone; }
  /// Returns the ticket in the waiting line, or 0 when it does not wait.
  std::uint64_t QueueTicket() const {
    return this->state == State::kQueued ? this->ticket : 0;
  }
  const DirectRequest& direct_request() const { return this->request; }

 private:
  enum class State { kIdle, kQueued, kSent, kResponding, kDone };

  void SendOrWait(kernel::TimePoint now);
  bool Send(kernel::TimePoint now);
  void WaitForCapacity(kernel::TimePoint now);
  kernel::Millis MaxWait(kernel::TimePoint now) const;
  /// Returns when it must have got room to be answered in time.
  kernel::TimePoint DispatchBy() const;
  void LeaveQueue(kernel::TimePoint now);

  void ProcessEvents(std::string_view data, kernel::TimePoint now);
  /// @return whether the event continues what the caller has.
  bool AppendEvent(const StreamEvent& event, std::string& text);
  void OnCompleteResponse(kernel::TimePoint now);
  void OnStreamEnd(kernel::TimePoint now);
  void OnRefused(kernel::TimePoint now);
  /// The attempt may have run and brings no whole answer.
  void OnResponseLost(AttemptResult result, kernel::TimePoint now);
  /// Returns whether other endpoints answer while this one is silent.
  bool IsOutlier(kernel::TimePoint now) const;
  bool TryAcquireRetry(kernel::TimePoint now);

  void CancelAttempt(AttemptResult result);
  void Release(AttemptResult result);
  /// Returns when a request that has not run may come back.
  kernel::Millis RetryAfter() const;
  /// Answers the caller as what is known of the request allows.
  /// @param retry_after told where the request has not run.
  void FailRequest(std::string_view reason, kernel::Millis retry_after);
  void Finish(std::string_view outcome);
  std::int64_t Jittered(kernel::Millis span);
  std::int64_t MillisLeft(kernel::TimePoint now) const;
  bool IsCurrent(std::uint64_t number) const;
  DirectActions TakeActions();

  DirectContext context;
  DirectRequest request;
  std::minstd_rand random;
  State state = State::kIdle;
  kernel::TimePoint arrived_at;
  kernel::TimePoint deadline;  ///< The caller's or the profile's bound.
  kernel::TimePoint wait_deadline;
  kernel::TimePoint attempt_deadline;
  std::uint64_t ticket = 0;  ///< In the waiting line.

  std::optional<EndpointChoice> endpoint;  ///< Of the current attempt.
  std::string last_endpoint;               ///< Id of the endpoint tried last.
  std::int64_t waited_ms = 0;  ///< For room, before the first sending.
  std::uint64_t attempt = 0;
  std::set<std::string> tried_endpoints;
  std::int64_t sent_attempts =
      0;  ///< Sendings that an endpoint may have received.
  int refusals = 0;
  int connect_failures = 0;
  bool may_have_run = false;

  ResponseHead head;  ///< Of the current attempt.
  std::string body;   ///< Collected of the current attempt.
  EventSplitter splitter;
  std::optional<std::uint64_t> last_delivered_id;  ///< That the caller has.
  bool head_sent = false;  ///< The caller has the head of a stream.
  DirectActions actions;
};

}  // namespace banyanlane::direct
