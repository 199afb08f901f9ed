#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::evidence {

/// Status of work after the crashes during which it ran. Clear work runs
/// normally, suspect work only alone, and quarantined work not at all.
enum class CrashStatus { kClear, kSuspect, kQuarantined };

/// Records which work was running when endpoints crashed. Thread-safe.
///
/// Work that ran beside other work during a crash is suspect and runs alone
/// from then on, so that the next crash has one cause. Work that runs alone
/// during a crash and has reached its crash limit is quarantined. Suspect work
/// that completes while it runs alone is cleared.
class CrashEvidence {
 public:
  /// @param lifetime time after the latest crash at which evidence expires.
  explicit CrashEvidence(kernel::Millis lifetime) : lifetime(lifetime) {}

  /// Returns the status of the work with `fingerprint`.
  CrashStatus CrashStatusOf(const std::string& fingerprint,
                            kernel::TimePoint now) const;

  /// Records that work was running during a crash.
  /// @param crash_id id of the crash. The same id counts once.
  /// @param alone whether no other work was running.
  /// @param crash_limit number of crashes from which the work is quarantined.
  /// @return the evidence to send to peers.
  link::Evidence RecordCrash(const std::string& fingerprint,
                             const std::string& crash_id, bool alone,
                             std::int64_t crash_limit, kernel::TimePoint now);

  /// Records that work completed while it ran alone.
  /// @return the evidence to send to peers, or nothing when the work was not
  /// suspect.
  std::optional<link::Evidence> RecordClearance(const std::string& fingerprint,
                                                kernel::TimePoint now);

  /// Merges evidence from a peer.
  /// @return whether it must be forwarded, because it adds work or crashes, or
  /// changes the suspicion.
  bool Merge(const link::Evidence& evidence, kernel::TimePoint now);

  /// Returns all evidence that has not expired, for a peer that has connected.
  std::vector<link::Evidence> All(kernel::TimePoint now) const;

  /// Removes expired evidence.
  void Expire(kernel::TimePoint now);

  std::size_t Size() const;

 private:
  struct Record {
    link::Suspicion suspicion = link::Suspicion::kSuspect;
    std::set<std::string> crashes;
    kernel::TimePoint expires_at;
  };

  static link::Evidence ToMessage(const std::string& fingerprint,
                                  const Record& record, kernel::TimePoint now);

  kernel::Millis lifetime;
  mutable std::mutex mutex;
  std::unordered_map<std::string, Record> records;
};

}  // namespace banyanlane::evidence
