// The part of AgentCore that deals with the endpoint and with time; what comes
// from entries is in agent_core.cc.
#include <fmt/format.h>

#include <algorithm>

#include "agent/internal/agent_core.h"
#include "kernel/hash.h"

namespace banyanlane::agent {
namespace {

using kernel::EventId;
using link::Outcome;
using link::Reason;

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::string_view kStreamEndMark = "[DONE]";
constexpr std::size_t kStreamEndWindow = 64;

std::int64_t CountTokens(std::string_view data) {
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

/// Whether the endpoint is at work on an answer that it will send whole.
bool IsUnanswered(const Stream& stream) {
  return stream.state == StreamState::kRunning && stream.work.comes_whole &&
         !stream.head_known;
}

}  // namespace

AgentActions AgentCore::OnCallHead(const std::string& stream_id, int status,
                                   const http::Headers& headers,
                                   kernel::TimePoint /*now*/) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->Take();
  stream->head_known = true;
  stream->status = static_cast<std::uint64_t>(status);
  stream->headers = headers;
  this->pump.Pump(*stream, this->actions);
  return this->Take();
}

AgentActions AgentCore::OnCallData(const std::string& stream_id,
                                   std::string_view data,
                                   kernel::TimePoint /*now*/) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->Take();
  stream->buffer.Append(data);
  stream->tokens +=
      IsEventStream(stream->headers)
          ? CountTokens(data)
          : static_cast<std::int64_t>(data.size()) / kBytesPerToken;
  this->admission_state.RaiseCharge(stream_id, stream->tokens);
  this->pump.Pump(*stream, this->actions);
  return this->Take();
}

AgentActions AgentCore::OnCallEnd(const std::string& stream_id,
                                  kernel::TimePoint now) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->Take();
  const std::string_view kept = stream->buffer.Kept();
  const std::string_view tail =
      kept.substr(kept.size() - std::min(kept.size(), kStreamEndWindow));
  constexpr std::uint64_t kOk = 200;
  const bool must_be_marked =
      IsEventStream(stream->headers) && stream->status == kOk;
  if (must_be_marked && tail.find(kStreamEndMark) == std::string_view::npos) {
    this->Finish(*stream, Outcome::kUnknown, Reason::kEndpointFailed, now);
  } else {
    this->charge_policy->Observe(stream->profile->name,
                                 stream->work.organisation,
                                 std::max<std::int64_t>(1, stream->tokens));
    if (stream->alone) {
      if (auto cleared = this->crash_evidence.RecordClearance(
              stream->work.fingerprint, now)) {
        this->Do(Report{EventId::kWorkCleared,
                        {{"fingerprint", cleared->fingerprint}}});
        this->Do(Audit{kernel::AuditKind::kClearance, cleared->fingerprint,
                       "ran alone to its end"});
        this->Do(Broadcast{std::move(*cleared)});
      }
    }
    this->Finish(*stream, Outcome::kCompleted, Reason::kNone, now);
  }
  this->RunWaiting(now);
  return this->Take();
}

AgentActions AgentCore::OnCallFailed(const std::string& stream_id,
                                     const kernel::Error& error,
                                     http::SendState state,
                                     kernel::TimePoint now) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr || stream->state != StreamState::kRunning)
    return this->Take();
  if (state == http::SendState::kNotSent) {
    const Reason reason =
        stream->cancelled ? Reason::kCancelled : Reason::kEndpointDown;
    this->Finish(*stream, Outcome::kNotRun, reason, now);
    if (reason == Reason::kEndpointDown) this->BeginProbe();
    return this->Take();
  }
  const bool cut =
      error.code == kernel::ErrorCode::kConnectionLost && !stream->cancelled;
  if (!cut) {
    this->Finish(
        *stream, Outcome::kUnknown,
        stream->cancelled ? Reason::kCancelled : Reason::kEndpointFailed, now);
    this->RunWaiting(now);
    return this->Take();
  }
  this->endpoint.OnCut(stream_id, this->RunningWork());
  this->BeginProbe();
  return this->Take();
}

void AgentCore::BeginProbe() {
  if (this->endpoint.BeginProbe()) this->Do(ProbeEndpoint{});
}

std::vector<CohortMember> AgentCore::RunningWork() const {
  std::vector<CohortMember> running;
  const auto names = this->streams.Names([](const Stream& stream) {
    return stream.state == StreamState::kRunning;
  });
  for (const std::string& id : names) {
    const Stream& stream = *this->streams.Find(id);
    running.push_back({stream.work.fingerprint, stream.profile->crash_limit});
  }
  return running;
}

AgentActions AgentCore::OnProbe(bool up, std::string_view boot,
                                kernel::TimePoint now) {
  const EndpointWatch::Finding finding = this->endpoint.OnProbe(up, boot, now);
  if (finding.went_down) {
    this->Do(Report{EventId::kEndpointLost,
                    {{"running", std::to_string(this->RunningWork().size())}}});
  }
  if (finding.came_back) {
    this->Do(Report{EventId::kEndpointBack, {{"boot", std::string(boot)}}});
  }
  if (finding.crashed) this->RecordCrash(finding.cohort, now);
  if (!up) this->AbandonUnanswered(now);
  for (const std::string& id : finding.failed) {
    if (Stream* stream = this->streams.Find(id)) {
      this->Finish(*stream, Outcome::kUnknown, Reason::kEndpointFailed, now);
    }
  }
  this->RunWaiting(now);
  return this->Take();
}

