// Methods of AgentCore for calls to the endpoint, probes and timeouts. The
// methods for messages from entries are in agent_core.cc.
#include <fmt/format.h>

#include <algorithm>

#include "agent/internal/agent_core.h"
#include "kernel/hash.h"

namespace banyanlane::agent {
namespace {

using kernel::EventId;
using link::Outcome;
using link::Reason;

/// Estimated size of a token in a response that is not an event stream.
constexpr std::int64_t kBytesPerToken = 4;
/// Content of the last event of a complete event stream.
constexpr std::string_view kStreamEndMarker = "[DONE]";
/// Number of bytes at the end of a response in which the end marker is
/// searched for.
constexpr std::size_t kEndMarkerSearchBytes = 64;

/// Counts the occurrences of "data:", including that of the end marker, as an
/// estimate of the number of tokens.
std::int64_t CountEvents(std::string_view data) {
  std::int64_t count = 0;
  for (std::size_t at = data.find("data:"); at != std::string_view::npos;
       at = data.find("data:", at + 1)) {
    ++count;
  }
  return count;
}

bool IsEventStream(const link::WireHeaders& headers) {
  return http::HeaderOf(headers, "content-type")
             .rfind("text/event-stream", 0) == 0;
}

/// Returns whether the endpoint is working on a non-streaming response. Nothing
/// of it arrives before it is complete.
bool AwaitsCompleteResponse(const Stream& stream) {
  return stream.state == StreamState::kRunning && stream.work.non_streaming &&
         !stream.has_head;
}

}  // namespace

AgentActions AgentCore::OnCallHead(const std::string& stream_id, int status,
                                   const http::Headers& headers,
                                   kernel::TimePoint /*now*/) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->TakeActions();
  stream->has_head = true;
  stream->status = static_cast<std::uint64_t>(status);
  stream->headers = headers;
  this->response_sender.SendAvailable(*stream, this->actions);
  return this->TakeActions();
}

AgentActions AgentCore::OnCallData(const std::string& stream_id,
                                   std::string_view data,
                                   kernel::TimePoint /*now*/) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->TakeActions();
  stream->buffer.Append(data);
  stream->tokens +=
      IsEventStream(stream->headers)
          ? CountEvents(data)
          : static_cast<std::int64_t>(data.size()) / kBytesPerToken;
  this->admission_state.RaiseCharge(stream_id, stream->tokens);
  this->response_sender.SendAvailable(*stream, this->actions);
  return this->TakeActions();
}

AgentActions AgentCore::OnCallEnd(const std::string& stream_id,
                                  kernel::TimePoint now) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->TakeActions();
  const std::string_view retained = stream->buffer.Retained();
  const std::string_view tail = retained.substr(
      retained.size() - std::min(retained.size(), kEndMarkerSearchBytes));
  constexpr std::uint64_t kOk = 200;
  const bool needs_end_marker =
      IsEventStream(stream->headers) && stream->status == kOk;
  if (needs_end_marker &&
      tail.find(kStreamEndMarker) == std::string_view::npos) {
    this->Finish(*stream, Outcome::kUnknown, Reason::kEndpointFailed, now);
  } else {
    this->charge_policy->Observe(stream->profile->name,
                                 stream->work.organisation,
                                 std::max<std::int64_t>(1, stream->tokens));
    if (stream->must_run_alone) {
      if (auto cleared = this->crash_evidence.RecordClearance(
              stream->work.fingerprint, now)) {
        this->AddAction(WriteLogEvent{EventId::kWorkCleared,
                                      {{"fingerprint", cleared->fingerprint}}});
        this->AddAction(Audit{kernel::AuditKind::kClearance,
                              cleared->fingerprint, "ran alone to its end"});
        this->AddAction(Broadcast{std::move(*cleared)});
      }
    }
    this->Finish(*stream, Outcome::kCompleted, Reason::kNone, now);
  }
  this->StartQueued(now);
  return this->TakeActions();
}

