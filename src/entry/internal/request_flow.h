#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "entry/internal/answer_assembly.h"
#include "entry/internal/answer_name.h"
#include "entry/internal/caller_request.h"
#include "entry/internal/flow_actions.h"
#include "entry/internal/i_endpoint_directory.h"
#include "entry/internal/retry_budget.h"
#include "evidence/crash_evidence.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Bounds of a flow that no profile sets.
struct FlowLimits {
  kernel::Millis reattach{
      3'000};  ///< How long a lost link may take to come back.
  kernel::Millis revoke_margin{
      150};  ///< Time before the deadline to learn a revocation's fate.
  kernel::Millis retry_after{
      1'000};  ///< Told to callers where nothing better is known.
  std::size_t whole_answer_bytes =
      std::size_t{1024} * 1024;  ///< Held back to be sent as one response.
};

/// What a flow needs of its entry. All outlive the flow.
struct FlowContext {
  IEndpointDirectory& directory;
  RetryBudget& retry_budget;
  const evidence::CrashEvidence& evidence;
  FlowLimits limits;
};

/// All decisions about one caller's request, from its arrival to its one final
/// answer. I/O-free; not thread-safe.
class RequestFlow {
 public:
  /// @param id unguessable and without dots.
  RequestFlow(FlowContext context, std::string id, CallerRequest request,
              std::uint64_t seed);

  /// Sends the first attempt.
  FlowActions Start(kernel::TimePoint now);

  /// Takes up an answer that an agent holds, instead of Start.
  FlowActions StartFrom(const AnswerName& name, std::uint64_t offset,
                        kernel::TimePoint now);

  FlowActions OnMessage(std::uint64_t link, link::Message message,
                        kernel::TimePoint now);
  FlowActions OnLinkUp(const std::string& node, kernel::TimePoint now);
  FlowActions OnLinkDown(std::uint64_t link, kernel::TimePoint now);
  FlowActions OnTimer(kernel::TimePoint now);
  /// The caller has taken the answer up to `offset`.
  FlowActions OnCallerTook(std::uint64_t offset, kernel::TimePoint now);
  FlowActions OnCallerGone(kernel::TimePoint now);

  /// Returns when OnTimer is due.
  kernel::TimePoint NextTimer() const;
  bool IsDone() const { return this->state == State::kDone; }
  const CallerRequest& request() const { return this->caller; }

  /// Returns the id of the flow that frames labelled `wire_request` belong to.
  static std::string FlowIdOf(std::string_view wire_request);

 private:
  enum class State {
    kIdle,
    kSubmitted,
    kStarted,
    kAnswering,
    kReattaching,
    kDone
  };

  void Attempt(kernel::TimePoint now);
  void Submit(const EndpointView& endpoint, kernel::TimePoint now);
  void SubmitKeyed(kernel::TimePoint now);
  /// Asks for the answer from where it broke off.
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
  void GiveUp(link::Reason reason, std::string_view step,
              std::uint64_t retry_after_ms);
  void BeginStreaming();
  void AcknowledgeUpTo(std::uint64_t offset);
  void ReleaseEndpoint();
  void Finish();
  bool IsCurrent(const std::string& request, std::uint64_t attempt) const;
  std::uint64_t Jittered(std::uint64_t millis);
  std::uint64_t AgentTimeAt(const EndpointView& endpoint,
                            kernel::TimePoint when,
                            kernel::TimePoint now) const;
  void SendToEndpoint(link::Message message);
  FlowActions Take();

  FlowContext context;
  std::string id;
  CallerRequest caller;
  std::minstd_rand random;
  std::uint64_t first_resume_label;
  State state = State::kIdle;
  kernel::TimePoint deadline;
  kernel::TimePoint reattach_until;

  std::optional<EndpointView> endpoint;  ///< Of the current attempt.
  std::string wire_request;              ///< Of the current attempt.
  std::uint64_t label =
      0;  ///< On frames of the current attempt or continuation.
  std::uint64_t attempts = 0;
  std::uint64_t start_by_ms = 0;
  std::set<std::string> tried;
  std::set<std::string> refused_by;
  link::Reason last_refusal = link::Reason::kNone;
  std::uint64_t last_retry_after_ms = 0;
  bool revoked = false;
  bool any_unknown = false;  ///< An earlier attempt may have run.
  bool resumed = false;      ///< Takes up an answer that another flow began.
  bool streaming = false;    ///< Parts have been delivered.

  std::unique_ptr<AnswerAssembly> answer;  ///< Of the current attempt.
  std::uint64_t acknowledged = 0;          ///< Offset last told to the agent.
  FlowActions actions;
};

}  // namespace banyanlane::entry
