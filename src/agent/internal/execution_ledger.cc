#include "agent/internal/execution_ledger.h"

#include <algorithm>

namespace banyanlane::agent {

ExecutionLedger::ExecutionLedger(std::string agent, std::uint64_t incarnation,
                                 std::size_t max_entries,
                                 std::size_t max_response_bytes)
    : agent(std::move(agent)),
      incarnation(incarnation),
      max_entries(max_entries),
      max_response_bytes(max_response_bytes) {}

ExecutionLedger::ClaimResult ExecutionLedger::TryClaim(
    const IdempotencyKey& key, const Work& work, std::string_view stream,
    std::uint64_t lifetime_ms, std::uint64_t clock_ms) {
  const bool names_this_process =
      key.agent == this->agent && key.incarnation == this->incarnation;
  if (!names_this_process) return ClaimResult::kWrongIncarnation;
  const auto found = this->entries.find(key.nonce);
  if (found != this->entries.end()) {
    const Entry& entry = found->second;
    const bool same_work = entry.work.profile == work.profile &&
                           entry.work.organisation == work.organisation &&
                           entry.work.fingerprint == work.fingerprint;
    if (!same_work) return ClaimResult::kConflict;
    if (entry.state == Entry::State::kRunning) return ClaimResult::kRunning;
    if (entry.state == Entry::State::kNotRun) return ClaimResult::kNotRun;
    return entry.state == Entry::State::kCompleted ? ClaimResult::kCompleted
                                                   : ClaimResult::kUnknown;
  }
  // The entry of a key past its lifetime may have been removed. The issue time
  // is compared with the clock of this agent, which also expires the entries.
  if (key.issued_ms > clock_ms || clock_ms - key.issued_ms >= lifetime_ms)
    return ClaimResult::kExpired;
  const auto expired_through = this->expired_through_ms.find(work.profile);
  const bool may_have_expired =
      expired_through != this->expired_through_ms.end() &&
      key.issued_ms <= expired_through->second;
  if (may_have_expired) return ClaimResult::kExpired;
  if (this->entries.size() >= this->max_entries) return ClaimResult::kFull;
  Entry entry;
  entry.work = work;
  entry.issued_ms = key.issued_ms;
  entry.stream = std::string(stream);
  entry.expires_ms = key.issued_ms + lifetime_ms;
  this->expiries.emplace(entry.expires_ms, key.nonce);
  this->entries.emplace(key.nonce, std::move(entry));
  return ClaimResult::kClaimed;
}

const ExecutionLedger::Entry* ExecutionLedger::Find(
    const std::string& nonce) const {
  const auto found = this->entries.find(nonce);
  return found == this->entries.end() ? nullptr : &found->second;
}

void ExecutionLedger::Complete(const std::string& nonce,
                               StoredResponse response) {
  const auto found = this->entries.find(nonce);
  if (found == this->entries.end()) return;
  response.has_body =
      response.has_body && response.body.size() <= this->max_response_bytes;
  if (!response.has_body) response.body.clear();
  found->second.state = Entry::State::kCompleted;
  found->second.response = std::move(response);
}

void ExecutionLedger::MarkUnknown(const std::string& nonce) {
  const auto found = this->entries.find(nonce);
  if (found != this->entries.end())
    found->second.state = Entry::State::kUnknown;
}

bool ExecutionLedger::ClaimAsNotRun(const IdempotencyKey& key, const Work& work,
                                    std::uint64_t lifetime_ms,
                                    std::uint64_t clock_ms) {
  const ClaimResult claim =
      this->TryClaim(key, work, "", lifetime_ms, clock_ms);
  if (claim == ClaimResult::kClaimed) this->MarkNotRun(key.nonce);
  return claim == ClaimResult::kClaimed || claim == ClaimResult::kNotRun;
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
    // The entry of a running call is kept, since its outcome still has to be
    // recorded.
    if (found->second.state == Entry::State::kRunning) {
      constexpr std::uint64_t kRecheckMillis = 1'000;
      this->expiries.emplace(clock_ms + kRecheckMillis, nonce);
      continue;
    }
    std::uint64_t& expired_through =
        this->expired_through_ms[found->second.work.profile];
    expired_through = std::max(expired_through, found->second.issued_ms);
    this->entries.erase(found);
  }
}

}  // namespace banyanlane::agent
