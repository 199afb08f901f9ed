#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/internal/admission.h"
#include "agent/internal/agent_actions.h"
#include "agent/internal/charge_policy.h"
#include "agent/internal/endpoint_monitor.h"
#include "agent/internal/execution_ledger.h"
#include "agent/internal/response_sender.h"
#include "agent/internal/settled_attempts.h"
#include "agent/internal/stream.h"
#include "agent/internal/stream_table.h"
#include "config/profile.h"
#include "evidence/crash_evidence.h"
#include "http/i_http_runtime.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Identity of an agent process.
struct AgentIdentity {
  std::string node;
  std::uint64_t incarnation = 0;
  kernel::TimePoint started;
  std::string service;
};

/// Limits on the load and memory of an agent.
struct AgentLimits {
  AdmissionLimits admission;
  /// Maximum number of bytes of one response that are retained.
  std::size_t response_buffer_bytes = std::size_t{1024} * 1024;
  /// Maximum number of idempotency keys in the ledger.
  std::size_t max_ledger_entries = 100'000;
  /// Maximum size in bytes of a response body that the ledger stores.
  std::size_t max_ledger_response_bytes = std::size_t{64} * 1024;
  /// Time after the latest crash of some work at which its evidence expires.
  kernel::Millis evidence_lifetime{600'000};
};

/// Makes all decisions about one endpoint: admits requests, relays responses,
/// records the outcomes of idempotency keys, and tracks crashes. Performs no
/// I/O: its methods return the actions to perform. Not thread-safe.
class AgentCore {
 public:
  AgentCore(AgentIdentity identity, const AgentLimits& limits,
            std::unique_ptr<IChargePolicy> charge_policy);

  void OnConfig(config::ConfigPtr config);
  AgentActions OnLinkUp(std::uint64_t link, kernel::TimePoint now);
  AgentActions OnLinkDown(std::uint64_t link, kernel::TimePoint now);
  /// Processes Submit, Revoke, Cancel, Resume, Consumed and Evidence messages;
  /// ignores others.
  AgentActions OnMessage(std::uint64_t link, link::Message message,
                         kernel::TimePoint now);

  AgentActions OnCallHead(const std::string& stream_id, int status,
                          const http::Headers& headers, kernel::TimePoint now);
  AgentActions OnCallData(const std::string& stream_id, std::string_view data,
                          kernel::TimePoint now);
  AgentActions OnCallEnd(const std::string& stream_id, kernel::TimePoint now);
  AgentActions OnCallFailed(const std::string& stream_id,
                            const kernel::Error& error,
                            http::SendState send_state, kernel::TimePoint now);

  /// Processes the result of a probe.
  /// @param boot_id id that the endpoint gives itself at each start, or ""
  /// when the probe returned none.
  AgentActions OnProbe(bool up, std::string_view boot_id,
                       kernel::TimePoint now);

  /// Refuses all new work from now on.
  /// @param cause reason for the log and the audit trail.
  AgentActions OnLeaving(std::string_view cause, kernel::TimePoint now);
  AgentActions OnTick(kernel::TimePoint now);

  /// Returns the heartbeat that reports the state of this agent. The caller
  /// sets `list_version`.
  link::Heartbeat HeartbeatAt(kernel::TimePoint now) const;
  bool IsLeaving() const { return this->leaving; }

  /// Returns the number of streams that have not ended or still have a
  /// subscriber.
  std::size_t UnfinishedCount() const;

  std::size_t StreamCount() const { return this->streams.Size(); }
  const Admission& admission() const { return this->admission_state; }
  /// Returns the time on this agent's clock: milliseconds since the agent
  /// started.
  std::uint64_t ClockMillis(kernel::TimePoint now) const;

 private:
  void On(std::uint64_t link, link::Submit& submit, kernel::TimePoint now);
  void On(std::uint64_t link, const link::Revoke& revoke,
          kernel::TimePoint now);
  void On(std::uint64_t link, const link::Cancel& cancel,
          kernel::TimePoint now);
  void On(std::uint64_t link, const link::Resume& resume,
          kernel::TimePoint now);
  void On(std::uint64_t link, const link::Consumed& consumed,
          kernel::TimePoint now);
  void On(std::uint64_t link, const link::Evidence& evidence,
          kernel::TimePoint now);

  /// Returns whether `submit` was processed before or names another
  /// incarnation.
  bool ShouldIgnore(const link::Submit& submit) const;

