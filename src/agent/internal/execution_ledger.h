#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "agent/idempotency_key.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Remembers which issued keys have been used, for as long as each could come
/// again. A key names this process, so this memory is the only one that has to
/// know.
class ExecutionLedger {
 public:
  /// What a claim found.
  enum class ClaimResult {
    kClaimed,    ///< Now claimed: the work can start.
    kRunning,    ///< Claimed before; `Entry::stream` runs it.
    kCompleted,  ///< Ran; `Entry::stream` or the stored answer has the result.
    kUnknown,    ///< Was sent, and its end was never seen.
    kNotRun,     ///< A caller was told that it did not run, so it never may.
    kWrongIncarnation,  ///< Ids another process, or an earlier life of this
                        ///< one.
    kExpired,   ///< Older than the key's lifetime, or issued in the future.
    kConflict,  ///< Came before with other work or another organisation.
    kFull,      ///< No room to remember it, so it must not run.
  };

  /// The work that a key is used for.
  struct Work {
    std::string profile;
    std::string organisation;
    std::string fingerprint;
  };

  /// A stored result.
  struct StoredResponse {
    std::uint64_t status = 0;
    link::WireHeaders headers;
    std::string body;
    bool has_body = false;
  };

  /// What is remembered of one key.
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

  /// Claims `key` for `stream`, if it was never claimed.
  /// @param lifetime_ms how long after its issue the key can be used.
  /// @param clock_ms this agent's clock.
  ClaimResult TryClaim(const IdempotencyKey& key, const Work& work,
                       std::string_view stream, std::uint64_t lifetime_ms,
                       std::uint64_t clock_ms);

  /// Returns what is remembered of `nonce`, or null.
  const Entry* Find(const std::string& nonce) const;

  /// The work ended whole.
  void Complete(const std::string& nonce, StoredResponse response);
  /// The work was sent, and how it ended is not known.
  void MarkUnknown(const std::string& nonce);
  /// A caller is told that the work did not run: spends the key, since another
  /// copy of the request may still be on its way. @return false when the key is
  /// not one that this ledger can speak for, so that the outcome is unknown.
  bool ClaimAsNotRun(const IdempotencyKey& key, const Work& work,
                     std::uint64_t lifetime_ms, std::uint64_t clock_ms);
  /// The work claimed under `nonce` was provably not sent: spends its key.
  void MarkNotRun(const std::string& nonce);

  /// Drops entries whose key can't be used any more.
  void Expire(std::uint64_t clock_ms);

  std::size_t Size() const { return this->entries.size(); }

 private:
  std::string agent;
  std::uint64_t incarnation;
  std::size_t max_entries;
  std::size_t max_response_bytes;
  std::unordered_map<std::string, Entry> entries;
  std::multimap<std::uint64_t, std::string> expiries;
  /// For each profile, the latest issue time of a key that was forgotten. Keys
  /// as old as that may have been used, even if a new revision gives them a
  /// longer lifetime.
  std::unordered_map<std::string, std::uint64_t> expired_through_ms;
};

}  // namespace banyanlane::agent