AgentActions AgentCore::OnCallFailed(const std::string& stream_id,
                                     const kernel::Error& error,
                                     http::SendState send_state,
                                     kernel::TimePoint now) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->TakeActions();
  if (send_state == http::SendState::kNotSent) {
    const Reason reason =
        stream->cancelled ? Reason::kCancelled : Reason::kEndpointDown;
    this->Finish(*stream, Outcome::kNotRun, reason, now);
    if (reason == Reason::kEndpointDown) this->BeginProbe();
    return this->TakeActions();
  }
  const bool connection_lost =
      error.code == kernel::ErrorCode::kConnectionLost && !stream->cancelled;
  if (!connection_lost) {
    this->Finish(
        *stream, Outcome::kUnknown,
        stream->cancelled ? Reason::kCancelled : Reason::kEndpointFailed, now);
    this->StartQueued(now);
    return this->TakeActions();
  }
  this->endpoint.OnConnectionLost(stream_id, this->RunningWork());
  this->BeginProbe();
  return this->TakeActions();
}

void AgentCore::BeginProbe() {
  if (this->endpoint.BeginProbe()) this->AddAction(ProbeEndpoint{});
}

std::vector<AffectedWork> AgentCore::RunningWork() const {
  std::vector<AffectedWork> running;
  const auto ids = this->streams.Ids([](const Stream& stream) {
    return stream.state == StreamState::kRunning;
  });
  for (const std::string& id : ids) {
    const Stream& stream = *this->streams.Find(id);
    running.push_back({stream.work.fingerprint, stream.profile->crash_limit});
  }
  return running;
}

AgentActions AgentCore::OnProbe(bool up, std::string_view boot_id,
                                kernel::TimePoint now) {
  const EndpointMonitor::ProbeResult result =
      this->endpoint.OnProbe(up, boot_id, now);
  if (result.went_down) {
    this->AddAction(WriteLogEvent{
        EventId::kEndpointLost,
        {{"running", std::to_string(this->RunningWork().size())}}});
  }
  if (result.recovered) {
    this->AddAction(WriteLogEvent{EventId::kEndpointBack,
                                  {{"boot", std::string(boot_id)}}});
  }
  if (result.crashed) this->RecordCrash(result.affected_work, now);
  if (!up) this->AbortAwaitingStreams(now);
  for (const std::string& id : result.failed_streams) {
    if (Stream* stream = this->streams.Find(id)) {
      this->Finish(*stream, Outcome::kUnknown, Reason::kEndpointFailed, now);
    }
  }
  this->StartQueued(now);
  return this->TakeActions();
}

void AgentCore::AbortAwaitingStreams(kernel::TimePoint now) {
  for (const std::string& id : this->streams.Ids(AwaitsCompleteResponse)) {
    this->AbortStream(*this->streams.Find(id), Reason::kEndpointFailed, now);
  }
}

void AgentCore::RecordCrash(const std::vector<AffectedWork>& affected_work,
                            kernel::TimePoint now) {
  const bool alone = affected_work.size() == 1;
  const std::string crash_id =
      fmt::format("{}/{}/{}", this->identity.node, this->identity.incarnation,
                  ++this->crash_count);
  for (const AffectedWork& member : affected_work) {
    link::Evidence evidence = this->crash_evidence.RecordCrash(
        member.fingerprint, crash_id, alone, member.crash_limit, now);
    const bool quarantined =
        evidence.suspicion == link::Suspicion::kQuarantined;
    this->AddAction(WriteLogEvent{
        quarantined ? EventId::kWorkQuarantined : EventId::kWorkSuspected,
        {{"fingerprint", member.fingerprint}, {"crash", crash_id}}});
    if (quarantined) {
      this->AddAction(Audit{kernel::AuditKind::kQuarantine, member.fingerprint,
                            "crash " + crash_id});
    }
    this->AddAction(Broadcast{std::move(evidence)});
    this->ApplyCrashStatusToQueued(member.fingerprint, now);
  }
}