void AgentCore::AbandonUnanswered(kernel::TimePoint now) {
  for (const std::string& id : this->streams.Names(IsUnanswered)) {
    this->Abandon(*this->streams.Find(id), Reason::kEndpointFailed, now);
  }
}

void AgentCore::RecordCrash(const std::vector<CohortMember>& cohort,
                            kernel::TimePoint now) {
  const bool alone = cohort.size() == 1;
  const std::string crash =
      fmt::format("{}/{}/{}", this->identity.node, this->identity.incarnation,
                  ++this->crash_count);
  for (const CohortMember& member : cohort) {
    link::Evidence evidence = this->crash_evidence.RecordCrash(
        member.fingerprint, crash, alone, member.crash_limit, now);
    const bool quarantined =
        evidence.suspicion == link::Suspicion::kQuarantined;
    this->Do(Report{
        quarantined ? EventId::kWorkQuarantined : EventId::kWorkSuspected,
        {{"fingerprint", member.fingerprint}, {"crash", crash}}});
    if (quarantined) {
      this->Do(Audit{kernel::AuditKind::kQuarantine, member.fingerprint,
                     "crash " + crash});
    }
    this->Do(Broadcast{std::move(evidence)});
    this->ApplyStandingToWaiting(member.fingerprint, now);
  }
}

AgentActions AgentCore::OnTick(kernel::TimePoint now) {
  for (const std::string& id :
       this->streams.Names([](const Stream&) { return true; })) {
    if (Stream* stream = this->streams.Find(id))
      this->ExpireStream(*stream, now);
  }
  const std::uint64_t clock = this->ClockMillis(now);
  this->settled.Expire(clock);
  this->ledger.Expire(clock);
  this->crash_evidence.Expire(now);
  if (this->endpoint.IsProbeDue(now)) this->BeginProbe();
  this->RunWaiting(now);
  return this->Take();
}

void AgentCore::ExpireStream(Stream& stream, kernel::TimePoint now) {
  const std::uint64_t clock = this->ClockMillis(now);
  const auto grace = kernel::Millis(stream.profile->resume_grace_ms);
  if (stream.state == StreamState::kQueued) {
    const bool late = clock > stream.work.start_by_ms;
    if (late) this->Finish(stream, Outcome::kNotRun, Reason::kExpired, now);
    return;
  }
  if (stream.state == StreamState::kEnded) {
    if (now - stream.ended_at >= grace) this->ForgetStream(stream.work.request);
    return;
  }
  if (clock > stream.work.deadline_ms) {
    this->Abandon(stream, Reason::kDeadline, now);
    return;
  }
  const auto patience = kernel::Millis(stream.profile->attempt_timeout_ms);
  if (IsUnanswered(stream) && now - stream.checked_at >= patience) {
    // An answer that comes whole is silent for long: a new connection tells if
    // the endpoint is up.
    stream.checked_at = now;
    this->BeginProbe();
  }
  const bool unread = stream.detached_at && now - *stream.detached_at >= grace;
  if (unread) this->OnNobodyReads(stream, true, now);
}

void AgentCore::Abandon(Stream& stream, Reason reason, kernel::TimePoint now) {
  stream.cancelled = true;
  // What the caller left unread counts as not used, so that later reservations
  // cost less.
  this->charge_policy->Observe(stream.profile->name, stream.work.organisation,
                               std::max<std::int64_t>(1, stream.tokens));
  this->Do(AbortCall{stream.work.request});
  this->Finish(stream, Outcome::kUnknown, reason, now);
}

void AgentCore::Finish(Stream& stream, Outcome outcome, Reason reason,
                       kernel::TimePoint now) {
  if (stream.state == StreamState::kEnded) return;
  stream.state = StreamState::kEnded;
  stream.ended_at = now;
  stream.outcome = outcome;
  stream.reason = reason;
  if (outcome == Outcome::kCompleted && stream.buffer.IsWhole()) {
    stream.digest = kernel::Digest(stream.buffer.Kept());
  }
  this->admission_state.Remove(stream.work.request);
  this->SettleKey(stream);
  this->pump.Pump(stream, this->actions);
  // An attempt that never ran leaves nothing to come back for.
  if (outcome == Outcome::kNotRun) this->ForgetStream(stream.work.request);
}

void AgentCore::SettleKey(const Stream& stream) {
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
  ExecutionLedger::Answer answer;
  answer.status = stream.status;
  answer.headers = stream.headers;
  answer.body_kept = stream.buffer.IsWhole();
  answer.body = std::string(stream.buffer.Kept());
  this->ledger.Complete(nonce, std::move(answer));
}

void AgentCore::ForgetStream(const std::string& id) {
  const link::Submit& work = this->streams.Find(id)->work;
  this->settled.Add(work.request, work.attempt, SettledAttempts::Kind::kEnded,
                    work.start_by_ms);
  this->streams.Erase(id);
}

}  // namespace banyanlane::agent
