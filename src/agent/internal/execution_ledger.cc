#include "agent/internal/execution_ledger.h"

#include <algorithm>

namespace banyanlane::agent {

ExecutionLedger::ExecutionLedger(std::string agent, std::uint64_t incarnation,
                                 std::size_t most_entries,
                                 std::size_t most_answer_bytes)
    : agent(std::move(agent)),
      incarnation(incarnation),
      most_entries(most_entries),
      most_answer_bytes(most_answer_bytes) {}

ExecutionLedger::Claim ExecutionLedger::TryClaim(const IdempotencyKey& key,
                                                 const Work& work,
                                                 std::string_view stream,
                                                 std::uint64_t lifetime_ms,
                                                 std::uint64_t clock_ms) {
  const bool ours =
      key.agent == this->agent && key.incarnation == this->incarnation;
  if (!ours) return Claim::kWrongIncarnation;
  const auto found = this->entries.find(key.nonce);
  if (found != this->entries.end()) {
    const Entry& entry = found->second;
    const bool same = entry.work.profile == work.profile &&
                      entry.work.organisation == work.organisation &&
                      entry.work.fingerprint == work.fingerprint;
    if (!same) return Claim::kConflict;
    if (entry.state == Entry::State::kRunning) return Claim::kRunning;
    if (entry.state == Entry::State::kNotRun) return Claim::kNotRun;
    return entry.state == Entry::State::kCompleted ? Claim::kCompleted
                                                   : Claim::kUnknown;
  }
  // The issue time is checked against our own clock: past this point the entry
  // may be forgotten.
  if (key.issued_ms > clock_ms || clock_ms - key.issued_ms >= lifetime_ms)
    return Claim::kExpired;
  const auto forgotten = this->forgotten_through_ms.find(work.profile);
  const bool may_be_forgotten = forgotten != this->forgotten_through_ms.end() &&
                                key.issued_ms <= forgotten->second;
  if (may_be_forgotten) return Claim::kExpired;
  if (this->entries.size() >= this->most_entries) return Claim::kFull;
  Entry entry;
  entry.work = work;
  entry.issued_ms = key.issued_ms;
  entry.stream = std::string(stream);
  entry.expires_ms = key.issued_ms + lifetime_ms;
  this->expiries.emplace(entry.expires_ms, key.nonce);
  this->entries.emplace(key.nonce, std::move(entry));
  return Claim::kFresh;
}

const ExecutionLedger::Entry* ExecutionLedger::Find(
    const std::string& nonce) const {
  const auto found = this->entries.find(nonce);
  return found == this->entries.end() ? nullptr : &found->second;
}

void ExecutionLedger::Complete(const std::string& nonce, Answer answer) {
  const auto found = this->entries.find(nonce);
  if (found == this->entries.end()) return;
  answer.body_kept =
      answer.body_kept && answer.body.size() <= this->most_answer_bytes;
  if (!answer.body_kept) answer.body.clear();
  found->second.state = Entry::State::kCompleted;
  found->second.answer = std::move(answer);
}

void ExecutionLedger::MarkUnknown(const std::string& nonce) {
  const auto found = this->entries.find(nonce);
  if (found != this->entries.end())
    found->second.state = Entry::State::kUnknown;
}

bool ExecutionLedger::Burn(const IdempotencyKey& key, const Work& work,
                           std::uint64_t lifetime_ms, std::uint64_t clock_ms) {
  const Claim claim = this->TryClaim(key, work, "", lifetime_ms, clock_ms);
  if (claim == Claim::kFresh) this->MarkNotRun(key.nonce);
  return claim == Claim::kFresh || claim == Claim::kNotRun;
}

void ExecutionLedger::MarkNotRun(const std::string& nonce) {
  const auto found = this->entries.find(nonce);
  if (found != this->entries.end()) found->second.state = Entry::State::kNotRun;
}

void ExecutionLedger::Expire(std::uint64_t clock_ms) {
  while (!this->expiries.empty() && this->expiries.begin()->first <= clock_ms) {
    const std::string nonce = this->expiries.begin()->second;
    this->expiries.erase(this->expiries.begin());
    const auto found = this->entries.find(nonce);
    if (found == this->entries.end()) continue;
    // A call still running keeps its entry, since its end is yet to be
    // recorded.
    if (found->second.state == Entry::State::kRunning) {
      constexpr std::uint64_t kRecheckMillis = 1'000;
      this->expiries.emplace(clock_ms + kRecheckMillis, nonce);
      continue;
    }
    std::uint64_t& forgotten =
        this->forgotten_through_ms[found->second.work.profile];
    forgotten = std::max(forgotten, found->second.issued_ms);
    this->entries.erase(found);
  }
}

}  // namespace banyanlane::agent