  /// Returns why `submit` must be refused before its key is claimed, or
  /// nothing.
  std::optional<link::Reason> ReasonToRefuse(const link::Submit& submit,
                                             const config::Profile* profile,
                                             kernel::TimePoint now) const;
  /// Claims the key of `submit`; when that fails, sends the stored response,
  /// attaches to the running stream, or refuses the submit.
  /// @param key receives the key.
  /// @return whether the key was claimed, so that the work can be admitted.
  bool ClaimKey(std::uint64_t link, const link::Submit& submit,
                const config::Profile& profile,
                std::optional<IdempotencyKey>& key, kernel::TimePoint now);
  /// Refuses `submit` before its key, if any, is claimed. Tries to record that
  /// the work of the key must not run; when that fails, the reported outcome is
  /// unknown.
  void RefuseUnclaimed(std::uint64_t link, const link::Submit& submit,
                       const config::Profile* profile, link::Reason reason,
                       kernel::TimePoint now);
  void SendStoredResponse(std::uint64_t link, const link::Submit& submit,
                          const ExecutionLedger::Entry& entry);
  /// Adds the sender of `submit` as a subscriber of the stream `stream_id`,
  /// which runs the work of the key in `submit`.
  void AttachToRunning(std::uint64_t link, const link::Submit& submit,
                       const std::string& stream_id, kernel::TimePoint now);
  void Admit(std::unique_ptr<Stream> stream, kernel::TimePoint now);
  /// Returns the timeout for the response head: the attempt timeout of the
  /// profile or, for a non-streaming response, the time until the deadline.
  kernel::Millis HeadTimeout(const Stream& stream, kernel::TimePoint now) const;
  void StartEndpointCall(Stream& stream, kernel::TimePoint now);
  /// Starts the queued streams that fit into the capacity, unless a probe is
  /// under way or the endpoint is down.
  void StartQueued(kernel::TimePoint now);

  /// Ends `stream` if it has not ended: releases its capacity, records the
  /// outcome of its key, and sends the end to its subscribers. Destroys
  /// `stream` when the outcome is kNotRun.
  void Finish(Stream& stream, link::Outcome outcome, link::Reason reason,
              kernel::TimePoint now);
  void RecordKeyOutcome(const Stream& stream);
  void RemoveStream(const std::string& id);
  /// Removes the subscribers on `link`. Calls OnNoSubscribers, which may
  /// destroy `stream`, when none is left.
  /// @param request when not null, removes only the subscriber of this request.
  void RemoveSubscribers(Stream& stream, std::uint64_t link,
                         const std::string* request, kernel::TimePoint now);
  /// Cancels the work of `stream` if it is queued, which destroys `stream`.
  /// Otherwise records the time since which `stream` has had no subscriber.
  /// @param abort_running whether to abort running work that has no key.
  void OnNoSubscribers(Stream& stream, bool abort_running,
                       kernel::TimePoint now);
  /// Aborts the call to the endpoint and ends `stream` with unknown outcome.
  void AbortStream(Stream& stream, link::Reason reason, kernel::TimePoint now);
  void RefuseSubmit(std::uint64_t link, const link::Submit& submit,
                    link::Reason reason,
                    link::Outcome outcome = link::Outcome::kNotRun);
  /// Refuses the queued work with `fingerprint` when it is quarantined. Lets it
  /// run only alone when it is suspect.
  void ApplyCrashStatusToQueued(const std::string& fingerprint,
                                kernel::TimePoint now);
  void BeginProbe();
  std::vector<AffectedWork> RunningWork() const;
  /// Aborts the calls that await a non-streaming response. Called when the
  /// endpoint is down and will not send it.
  void AbortAwaitingStreams(kernel::TimePoint now);
  void RecordCrash(const std::vector<AffectedWork>& affected_work,
                   kernel::TimePoint now);
  /// Ends `stream`, or removes it if it has ended, when a time limit has
  /// passed. Starts a probe when a non-streaming response has been awaited for
  /// the attempt timeout.
  void ApplyTimeLimits(Stream& stream, kernel::TimePoint now);

  template <typename Action>
  void AddAction(Action action) {
    this->actions.push_back(std::move(action));
  }
  /// Returns the actions added since the last call.
  AgentActions TakeActions();

  AgentIdentity identity;
  AgentLimits limits;
  std::unique_ptr<IChargePolicy> charge_policy;
  config::ConfigPtr config;
  Admission admission_state;
  ExecutionLedger ledger;
  evidence::CrashEvidence crash_evidence;
  StreamTable streams;
  SettledAttempts settled;

  bool leaving = false;
  EndpointMonitor endpoint;
  std::uint64_t crash_count = 0;
  ResponseSender response_sender;
  AgentActions actions;
};

}  // namespace banyanlane::agent
