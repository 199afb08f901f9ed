#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "agent/idempotency_key.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Records which issued keys have been used, for as long as each can be sent
/// again. A key names this process, so no other process has to know of its use.
class ExecutionLedger {
 public:
  /// Result of an attempt to claim a key.
  enum class ClaimResult {
    kClaimed,    ///< The key is claimed now; the work can start.
    kRunning,    ///< The work is running as `Entry::stream`.
    kCompleted,  ///< The work completed; `Entry::response` has the result.
    kUnknown,    ///< The work was sent to the endpoint; its outcome is unknown.
    kNotRun,     ///< The work was reported as not run, so it must never run.
    kWrongIncarnation,  ///< The key names another agent or incarnation.
    kExpired,   ///< The key is past its lifetime, or issued in the future.
    kConflict,  ///< The key was used for other work or by another organisation.
    kFull,      ///< The ledger is full, so the work must not run.
  };

  /// The work that a key is used for.
  struct Work {
    std::string profile;
    std::string organisation;
    std::string fingerprint;
  };

  /// Stored result of completed work.
  struct StoredResponse {
    std::uint64_t status = 0;
    link::WireHeaders headers;
    std::string body;
    bool has_body = false;
  };

  /// State of one used key.
  struct Entry {
    enum class State { kRunning, kCompleted, kUnknown, kNotRun };
    State state = State::kRunning;
    Work work;
    std::string stream;
    std::uint64_t issued_ms = 0;
    std::uint64_t expires_ms = 0;
    StoredResponse response;
  };

  ExecutionLedger(std::string agent, std::uint64_t incarnation,
                  std::size_t max_entries, std::size_t max_response_bytes);

  /// Claims `key` for `stream` unless it has been claimed before.
  /// @param lifetime_ms time after its issue during which the key can be used,
  /// in milliseconds.
  /// @param clock_ms current time on this agent's clock, in milliseconds.
  ClaimResult TryClaim(const IdempotencyKey& key, const Work& work,
                       std::string_view stream, std::uint64_t lifetime_ms,
                       std::uint64_t clock_ms);

  /// Returns the entry of the key with `nonce`, or null.
  const Entry* Find(const std::string& nonce) const;

  /// Records that the work completed, and stores its response. A body of more
  /// than `max_response_bytes` is not stored.
  void Complete(const std::string& nonce, StoredResponse response);
  /// Records that the work was sent to the endpoint and its outcome is unknown.
  void MarkUnknown(const std::string& nonce);
  /// Claims `key` and records that its work must not run. Call before the work
  /// is reported as not run, since another copy of the request may still
  /// arrive.
  /// @return false when the key could not be claimed, so that the outcome of
  /// its work is unknown.
  bool ClaimAsNotRun(const IdempotencyKey& key, const Work& work,
                     std::uint64_t lifetime_ms, std::uint64_t clock_ms);
  /// Records that the work claimed under `nonce` was provably not sent to the
  /// endpoint. Its key can't be used again.
  void MarkNotRun(const std::string& nonce);

  /// Removes the entries of keys that are past their lifetime, except those
  /// whose work is running.
  void Expire(std::uint64_t clock_ms);

  std::size_t Size() const { return this->entries.size(); }

 private:
  std::string agent;
  std::uint64_t incarnation;
  std::size_t max_entries;
  std::size_t max_response_bytes;
  std::unordered_map<std::string, Entry> entries;
  std::multimap<std::uint64_t, std::string> expiries;
  /// Latest issue time of a removed key, for each profile. Keys issued up to
  /// that time may have been used and stay refused, even if a new configuration
  /// revision gives them a longer lifetime.
  std::unordered_map<std::string, std::uint64_t> expired_through_ms;
};

}  // namespace banyanlane::agent
