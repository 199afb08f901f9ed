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

/// What is known of some work.
enum class CrashStatus { kClear, kSuspect, kQuarantined };

/// Remembers which work was running when endpoints were lost.
///
/// Work that ran beside other work in a loss is a suspect and runs alone from
/// then on, so that the next loss has one cause. Work that is lost alone and
/// has reached its limit of losses is quarantined; work that ends whole while
/// alone is cleared.
class CrashEvidence {
 public:
  explicit CrashEvidence(kernel::Millis lifetime) : lifetime(lifetime) {}

  /// Returns what is known of `fingerprint`.
  CrashStatus CrashStatusOf(const std::string& fingerprint,
                            kernel::TimePoint now) const;

  /// Records that `fingerprint` took part in the loss `crash`.
  /// @param alone nothing else was running.
  /// @param crash_limit losses after which it is quarantined.
  /// @return the evidence to pass on.
  link::Evidence RecordCrash(const std::string& fingerprint,
                             const std::string& crash_id, bool alone,
                             std::int64_t crash_limit, kernel::TimePoint now);

  /// Records that suspected work ended whole while alone. @return the evidence
  /// to pass on.
  std::optional<link::Evidence> RecordClearance(const std::string& fingerprint,
                                                kernel::TimePoint now);

  /// Takes evidence from a peer. @return whether it was news, to be passed on.
  bool Merge(const link::Evidence& evidence, kernel::TimePoint now);

  /// Returns all evidence, for a peer that has just connected.
  std::vector<link::Evidence> All(kernel::TimePoint now) const;

  /// Drops what has expired.
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