AgentActions AgentCore::OnTick(kernel::TimePoint now) {
  for (const std::string& id :
       this->streams.Ids([](const Stream&) { return true; })) {
    if (Stream* stream = this->streams.Find(id))
      this->ApplyTimeLimits(*stream, now);
  }
  const std::uint64_t clock = this->ClockMillis(now);
  this->settled.Expire(clock);
  this->ledger.Expire(clock);
  this->crash_evidence.Expire(now);
  if (this->endpoint.IsProbeDue(now)) this->BeginProbe();
  this->StartQueued(now);
  return this->TakeActions();
}

void AgentCore::ApplyTimeLimits(Stream& stream, kernel::TimePoint now) {
  const std::uint64_t clock = this->ClockMillis(now);
  const auto grace = kernel::Millis(stream.profile->resume_grace_ms);
  if (stream.state == StreamState::kQueued) {
    const bool late = clock > stream.work.start_by_ms;
    if (late) this->Finish(stream, Outcome::kNotRun, Reason::kExpired, now);
    return;
  }
  if (stream.state == StreamState::kEnded) {
    if (now - stream.ended_at >= grace) this->RemoveStream(stream.work.request);
    return;
  }
  if (clock > stream.work.deadline_ms) {
    this->AbortStream(stream, Reason::kDeadline, now);
    return;
  }
  const auto attempt_timeout =
      kernel::Millis(stream.profile->attempt_timeout_ms);
  if (AwaitsCompleteResponse(stream) &&
      now - stream.last_checked_at >= attempt_timeout) {
    // A non-streaming call can receive nothing for a long time although the
    // endpoint is up. A probe on a new connection shows whether it is.
    stream.last_checked_at = now;
    this->BeginProbe();
  }
  const bool grace_elapsed =
      stream.no_subscriber_since && now - *stream.no_subscriber_since >= grace;
  if (grace_elapsed) this->OnNoSubscribers(stream, true, now);
}

void AgentCore::AbortStream(Stream& stream, Reason reason,
                            kernel::TimePoint now) {
  stream.cancelled = true;
  // The charge policy records only the tokens received so far as used, so that
  // later requests of this profile and organisation are charged less.
  this->charge_policy->Observe(stream.profile->name, stream.work.organisation,
                               std::max<std::int64_t>(1, stream.tokens));
  this->AddAction(AbortCall{stream.work.request});
  this->Finish(stream, Outcome::kUnknown, reason, now);
}

void AgentCore::Finish(Stream& stream, Outcome outcome, Reason reason,
                       kernel::TimePoint now) {
  if (stream.state == StreamState::kEnded) return;
  stream.state = StreamState::kEnded;
  stream.ended_at = now;
  stream.outcome = outcome;
  stream.reason = reason;
  if (outcome == Outcome::kCompleted && stream.buffer.IsComplete()) {
    stream.digest = kernel::Digest(stream.buffer.Retained());
  }
  this->admission_state.Remove(stream.work.request);
  this->RecordKeyOutcome(stream);
  this->response_sender.SendAvailable(stream, this->actions);
  // An attempt that never ran has no response that a caller could resume.
  if (outcome == Outcome::kNotRun) this->RemoveStream(stream.work.request);
}

void AgentCore::RecordKeyOutcome(const Stream& stream) {
  if (!stream.key) return;
  const std::string& nonce = stream.key->nonce;
  if (stream.outcome == Outcome::kNotRun) {
    this->ledger.MarkNotRun(nonce);
    return;
  }
  if (stream.outcome == Outcome::kUnknown) {
    this->ledger.MarkUnknown(nonce);
    return;
  }
  ExecutionLedger::StoredResponse response;
  response.status = stream.status;
  response.headers = stream.headers;
  response.has_body = stream.buffer.IsComplete();
  response.body = std::string(stream.buffer.Retained());
  this->ledger.Complete(nonce, std::move(response));
}

void AgentCore::RemoveStream(const std::string& id) {
  const link::Submit& work = this->streams.Find(id)->work;
  this->settled.Add(work.request, work.attempt, SettledAttempts::Kind::kEnded,
                    work.start_by_ms);
  this->streams.Erase(id);
}

}  // namespace banyanlane::agent
