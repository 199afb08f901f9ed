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

/// What an agent is told about itself.
struct AgentIdentity {
  std::string node;
  std::uint64_t incarnation = 0;
  kernel::TimePoint started;
  std::string service;
};

/// Bounds on what an agent holds.
struct AgentLimits {
  AdmissionLimits admission;
  std::size_t response_buffer_bytes =
      std::size_t{1024} * 1024;              ///< Retained of one answer.
  std::size_t max_ledger_entries = 100'000;  ///< Idempotency keys remembered.
  std::size_t max_ledger_response_bytes =
      std::size_t{64} * 1024;  ///< Retained of one keyed answer.
  kernel::Millis evidence_lifetime{600'000};
};

/// All decisions about one endpoint: the only path to it. I/O-free; not
/// thread-safe.
class AgentCore {
 public:
  AgentCore(AgentIdentity identity, const AgentLimits& limits,
            std::unique_ptr<IChargePolicy> charge_policy);

  void OnConfig(config::ConfigPtr config);
  AgentActions OnLinkUp(std::uint64_t link, kernel::TimePoint now);
  AgentActions OnLinkDown(std::uint64_t link, kernel::TimePoint now);
  /// Takes a message about a request or evidence; others are ignored.
  AgentActions OnMessage(std::uint64_t link, link::Message message,
                         kernel::TimePoint now);

  AgentActions OnCallHead(const std::string& stream, int status,
                          const http::Headers& headers, kernel::TimePoint now);
  AgentActions OnCallData(const std::string& stream, std::string_view data,
                          kernel::TimePoint now);
  AgentActions OnCallEnd(const std::string& stream, kernel::TimePoint now);
  AgentActions OnCallFailed(const std::string& stream,
                            const kernel::Error& error, http::SendState state,
                            kernel::TimePoint now);

  /// The endpoint was probed. @param boot its own name for this life, or "".
  AgentActions OnProbe(bool up, std::string_view boot_id,
                       kernel::TimePoint now);

  /// The endpoint leaves: no new work from here on.
  AgentActions OnLeaving(std::string_view cause, kernel::TimePoint now);
  AgentActions OnTick(kernel::TimePoint now);

  /// Returns what links say about this agent.
  link::Heartbeat StateAt(kernel::TimePoint now) const;
  bool IsLeaving() const { return this->leaving; }

  /// Returns the number of answers that are not yet whole and read.
  std::size_t UnfinishedCount() const;

  std::size_t StreamCount() const { return this->streams.Size(); }
  const Admission& admission() const { return this->admission_state; }
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

  /// Returns whether `submit` came before, or is not for this agent.
  bool ShouldIgnore(const link::Submit& submit) const;

  /// Returns why `submit` can't run here, if anything speaks against it.
  std::optional<link::Reason> ReasonToRefuse(const link::Submit& submit,
                                             const config::Profile* profile,
                                             kernel::TimePoint now) const;
  /// Deals with a keyed submit. @return whether it may go on to admission.
  bool ClaimKey(std::uint64_t link, const link::Submit& submit,
                const config::Profile& profile,
                std::optional<IdempotencyKey>& key, kernel::TimePoint now);
  /// Refuses a submit whose key, if any, was not claimed.
  void RefuseUnclaimed(std::uint64_t link, const link::Submit& submit,
                       const config::Profile* profile, link::Reason reason,
                       kernel::TimePoint now);
  void SendStoredResponse(std::uint64_t link, const link::Submit& submit,
                          const ExecutionLedger::Entry& entry);
  void AttachToRunning(std::uint64_t link, const link::Submit& submit,
                       const std::string& stream_id, kernel::TimePoint now);
  void Admit(std::unique_ptr<Stream> stream, kernel::TimePoint now);
  /// Returns how long the endpoint may take to the first byte of its answer.
  kernel::Millis HeadTimeout(const Stream& stream, kernel::TimePoint now) const;
  void StartEndpointCall(Stream& stream, kernel::TimePoint now);
  void StartQueued(kernel::TimePoint now);

  void Finish(Stream& stream, link::Outcome outcome, link::Reason reason,
              kernel::TimePoint now);
  void RecordKeyOutcome(const Stream& stream);
  void RemoveStream(const std::string& id);
  void RemoveSubscribers(Stream& stream, std::uint64_t link,
                         const std::string* request, kernel::TimePoint now);
  void OnNoSubscribers(Stream& stream, bool immediate, kernel::TimePoint now);
  void AbortStream(Stream& stream, link::Reason reason, kernel::TimePoint now);
  void RefuseSubmit(std::uint64_t link, const link::Submit& submit,
                    link::Reason reason,
                    link::Outcome outcome = link::Outcome::kNotRun);
  /// Applies what is now known of `fingerprint` to work that still waits.
  void ApplyCrashStatusToQueued(const std::string& fingerprint,
                                kernel::TimePoint now);
  void BeginProbe();
  std::vector<CohortMember> RunningWork() const;
  /// Gives up on whole answers that an endpoint which is down will not send.
  void AbortAwaitingStreams(kernel::TimePoint now);
  void RecordCrash(const std::vector<CohortMember>& cohort,
                   kernel::TimePoint now);
  void ApplyTimeLimits(Stream& stream, kernel::TimePoint now);

  template <typename Action>
  void AddAction(Action action) {
    this->actions.push_back(std::move(action));
  }
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
