#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "entry/internal/caller_request.h"
#include "entry/internal/flow_actions.h"
#include "entry/internal/i_endpoint_directory.h"
#include "entry/internal/response_assembly.h"
#include "entry/internal/response_id.h"
#include "entry/internal/retry_budget.h"
#include "evidence/crash_evidence.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Limits of a request flow that are the same for all profiles.
struct FlowLimits {
  /// Maximum time that a flow waits for a lost link to be restored.
  kernel::Millis link_wait_timeout{3'000};
  /// Time before the deadline at which an attempt that has not started is
  /// revoked, so that the agent's Ended message arrives before the deadline.
  kernel::Millis revoke_margin{150};
  /// Retry delay sent to the caller when the agent has given none.
  kernel::Millis default_retry_after{1'000};
  /// Maximum number of bytes that are buffered to send the response in one
  /// piece; a longer response is streamed.
  std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
};

/// Objects of the entry that a flow uses. All must outlive the flow.
struct FlowContext {
  IEndpointDirectory& directory;
  RetryBudget& retry_budget;
  const evidence::CrashEvidence& evidence;
  FlowLimits limits;
};

/// Makes all decisions about one caller's request, from its arrival until the
/// response is complete, the request has failed, or the caller has
/// disconnected. Performs no I/O: each event method returns the actions to
/// perform, in order. Not thread-safe.
class RequestFlow {
 public:
  /// @param id Identifies the flow in messages; must be unguessable and contain
  /// no dots.
  /// @param seed Seed of the jitter of retry delays; also selects the range of
  /// attempt numbers for a resumed response. Different for each flow.
  RequestFlow(FlowContext context, std::string id, CallerRequest request,
              std::uint64_t seed);

  /// Submits the first attempt, or fails the request.
  FlowActions Start(kernel::TimePoint now);

  /// Resumes a response that an agent holds; called instead of Start.
  /// @param offset Number of response bytes that the caller has already
  /// received.
  FlowActions StartResumed(const ResponseId& response_id, std::uint64_t offset,
                           kernel::TimePoint now);

  FlowActions OnMessage(std::uint64_t link, link::Message message,
                        kernel::TimePoint now);
  FlowActions OnLinkUp(const std::string& node, kernel::TimePoint now);
  FlowActions OnLinkDown(std::uint64_t link, kernel::TimePoint now);
  FlowActions OnTimer(kernel::TimePoint now);
  /// Reports to the agent, when due, that the caller has received all response
  /// bytes before `offset`.
  FlowActions OnCallerConsumed(std::uint64_t offset, kernel::TimePoint now);
  FlowActions OnCallerDisconnected(kernel::TimePoint now);

  /// Returns the time at which OnTimer must be called.
  kernel::TimePoint NextTimer() const;
  bool IsDone() const { return this->state == State::kDone; }
  const CallerRequest& request() const { return this->caller_request; }

  /// Returns the id of the flow that a message belongs to.
  /// @param wire_request Request id in the message: flow id, dot, and the
  /// number of attempts that the flow had submitted.
  static std::string FlowIdOf(std::string_view wire_request);

 private:
  enum class State {
    kIdle,       ///< No attempt has been submitted.
    kSubmitted,  ///< The agent has not reported the start of the attempt.
    /// The work has started or the response was resumed; no response head yet.
    kStarted,
    kResponding,    ///< The response head has been received.
    kAwaitingLink,  ///< The link to the agent is lost and may be restored.
    kDone           ///< The flow has ended.
  };

  void StartAttempt(kernel::TimePoint now);
  void Submit(const EndpointView& endpoint, kernel::TimePoint now);
  void SubmitKeyed(kernel::TimePoint now);
  /// Requests the rest of the response, from the first byte not yet received.
  void SendResume(const EndpointView& endpoint);

  void On(const link::Started& started, kernel::TimePoint now);
  void On(link::Head& head, kernel::TimePoint now);
  void On(const link::Chunk& chunk, kernel::TimePoint now);
  void On(const link::Ended& ended, kernel::TimePoint now);
  template <typename Other>
  void On(const Other& /*message*/, kernel::TimePoint /*now*/) {}

  void OnCompleted(const link::Ended& ended, kernel::TimePoint now);
  void OnNotRun(const link::Ended& ended, kernel::TimePoint now);
  void OnUnknown(link::Reason reason, std::uint64_t retry_after_ms,
                 kernel::TimePoint now);

  /// Returns whether the request may be retried now. Takes the retry from the
  /// budget if the last attempt used endpoint capacity.
  bool TryTakeRetry(bool used_capacity, kernel::TimePoint now);
  void Retry(link::Reason reason, kernel::TimePoint now);
  void Fail(link::Reason reason, std::string_view step,
            std::uint64_t retry_after_ms);
  void StreamBufferedData();
  /// Reports the response as consumed up to `offset` if enough bytes were
  /// received since the last report.
  void AcknowledgeIfDue(std::uint64_t offset);
  void ReleaseEndpoint();
  void Finish();
  bool IsCurrent(const std::string& request, std::uint64_t attempt) const;
  /// Returns 50 to 150 percent of `millis`, so that callers do not all retry at
  /// the same time.
  std::uint64_t AddJitter(std::uint64_t millis);
  /// Returns the estimated time on the agent's clock at `when`. A time before
  /// `now` counts as `now`.
  std::uint64_t AgentClockMillisAt(const EndpointView& endpoint,
                                   kernel::TimePoint when,
                                   kernel::TimePoint now) const;
  void SendToEndpoint(link::Message message);
  FlowActions TakeActions();

  FlowContext context;
  std::string id;
  CallerRequest caller_request;
  std::minstd_rand random;
  /// Start of the range of attempt numbers for a resumed response.
  std::uint64_t first_resume_attempt_number;
  State state = State::kIdle;
  kernel::TimePoint deadline;
  kernel::TimePoint link_wait_deadline;

  std::optional<EndpointView> endpoint;  ///< Endpoint of the current attempt.
  /// Request id in the messages of the current attempt.
  std::string wire_request;
  /// Value of the `attempt` field in the messages of the current attempt. Each
  /// Resume message sets a new one.
  std::uint64_t attempt_number = 0;
  std::uint64_t attempt_count = 0;
  /// Time on the agent's clock after which the current attempt must not start.
  std::uint64_t start_by_ms = 0;
  std::set<std::string> tried_nodes;
  /// Nodes that have ended an attempt as not run.
  std::set<std::string> refusing_nodes;
  link::Reason last_failure_reason = link::Reason::kNone;
  std::uint64_t last_retry_after_ms = 0;
  bool revoke_sent = false;
  /// Whether any attempt, or an earlier request with the same key, may have run
  /// the work.
  bool may_have_run = false;
  /// Whether the flow resumes a response, of which the caller has received a
  /// part from an earlier flow.
  bool resumed = false;
  /// Whether the response head has been delivered to the caller.
  bool streaming = false;

  /// Response of the current attempt.
  std::unique_ptr<ResponseAssembly> assembly;
  /// Offset last reported to the agent as consumed.
  std::uint64_t acknowledged_offset = 0;
  FlowActions actions;
};

}  // namespace banyanlane::entry
