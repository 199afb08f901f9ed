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
  kernel::Millis reattach_timeout{3'000};
  /// Time before the deadline at which an attempt that has not started is
  /// revoked, so that the agent's response arrives before the deadline.
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

/// Makes all decisions about one caller's request, from its arrival to its one
/// final response. Performs no I/O: each event method returns the actions to
/// perform, in order. Not thread-safe.
class RequestFlow {
 public:
  /// @param id Identifies the flow in frames; must be unguessable and contain
  /// no dots.
  /// @param seed Seed of the retry delays' jitter and of the frame labels of a
  /// resumed response.
  RequestFlow(FlowContext context, std::string id, CallerRequest request,
              std::uint64_t seed);

  /// Sends the first attempt.
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
  /// Processes that the caller has received all response bytes before `offset`.
  FlowActions OnCallerConsumed(std::uint64_t offset, kernel::TimePoint now);
  FlowActions OnCallerDisconnected(kernel::TimePoint now);

  /// Returns the time at which OnTimer must be called.
  kernel::TimePoint NextTimer() const;
  bool IsDone() const { return this->state == State::kDone; }
  const CallerRequest& request() const { return this->caller_request; }

  /// Returns the id of the flow that a frame belongs to.
  /// @param wire_request Request id in the frame: flow id, dot, attempt number.
  static std::string FlowIdOf(std::string_view wire_request);

 private:
  enum class State {
    kIdle,
    kSubmitted,
    kStarted,
    kResponding,
    kReattaching,
    kDone
  };

  void StartAttempt(kernel::TimePoint now);
  void Submit(const EndpointView& endpoint, kernel::TimePoint now);
  void SubmitKeyed(kernel::TimePoint now);
  /// Requests the rest of the response, from the first byte not yet received.
  void Reattach(const EndpointView& endpoint);

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

  bool CanRetry(bool used_capacity, kernel::TimePoint now);
  void Retry(link::Reason reason, kernel::TimePoint now);
  void Fail(link::Reason reason, std::string_view step,
            std::uint64_t retry_after_ms);
  void StreamBufferedData();
  void AcknowledgeUpTo(std::uint64_t offset);
  void ReleaseEndpoint();
  void Finish();
  bool IsCurrent(const std::string& request, std::uint64_t attempt) const;
  std::uint64_t AddJitter(std::uint64_t millis);
  std::uint64_t AgentTimeAt(const EndpointView& endpoint,
                            kernel::TimePoint when,
                            kernel::TimePoint now) const;
  void SendToEndpoint(link::Message message);
  FlowActions TakeActions();

  FlowContext context;
  std::string id;
  CallerRequest caller_request;
  std::minstd_rand random;
  std::uint64_t first_resume_label;
  State state = State::kIdle;
  kernel::TimePoint deadline;
  kernel::TimePoint reattach_deadline;

  std::optional<EndpointView> endpoint;  ///< Endpoint of the current attempt.
  /// Request id in the frames of the current attempt.
  std::string wire_request;
  /// Value of the `attempt` field in the frames of the current attempt or
  /// continuation.
  std::uint64_t frame_label = 0;
  std::uint64_t attempt_count = 0;
  std::uint64_t start_by_ms = 0;
  std::set<std::string> tried_nodes;
  std::set<std::string> refusing_nodes;
  link::Reason last_failure_reason = link::Reason::kNone;
  std::uint64_t last_retry_after_ms = 0;
  bool revoke_sent = false;
  bool may_have_run = false;  ///< An earlier attempt may have run the work.
  bool resumed = false;       ///< Continues a response of another flow.
  bool streaming = false;     ///< The response head has been delivered.

  /// Response of the current attempt.
  std::unique_ptr<ResponseAssembly> assembly;
  /// Offset last reported to the agent as consumed.
  std::uint64_t acknowledged_offset = 0;
  FlowActions actions;
};

}  // namespace banyanlane::entry
