#include "agent/internal/agent_core.h"

#include <fmt/format.h>

#include <algorithm>

#include "kernel/hash.h"

namespace banyanlane::agent {
namespace {

using kernel::EventId;
using link::Outcome;
using link::Reason;

std::uint64_t KeyLifetimeMillis(const config::Profile& profile) {
  constexpr std::uint64_t kMillisPerSecond = 1'000;
  return static_cast<std::uint64_t>(profile.key_lifetime_s) * kMillisPerSecond;
}

/// Reason and outcome that are reported for a claim that failed.
struct ClaimRefusal {
  ExecutionLedger::ClaimResult claim;
  Reason reason;
  Outcome outcome;
};

constexpr ClaimRefusal kClaimRefusals[] = {
    {ExecutionLedger::ClaimResult::kUnknown, Reason::kEndpointFailed,
     Outcome::kUnknown},
    {ExecutionLedger::ClaimResult::kNotRun, Reason::kKeySpent,
     Outcome::kNotRun},
    {ExecutionLedger::ClaimResult::kWrongIncarnation, Reason::kWrongIncarnation,
     Outcome::kUnknown},
    {ExecutionLedger::ClaimResult::kExpired, Reason::kKeyExpired,
     Outcome::kUnknown},
    {ExecutionLedger::ClaimResult::kConflict, Reason::kKeyConflict,
     Outcome::kNotRun},
    // A full ledger can't record that the work must not run, and another copy
    // of the request may still arrive and run.
    {ExecutionLedger::ClaimResult::kFull, Reason::kFull, Outcome::kUnknown},
};

/// @param claim one of the results in kClaimRefusals.
const ClaimRefusal& RefusalOf(ExecutionLedger::ClaimResult claim) {
  return *std::find_if(
      std::begin(kClaimRefusals), std::end(kClaimRefusals),
      [claim](const ClaimRefusal& refusal) { return refusal.claim == claim; });
}

ExecutionLedger::Work WorkOf(const link::Submit& submit) {
  return {submit.profile, submit.organisation, submit.fingerprint};
}

}  // namespace

AgentCore::AgentCore(AgentIdentity identity, const AgentLimits& limits,
                     std::unique_ptr<IChargePolicy> charge_policy)
    : identity(std::move(identity)),
      limits(limits),
      charge_policy(std::move(charge_policy)),
      admission_state(limits.admission),
      ledger(this->identity.node, this->identity.incarnation,
             limits.max_ledger_entries, limits.max_ledger_response_bytes),
      crash_evidence(limits.evidence_lifetime),
      response_sender(this->identity.incarnation) {}

void AgentCore::OnConfig(config::ConfigPtr config) {
  this->config = std::move(config);
}

AgentActions AgentCore::OnLinkUp(std::uint64_t link, kernel::TimePoint now) {
  for (link::Evidence& evidence : this->crash_evidence.All(now)) {
    this->AddAction(SendMessage{link, std::move(evidence)});
  }
  return this->TakeActions();
}

AgentActions AgentCore::OnLinkDown(std::uint64_t link, kernel::TimePoint now) {
  for (const std::string& id :
       this->streams.Ids([](const Stream&) { return true; })) {
    if (Stream* stream = this->streams.Find(id))
      this->RemoveSubscribers(*stream, link, nullptr, now);
  }
  this->StartQueued(now);
  return this->TakeActions();
}

AgentActions AgentCore::OnMessage(std::uint64_t link, link::Message message,
                                  kernel::TimePoint now) {
  if (auto* submit = std::get_if<link::Submit>(&message))
    this->On(link, *submit, now);
  if (auto* revoke = std::get_if<link::Revoke>(&message))
    this->On(link, *revoke, now);
  if (auto* cancel = std::get_if<link::Cancel>(&message))
    this->On(link, *cancel, now);
  if (auto* resume = std::get_if<link::Resume>(&message))
    this->On(link, *resume, now);
  if (auto* consumed = std::get_if<link::Consumed>(&message))
    this->On(link, *consumed, now);
  if (auto* evidence = std::get_if<link::Evidence>(&message))
    this->On(link, *evidence, now);
  return this->TakeActions();
}

std::optional<Reason> AgentCore::ReasonToRefuse(const link::Submit& submit,
                                                const config::Profile* profile,
                                                kernel::TimePoint now) const {
  const bool revoked = this->settled.Find(submit.request, submit.attempt) ==
                       SettledAttempts::Kind::kRevoked;
  if (revoked) return Reason::kRevoked;
  if (this->ClockMillis(now) > submit.start_by_ms) return Reason::kExpired;
  if (profile == nullptr || profile->service != this->identity.service) {
    return Reason::kUnknownProfile;
  }
  return std::nullopt;
}

bool AgentCore::ShouldIgnore(const link::Submit& submit) const {
  if (submit.incarnation != this->identity.incarnation) return true;
  if (this->streams.FindByRequest(submit.request) != nullptr) return true;
  return this->settled.Find(submit.request, submit.attempt) ==
         SettledAttempts::Kind::kEnded;
}

void AgentCore::On(std::uint64_t link, link::Submit& submit,
                   kernel::TimePoint now) {
  if (this->ShouldIgnore(submit)) return;
  const config::Profile* profile =
      this->config ? this->config->FindProfile(submit.profile) : nullptr;
  if (const auto reason = this->ReasonToRefuse(submit, profile, now)) {
    this->RefuseUnclaimed(link, submit, profile, *reason, now);
    return;
  }
  std::optional<IdempotencyKey> key;
  // Work that is not repeatable must have a key; ClaimKey refuses it without
  // one.
  if (!submit.key.empty() || !profile->repeatable) {
    if (!this->ClaimKey(link, submit, *profile, key, now)) return;
  }
  // When several reasons apply, the last one is reported.
  std::optional<Reason> refusal;
  const auto crash_status =
      this->crash_evidence.CrashStatusOf(submit.fingerprint, now);
  if (crash_status == evidence::CrashStatus::kQuarantined)
    refusal = Reason::kQuarantined;
  if (!this->endpoint.IsUp()) refusal = Reason::kEndpointDown;
  if (this->leaving) refusal = Reason::kLeaving;
  if (refusal) {
    if (key) this->ledger.MarkNotRun(key->nonce);
    this->RefuseSubmit(link, submit, *refusal);
    return;
  }
  const std::uint64_t attempt = submit.attempt;
  auto stream =
      std::make_unique<Stream>(std::move(submit), this->config, profile,
                               this->limits.response_buffer_bytes);
  stream->key = std::move(key);
  stream->must_run_alone = crash_status == evidence::CrashStatus::kSuspect;
  Subscriber subscriber;
  subscriber.link = link;
  subscriber.request = stream->work.request;
  subscriber.attempt = attempt;
  stream->subscribers.push_back(std::move(subscriber));
  this->Admit(std::move(stream), now);
}

bool AgentCore::ClaimKey(std::uint64_t link, const link::Submit& submit,
                         const config::Profile& profile,
                         std::optional<IdempotencyKey>& key,
                         kernel::TimePoint now) {
  key = IdempotencyKey::Parse(submit.key);
  if (!key) {
    // A key that does not parse was not issued by this process. It is refused
    // like a key of another one, which may have run the work.
    this->RefuseSubmit(link, submit, Reason::kWrongIncarnation,
                       Outcome::kUnknown);
    return false;
  }
  using LedgerClaim = ExecutionLedger::ClaimResult;
  const LedgerClaim claim =
      this->ledger.TryClaim(*key, WorkOf(submit), submit.request,
                            KeyLifetimeMillis(profile), this->ClockMillis(now));
  if (claim == LedgerClaim::kClaimed) return true;
  if (claim == LedgerClaim::kRunning) {
    this->AttachToRunning(link, submit, this->ledger.Find(key->nonce)->stream,
                          now);
    return false;
  }
  if (claim == LedgerClaim::kCompleted) {
    this->SendStoredResponse(link, submit, *this->ledger.Find(key->nonce));
    return false;
  }
  if (claim == LedgerClaim::kConflict) {
    this->AddAction(WriteLogEvent{EventId::kKeyConflict,
                                  {{"organisation", submit.organisation}}});
  }
  const ClaimRefusal& refusal = RefusalOf(claim);
  this->RefuseSubmit(link, submit, refusal.reason, refusal.outcome);
  return false;
}

void AgentCore::RefuseUnclaimed(std::uint64_t link, const link::Submit& submit,
                                const config::Profile* profile, Reason reason,
                                kernel::TimePoint now) {
  Outcome outcome = Outcome::kNotRun;
  if (!submit.key.empty()) {
    const auto key = IdempotencyKey::Parse(submit.key);
    const bool marked_not_run =
        key && profile != nullptr &&
        this->ledger.ClaimAsNotRun(*key, WorkOf(submit),
                                   KeyLifetimeMillis(*profile),
                                   this->ClockMillis(now));
    if (!marked_not_run) outcome = Outcome::kUnknown;
  }
  this->RefuseSubmit(link, submit, reason, outcome);
}

void AgentCore::SendStoredResponse(std::uint64_t link,
                                   const link::Submit& submit,
                                   const ExecutionLedger::Entry& entry) {
  const ExecutionLedger::StoredResponse& response = entry.response;
  if (!response.has_body) {
    this->RefuseSubmit(link, submit, Reason::kAnswerTooLarge,
                       Outcome::kCompleted);
    return;
  }
  const std::uint64_t incarnation = this->identity.incarnation;
  this->AddAction(
      SendMessage{link, link::Started{submit.request, submit.attempt}});
  this->AddAction(
      SendMessage{link, link::Head{submit.request, submit.attempt, incarnation,
                                   response.status, response.headers}});
  if (!response.body.empty()) {
    this->AddAction(SendMessage{
        link, link::Chunk{submit.request, submit.attempt, incarnation, 0,
                          link::Blob{response.body}}});
  }
  this->AddAction(SendMessage{
      link,
      link::Ended{submit.request, submit.attempt, incarnation,
                  Outcome::kCompleted, Reason::kNone, response.body.size(),
                  kernel::Digest(response.body), 0}});
}

void AgentCore::AttachToRunning(std::uint64_t link, const link::Submit& submit,
                                const std::string& stream_id,
                                kernel::TimePoint now) {
  Stream* stream = this->streams.Find(stream_id);
  if (stream == nullptr) {
    this->RefuseSubmit(link, submit, Reason::kEndpointFailed,
                       Outcome::kUnknown);
    return;
  }
  Subscriber subscriber;
  subscriber.link = link;
  subscriber.request = submit.request;
  subscriber.attempt = submit.attempt;
  stream->subscribers.push_back(std::move(subscriber));
  stream->no_subscriber_since.reset();
  this->streams.AddAlias(submit.request, stream_id);
  this->AddAction(
      WriteLogEvent{EventId::kAnswerResumed,
                    {{"request", submit.request}, {"stream", stream_id}}});
  this->response_sender.SendAvailable(*stream, this->actions);
  if (stream->state == StreamState::kEnded) this->ApplyTimeLimits(*stream, now);
}

void AgentCore::Admit(std::unique_ptr<Stream> stream, kernel::TimePoint now) {
  const std::string id = stream->work.request;
  CapacityClaim claim;
  claim.request = id;
  claim.priority =
      std::min<std::int64_t>(static_cast<std::int64_t>(stream->work.priority),
                             stream->profile->priority_ceiling);
  const auto reserved = std::min<std::int64_t>(
      static_cast<std::int64_t>(stream->work.reserved_tokens),
      stream->profile->max_output_tokens);
  claim.tokens = this->charge_policy->Charge(
      stream->profile->name, stream->work.organisation, reserved);
  claim.must_run_alone = stream->must_run_alone;
  std::optional<std::string> displaced;
  const Admission::Verdict verdict =
      this->admission_state.Add(claim, displaced);
  Stream& added = this->streams.Add(std::move(stream));
  if (displaced)
    this->Finish(*this->streams.Find(*displaced), Outcome::kNotRun,
                 Reason::kFull, now);
  if (verdict == Admission::Verdict::kFull) {
    this->Finish(added, Outcome::kNotRun, Reason::kFull, now);
  }
  if (verdict == Admission::Verdict::kRun) this->StartEndpointCall(added, now);
}

kernel::Millis AgentCore::HeadTimeout(const Stream& stream,
                                      kernel::TimePoint now) const {
  const std::uint64_t clock = this->ClockMillis(now);
  const std::uint64_t remaining_ms =
      stream.work.deadline_ms > clock ? stream.work.deadline_ms - clock : 1;
  if (stream.work.non_streaming) return kernel::Millis(remaining_ms);
  return kernel::Millis(stream.profile->attempt_timeout_ms);
}

void AgentCore::StartEndpointCall(Stream& stream, kernel::TimePoint now) {
  stream.state = StreamState::kRunning;
  stream.call_started = true;
  stream.last_checked_at = now;
  for (Subscriber& subscriber : stream.subscribers) {
    subscriber.started_sent = true;
    this->AddAction(
        SendMessage{subscriber.link,
                    link::Started{subscriber.request, subscriber.attempt}});
  }
  StartCall call;
  call.stream = stream.work.request;
  call.request.method = stream.work.method;
  call.request.target = stream.work.target;
  call.request.headers = stream.work.headers;
  call.request.body = std::move(stream.work.body.bytes);
  call.head_timeout = this->HeadTimeout(stream, now);
  this->AddAction(std::move(call));
}

void AgentCore::StartQueued(kernel::TimePoint now) {
  if (this->endpoint.IsProbing() || !this->endpoint.IsUp()) return;
  for (const std::string& id : this->admission_state.DequeueRunnable()) {
    if (Stream* stream = this->streams.Find(id))
      this->StartEndpointCall(*stream, now);
  }
}

void AgentCore::On(std::uint64_t link, const link::Revoke& revoke,
                   kernel::TimePoint now) {
  Stream* stream = this->streams.FindByRequest(revoke.request);
  if (stream != nullptr && stream->state != StreamState::kQueued) return;
  if (stream != nullptr) {
    this->Finish(*stream, Outcome::kNotRun, Reason::kRevoked, now);
    return;
  }
  using Kind = SettledAttempts::Kind;
  if (this->settled.Find(revoke.request, revoke.attempt) == Kind::kEnded)
    return;
  this->settled.Add(revoke.request, revoke.attempt, Kind::kRevoked,
                    revoke.start_by_ms);
  link::Ended ended;
  ended.request = revoke.request;
  ended.attempt = revoke.attempt;
  ended.incarnation = this->identity.incarnation;
  // This attempt will not run, but another attempt under the same key may have
  // run. The ledger has its outcome, but the Revoke message does not name the
  // key.
  ended.outcome = revoke.keyed ? Outcome::kUnknown : Outcome::kNotRun;
  ended.reason = Reason::kRevoked;
  this->AddAction(SendMessage{link, std::move(ended)});
}

void AgentCore::On(std::uint64_t link, const link::Cancel& cancel,
                   kernel::TimePoint now) {
  Stream* stream = this->streams.FindByRequest(cancel.request);
  if (stream == nullptr) return;
  this->RemoveSubscribers(*stream, link, &cancel.request, now);
  stream = this->streams.FindByRequest(cancel.request);
  if (stream != nullptr && stream->subscribers.empty() && cancel.immediate) {
    this->OnNoSubscribers(*stream, true, now);
  }
  this->StartQueued(now);
}

void AgentCore::On(std::uint64_t link, const link::Resume& resume,
                   kernel::TimePoint /*now*/) {
  Stream* stream = this->streams.FindByRequest(resume.request);
  const bool allowed =
      stream != nullptr && stream->work.organisation == resume.organisation;
  link::Ended refusal;
  refusal.request = resume.request;
  refusal.attempt = resume.attempt;
  refusal.incarnation = this->identity.incarnation;
  refusal.outcome = Outcome::kUnknown;
  refusal.reason = allowed ? Reason::kOffsetGone : Reason::kNotFound;
  const bool offset_held = allowed &&
                           resume.offset >= stream->buffer.BeginOffset() &&
                           resume.offset <= stream->buffer.EndOffset();
  if (!offset_held) {
    this->AddAction(SendMessage{link, std::move(refusal)});
    return;
  }
  // A new subscriber replaces the earlier one with the same request id.
  auto& subscribers = stream->subscribers;
  subscribers.erase(std::remove_if(subscribers.begin(), subscribers.end(),
                                   [&resume](const Subscriber& subscriber) {
                                     return subscriber.request ==
                                            resume.request;
                                   }),
                    subscribers.end());
  Subscriber subscriber;
  subscriber.link = link;
  subscriber.request = resume.request;
  subscriber.attempt = resume.attempt;
  subscriber.sent_offset = resume.offset;
  subscriber.consumed_offset = resume.offset;
  // A caller that resumes from an offset has received all bytes before it, even
  // if no Consumed message reported them.
  stream->max_consumed_offset =
      std::max(stream->max_consumed_offset, resume.offset);
  stream->subscribers.push_back(std::move(subscriber));
  stream->no_subscriber_since.reset();
  this->AddAction(WriteLogEvent{EventId::kAnswerResumed,
                                {{"request", resume.request},
                                 {"offset", std::to_string(resume.offset)}}});
  this->response_sender.SendAvailable(*stream, this->actions);
}

void AgentCore::On(std::uint64_t link, const link::Consumed& consumed,
                   kernel::TimePoint /*now*/) {
  Stream* stream = this->streams.FindByRequest(consumed.request);
  if (stream == nullptr) return;
  for (Subscriber& subscriber : stream->subscribers) {
    const bool matches = subscriber.link == link &&
                         subscriber.request == consumed.request &&
                         subscriber.attempt == consumed.attempt;
    if (!matches || consumed.offset > subscriber.sent_offset) continue;
    subscriber.consumed_offset =
        std::max(subscriber.consumed_offset, consumed.offset);
    stream->max_consumed_offset =
        std::max(stream->max_consumed_offset, subscriber.consumed_offset);
  }
  this->response_sender.SendAvailable(*stream, this->actions);
}

void AgentCore::On(std::uint64_t /*link*/, const link::Evidence& evidence,
                   kernel::TimePoint now) {
  if (!this->crash_evidence.Merge(evidence, now)) return;
  this->AddAction(Broadcast{evidence});
  this->ApplyCrashStatusToQueued(evidence.fingerprint, now);
  this->StartQueued(now);
}

void AgentCore::ApplyCrashStatusToQueued(const std::string& fingerprint,
                                         kernel::TimePoint now) {
  const auto crash_status =
      this->crash_evidence.CrashStatusOf(fingerprint, now);
  if (crash_status == evidence::CrashStatus::kClear) return;
  const auto queued_ids =
      this->streams.Ids([&fingerprint](const Stream& stream) {
        return stream.state == StreamState::kQueued &&
               stream.work.fingerprint == fingerprint;
      });
  for (const std::string& id : queued_ids) {
    Stream& stream = *this->streams.Find(id);
    if (crash_status == evidence::CrashStatus::kQuarantined) {
      this->Finish(stream, Outcome::kNotRun, Reason::kQuarantined, now);
      continue;
    }
    stream.must_run_alone = true;
    this->admission_state.RequireAlone(id);
  }
}

AgentActions AgentCore::OnLeaving(std::string_view cause,
                                  kernel::TimePoint now) {
  if (this->leaving) return this->TakeActions();
  this->leaving = true;
  this->AddAction(WriteLogEvent{EventId::kEndpointLeaving,
                                {{"cause", std::string(cause)}}});
  this->AddAction(Audit{kernel::AuditKind::kDrain, this->identity.node,
                        std::string(cause)});
  this->AddAction(Broadcast{this->HeartbeatAt(now)});
  return this->TakeActions();
}

void AgentCore::RemoveSubscribers(Stream& stream, std::uint64_t link,
                                  const std::string* request,
                                  kernel::TimePoint now) {
  auto& subscribers = stream.subscribers;
  const std::size_t before = subscribers.size();
  subscribers.erase(std::remove_if(subscribers.begin(), subscribers.end(),
                                   [&](const Subscriber& subscriber) {
                                     return subscriber.link == link &&
                                            (request == nullptr ||
                                             subscriber.request == *request);
                                   }),
                    subscribers.end());
  if (subscribers.size() == before) return;
  if (!subscribers.empty()) {
    this->response_sender.SendAvailable(stream, this->actions);
    return;
  }
  this->OnNoSubscribers(stream, false, now);
}

void AgentCore::OnNoSubscribers(Stream& stream, bool abort_running,
                                kernel::TimePoint now) {
  if (stream.state == StreamState::kEnded) return;
  if (!stream.no_subscriber_since) stream.no_subscriber_since = now;
  if (stream.state == StreamState::kQueued) {
    this->Finish(stream, Outcome::kNotRun, Reason::kCancelled, now);
    return;
  }
  // Keyed work must not run twice. It continues until its end or deadline, so
  // that a retry with the same key can receive its outcome.
  if (stream.key) return;
  if (abort_running) this->AbortStream(stream, Reason::kCancelled, now);
}

void AgentCore::RefuseSubmit(std::uint64_t link, const link::Submit& submit,
                             Reason reason, Outcome outcome) {
  this->settled.Add(submit.request, submit.attempt,
                    SettledAttempts::Kind::kEnded, submit.start_by_ms);
  link::Ended ended;
  ended.request = submit.request;
  ended.attempt = submit.attempt;
  ended.incarnation = this->identity.incarnation;
  ended.outcome = outcome;
  ended.reason = reason;
  ended.retry_after_ms = RetryAfterMillis(reason);
  this->AddAction(SendMessage{link, std::move(ended)});
}

link::Heartbeat AgentCore::HeartbeatAt(kernel::TimePoint now) const {
  link::Heartbeat heartbeat;
  heartbeat.revision = this->config ? this->config->revision : 0;
  heartbeat.clock_ms = this->ClockMillis(now);
  heartbeat.leaving = this->leaving;
  heartbeat.endpoint_up = this->endpoint.IsUp();
  heartbeat.running = this->admission_state.Running();
  heartbeat.queued = this->admission_state.Queued();
  heartbeat.slots = this->limits.admission.slots;
  return heartbeat;
}

std::size_t AgentCore::UnfinishedCount() const {
  const auto unfinished = this->streams.Ids([](const Stream& stream) {
    const bool has_subscriber = !stream.subscribers.empty();
    return stream.state != StreamState::kEnded || has_subscriber;
  });
  return unfinished.size();
}

std::uint64_t AgentCore::ClockMillis(kernel::TimePoint now) const {
  return static_cast<std::uint64_t>(
      kernel::MillisBetween(this->identity.started, now));
}

AgentActions AgentCore::TakeActions() {
  AgentActions taken;
  taken.swap(this->actions);
  return taken;
}

}  // namespace banyanlane::agent
