#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "direct/internal/direct_actions.h"
#include "direct/internal/direct_work.h"
#include "direct/internal/event_splitter.h"
#include "direct/internal/retry_allowance.h"
#include "direct/internal/waiting_line.h"
#include "http/i_http_runtime.h"
#include "kernel/time.h"

namespace banyanlane::direct {

/// Bounds of a flow that no profile sets.
struct DirectLimits {
  /// An endpoint that does not accept within this is tried no longer: many
  /// times the delay between failure domains.
  kernel::Millis connect{250};
  /// A stream without events for this long goes on elsewhere. Work that depends
  /// on a lost endpoint is answered after the platform's own bound, which is
  /// waited for first.
  kernel::Millis silence{1'600};
  /// A silent stream is looked at again after this.
  kernel::Millis silence_check{300};
  /// Endpoints count as answering when an event came from them within this.
  kernel::Millis progress{500};
  /// Longest wait for room, as a part of the time that the caller gives.
  double longest_wait_part = 0.25;
  /// Longest wait for room of a stream, whose callers leave when it is silent.
  kernel::Millis longest_stream_wait{1'500};
  /// A request that waits for less than this part of its goal can still be
  /// answered in time.
  double in_time_part = 0.5;
  /// Told to callers where nothing better is known.
  kernel::Millis retry_after{300};
  /// Told while a service refuses everything: a group forms anew in about two
  /// seconds, some of which the caller has waited here.
  kernel::Millis retry_after_closed{1'500};
  /// Told while all of a service is silent. Callers come back once, and within
  /// a third of the time they have left.
  kernel::Millis retry_after_standing{2'000};
  /// Sendings of one request that endpoints refused without running it.
  int most_refusals = 3;
  /// Connections of one request that could not be opened.
  int most_unreachable = 3;
  /// Least time left that a further sending can use.
  kernel::Millis least_time{20};
  /// Largest answer that is collected before it is passed on.
  std::size_t whole_answer_bytes = std::size_t{4} * 1024 * 1024;
};

/// What a flow needs of its gateway. All outlive the flow.
struct DirectContext {
  EndpointPool& pool;
  RetryAllowance& retries;
  WaitingLine& line;
  std::size_t gateways = 1;  ///< That share the retries.
  DirectLimits limits;
};

/// All decisions about one caller's request that is sent straight to
/// endpoints. I/O-free; not thread-safe.
class DirectFlow {
 public:
  DirectFlow(DirectContext context, DirectWork work, std::uint64_t seed);

  DirectActions Start(kernel::TimePoint now);

  DirectActions OnHead(std::uint64_t attempt, AnswerHead head,
                       kernel::TimePoint now);
  DirectActions OnData(std::uint64_t attempt, std::string_view data,
                       kernel::TimePoint now);
  DirectActions OnEnd(std::uint64_t attempt, kernel::TimePoint now);
  DirectActions OnFailed(std::uint64_t attempt, http::SendState state,
                         kernel::TimePoint now);
  /// There may be room for a request that waits.
  DirectActions OnRoom(kernel::TimePoint now);
  DirectActions OnTimer(kernel::TimePoint now);
  DirectActions OnCallerGone(kernel::TimePoint now);

  /// Returns when OnTimer is due.
  kernel::TimePoint NextTimer() const;
  bool IsDone() const { return this->state == State::kDone; }
  /// Returns the ticket in the waiting line, or 0 when it does not wait.
  std::uint64_t WaitingTicket() const {
    return this->state == State::kWaiting ? this->ticket : 0;
  }
  const DirectWork& work() const { return this->request; }

 private:
  enum class State { kIdle, kWaiting, kSent, kAnswering, kDone };

  void SendOrWait(kernel::TimePoint now);
  bool Send(kernel::TimePoint now);
  void Wait(kernel::TimePoint now);
  kernel::Millis LongestWait(kernel::TimePoint now) const;
  /// Returns when it must have got room to be answered in time.
  kernel::TimePoint InTimeUntil() const;
  void EndWait(kernel::TimePoint now);

  void TakeEvents(std::string_view data, kernel::TimePoint now);
  /// @return whether the event continues what the caller has.
  bool TakeEvent(const StreamEvent& event, std::string& text);
  void OnWholeAnswer(kernel::TimePoint now);
  void OnStreamEnd(kernel::TimePoint now);
  void OnRefused(kernel::TimePoint now);
  /// The attempt may have run and brings no whole answer.
  void OnLost(AttemptResult result, kernel::TimePoint now);
  /// Returns whether other endpoints answer while this one is silent.
  bool IsOutlier(kernel::TimePoint now) const;
  bool TakeRetry(kernel::TimePoint now);

  void Abandon(AttemptResult result);
  void Release(AttemptResult result);
  /// Returns when a request that has not run may come back.
  kernel::Millis RetryAfter() const;
  /// Answers the caller as what is known of the request allows.
  /// @param retry_after told where the request has not run.
  void GiveUp(std::string_view reason, kernel::Millis retry_after);
  void Finish(std::string_view outcome);
  std::int64_t Jittered(kernel::Millis span);
  std::int64_t MillisLeft(kernel::TimePoint now) const;
  bool IsCurrent(std::uint64_t number) const;
  DirectActions Take();

  DirectContext context;
  DirectWork request;
  std::minstd_rand random;
  State state = State::kIdle;
  kernel::TimePoint arrived;
  kernel::TimePoint answer_by;  ///< The caller's or the profile's bound.
  kernel::TimePoint wait_until;
  kernel::TimePoint attempt_until;
  std::uint64_t ticket = 0;  ///< In the waiting line.

  std::optional<EndpointChoice> endpoint;  ///< Of the current attempt.
  std::string last_endpoint;               ///< Id of the endpoint tried last.
  std::int64_t waited_ms = 0;  ///< For room, before the first sending.
  std::uint64_t attempt = 0;
  std::set<std::string> tried;
  std::int64_t sent = 0;  ///< Sendings that an endpoint may have received.
  int refusals = 0;
  int unreachable = 0;
  bool may_have_run = false;

  AnswerHead head;   ///< Of the current attempt.
  std::string body;  ///< Collected of the current attempt.
  EventSplitter splitter;
  std::optional<std::uint64_t> last_event;  ///< That the caller has.
  bool streaming = false;  ///< The caller has the head of a stream.
  DirectActions actions;
};

}  // namespace banyanlane::direct
