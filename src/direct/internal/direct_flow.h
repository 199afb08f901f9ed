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
#include "direct/internal/stream_progress.h"
#include "evidence/crash_attribution.h"
#include "http/i_http_runtime.h"
#include "kernel/time.h"

namespace banyanlane::direct {

/// Bounds of a flow that no profile sets.
struct DirectLimits {
  /// Time within which an endpoint must accept the connection. It is many times
  /// the delay between failure domains.
  kernel::Millis connect_timeout{250};
  /// A stream without events for this long is retried at another endpoint if
  /// any other endpoint of the service has recently sent an event.
  /// Endpoints that depend on a lost endpoint respond only after the platform's
  /// own timeout, so this one is longer.
  kernel::Millis stream_stall_timeout{1'600};
  /// A stream that has not begun is retried for its silence only while the
  /// first event takes less than this fraction of stream_stall_timeout on
  /// average. Otherwise endpoints are busy rather than lost, and a retry would
  /// wait as long again.
  double retry_first_event_fraction = 0.25;
  /// Time after which a silent stream is checked again.
  kernel::Millis stall_check_interval{300};
  /// An endpoint counts as responding if it has sent an event within this time.
  kernel::Millis progress_window{500};
  /// Longest wait for capacity, as a fraction of the time left to the deadline.
  double max_wait_fraction = 0.25;
  /// Longest wait for capacity of a stream, whose caller disconnects when
  /// nothing arrives, and of a request without a time limit.
  kernel::Millis max_stream_wait{1'500};
  /// A request that waits for less than this fraction of its profile's latency
  /// goal can still be answered on time.
  double on_time_wait_fraction = 0.5;
  /// Time after which callers may retry, where no better value is known.
  kernel::Millis retry_after{300};
  /// Maximum number of attempts of one request that endpoints refuse without
  /// running it.
  int max_refusals = 3;
  /// Maximum number of failed connections of one request.
  int max_connect_failures = 3;
  /// Work crashes an endpoint when it begins to respond. An endpoint has
  /// survived an attempt when it still sends events this long after the first
  /// one.
  kernel::Millis survival_time{500};
  /// Shortest remaining time in which a retry is useful.
  kernel::Millis min_time_left{20};
  /// Size in bytes of the largest response that is buffered before it is sent
  /// to the caller.
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  /// Size in bytes of the largest event of a stream. An endpoint whose event is
  /// larger sends no valid stream.
  std::size_t max_event_bytes = std::size_t{256} * 1024;
  /// Size in bytes of the events that wait for a slow caller. Beyond it nothing
  /// more is read from the endpoint.
  std::size_t max_undelivered_bytes = std::size_t{256} * 1024;
};

/// Objects of the gateway that a flow uses. All of them outlive the flow.
struct DirectContext {
  EndpointPool& pool;
  RetryAllowance& retries;
  RequestQueue& queue;
  evidence::CrashAttribution& attribution;
  /// Number of gateways that share the retries.
  std::size_t gateway_count = 1;
  DirectLimits limits;
  /// Permits for attempts at doubtful work; null if there are none.
  limits::IRateLimits* rate_limits = nullptr;
};

/// Makes all decisions about one caller's request that the gateway sends
/// directly to endpoints. Does no I/O; not thread-safe.
class DirectFlow {
 public:
  /// @param number number of the request in this process.
  DirectFlow(DirectContext context, DirectRequest direct_request,
             std::uint64_t number);

  DirectActions Start(kernel::TimePoint now);

  DirectActions OnHead(std::uint64_t attempt, ResponseHead head,
                       kernel::TimePoint now);
  DirectActions OnData(std::uint64_t attempt, std::string_view data,
                       kernel::TimePoint now);
  DirectActions OnEnd(std::uint64_t attempt, kernel::TimePoint now);
  DirectActions OnFailed(std::uint64_t attempt, http::SendState state,
                         kernel::TimePoint now);
  /// Sends the request if it is queued and an endpoint has capacity.
  DirectActions OnCapacity(kernel::TimePoint now);
  DirectActions OnTimer(kernel::TimePoint now);
  /// Records that the caller has taken `bytes` of the events.
  DirectActions OnDelivered(std::size_t bytes, kernel::TimePoint now);
  DirectActions OnCallerDisconnected(kernel::TimePoint now);
  /// Gives the response up, since there is no memory for it.
  DirectActions OnNoMemory(kernel::TimePoint now);
  /// Answers the request at once, since the process ends.
  DirectActions OnStopEnd(kernel::TimePoint now);

  /// Returns the memory that is needed for the parts of the response that the
  /// caller has not taken.
  std::size_t ResponseBytes() const;
  /// Returns when OnTimer is due.
  kernel::TimePoint NextTimer() const;
  bool IsDone() const { return this->state == State::kDone; }
  const DirectRequest& direct_request() const { return this->request; }

 private:
  enum class State { kIdle, kQueued, kSent, kResponding, kDone };

  void SendOrWait(kernel::TimePoint now);
  /// Returns the name under which this request's work is limited, or nothing.
  std::optional<std::string> LimitedWork(kernel::TimePoint now) const;
  /// Fails the request if its work is quarantined.
  /// @return whether it failed.
  bool FailIfQuarantined(kernel::TimePoint now);
  /// Reports that the endpoint of the current attempt has survived it.
  void ReportEndpointSurvived();
  /// Reports the end of the current attempt's connection.
  void ReportConnectionLost(kernel::TimePoint now);
  /// Begins an attempt at an endpoint that has capacity.
  /// @return false if there is none, or no permit for doubtful work.
  bool Send(kernel::TimePoint now);
  /// Chooses an endpoint that has capacity for an attempt, and counts the
  /// attempt there.
  std::optional<EndpointChoice> Reserve(kernel::TimePoint now);
  /// Begins an attempt at an endpoint that Reserve has chosen.
  void Dispatch(const EndpointChoice& choice, kernel::TimePoint now);
  /// Enqueues the request, or fails it if a wait would be too long or futile.
  void WaitForCapacity(kernel::TimePoint now);
  /// Returns the expected wait in the queue, or nothing if it is not known.
  std::optional<kernel::Millis> ExpectedWait(kernel::TimePoint now) const;
  /// Returns the time in which this gateway's part of the rate limits permits a
  /// number of requests, or nothing if an endpoint has no limit.
  std::optional<kernel::Millis> PermitWait(std::size_t requests,
                                           kernel::TimePoint now) const;
  kernel::Millis MaxWait(kernel::TimePoint now) const;
  /// Returns the latest time at which the request must be sent to be answered
  /// on time.
  kernel::TimePoint DispatchBy() const;
  void LeaveQueue(kernel::TimePoint now);

  /// Reports the rate limit that the response head names.
  void ReportLimit();
  /// Records that the response head says that the endpoint leaves.
  void RecordLeaving(kernel::TimePoint now);
  /// Records the rest that the response head asks for.
  void RecordRest(kernel::TimePoint now);
  void ProcessEvents(std::string_view data, kernel::TimePoint now);
  /// Records that complete events have arrived. Parts of events do not count,
  /// since an endpoint in trouble may send bytes that never complete one.
  void OnProgress(kernel::TimePoint now);
  /// Records the size of the body that is buffered, if the head states it.
  void ExpectBody();
  /// Returns whether the response head is one that can go on with the stream of
  /// which the caller has received a part.
  bool CanContinueStream() const;
  /// Appends `event` to `text` unless the caller has received it already.
  /// @return false when events are missing between the caller's last event and
  /// this one, or when it can't be told where in a resumed stream it belongs.
  bool AppendEvent(const StreamEvent& event, std::string& text);
  void OnCompleteResponse(kernel::TimePoint now);
  void OnStreamEnd(kernel::TimePoint now);
  void OnRefused(kernel::TimePoint now);
  /// Retries or fails the request after an attempt that may have run but gave
  /// no usable, complete response.
  void OnResponseLost(AttemptResult result, kernel::TimePoint now);
  /// Stops reading from the endpoint if the caller takes events too slowly.
  void HoldBackEndpoint();
  /// Returns whether other endpoints respond while this one is silent. For a
  /// request that is not a stream it returns true.
  bool IsOutlier(kernel::TimePoint now) const;
  /// Returns whether endpoints respond quickly enough for a retry of a silent
  /// stream to be useful.
  bool IsRetryUseful() const;
  /// Sends the request to another endpoint that has capacity. If there is none,
  /// it goes on waiting for the current one.
  void LeaveSilentEndpoint(kernel::TimePoint now);
  /// Allows the endpoint that was left for its silence to be chosen again.
  /// @return whether there is one.
  bool ReturnToSilentEndpoint();
  /// Returns whether another attempt is possible, whatever the retry allowance.
  bool CanRetry(kernel::TimePoint now) const;
  bool TryAcquireRetry(kernel::TimePoint now);

  void CancelAttempt(AttemptResult result);
  void Release(AttemptResult result);
  /// Returns the time after which the caller may retry a request that has not
  /// run.
  kernel::Millis RetryAfter(kernel::TimePoint now) const;
  /// Returns the time for which all endpoints of the service rest, or 0.
  kernel::Millis RestLeft(kernel::TimePoint now) const;
  /// Ends the request without a complete response. Aborts the response if the
  /// caller has received a part of it; otherwise sends a refusal that says
  /// whether the request may have run.
  /// @param retry_after time after which the caller may retry if the request
  /// has not run. It is shortened by chance, so that callers spread.
  /// @param not_before time that is added to it and not shortened.
  void FailRequest(std::string_view reason, kernel::Millis retry_after,
                   kernel::Millis not_before = kernel::Millis{0});
  void Finish(std::string_view outcome);
  /// Adds to the fields of request_ended how the stream met its goals.
  void AddProgress(kernel::EventFields& fields) const;
  std::int64_t Jittered(kernel::Millis span);
  /// Returns the time left to the deadline, or nothing without a deadline.
  std::optional<kernel::Millis> TimeLeft(kernel::TimePoint now) const;
  /// Returns whether enough time is left for a retry.
  bool HasTimeForRetry(kernel::TimePoint now) const;
  bool IsCurrent(std::uint64_t number) const;
  DirectActions TakeActions();

  DirectContext context;
  DirectRequest request;
  std::uint64_t number;
  std::minstd_rand random;
  State state = State::kIdle;
  kernel::TimePoint arrived_at;
  /// Deadline of the caller or the profile; the end of all time without one.
  kernel::TimePoint deadline = kernel::TimePoint::max();
  kernel::TimePoint wait_deadline;
  kernel::TimePoint attempt_deadline;
  std::uint64_t ticket = 0;  ///< Ticket in the request queue.

  std::optional<EndpointChoice> endpoint;  ///< Endpoint of the current attempt.
  std::string last_endpoint;               ///< Id of the last endpoint tried.
  /// Milliseconds from the arrival to the first attempt.
  std::int64_t waited_ms = 0;
  std::uint64_t attempt = 0;  ///< Number of the last attempt, or 0.
  kernel::TimePoint attempt_began_at;
  bool attempt_has_events = false;
  kernel::TimePoint first_event_at;  ///< First event of the current attempt.
  /// The endpoint has survived the current attempt.
  bool attempt_survived = false;
  /// The request shows whether its work is sound after a quarantine.
  bool is_probe = false;
  std::set<std::string> tried_endpoints;
  /// Id of the endpoint that was left for its silence, until it may be chosen
  /// again.
  std::optional<std::string> silent_endpoint;
  /// Number of attempts that an endpoint may have received.
  std::int64_t sent_attempts = 0;
  int refusals = 0;
  int connect_failures = 0;
  bool may_have_run = false;

  ResponseHead head;  ///< Response head of the current attempt.
  std::string body;   ///< Body received in the current attempt.
  /// Size of the body that is buffered in the current attempt, if it is known.
  std::size_t expected_bytes = 0;
  EventSplitter splitter;
  /// Id of the last event that the caller has received.
  std::optional<std::uint64_t> last_delivered_id;
  bool head_sent = false;  ///< The caller has received the head of a stream.
  /// Status and media type of the head that the caller has received.
  int stream_status = 0;
  std::string stream_media_type;
  /// The current attempt goes on with a stream that another endpoint began.
  bool attempt_resumes = false;
  /// The last event that the caller has received names its place in the stream,
  /// so that another endpoint can go on after it.
  bool last_delivered_has_id = false;
  /// Events, or bytes of a complete response, that the caller has not taken.
  std::size_t undelivered_bytes = 0;
  /// Nothing is read from the endpoint until the caller has taken more.
  bool is_held_back = false;
  StreamProgress progress;
  DirectActions actions;
};

}  // namespace banyanlane::direct
