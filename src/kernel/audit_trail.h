#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlane::kernel {

/// Kinds of change that the audit trail records.
enum class AuditKind {
  kConfigAdopted,
  kConfigRefused,
  kConfigSuperseded,
  kDrain,
  kOrderApplied,
  kOrderRefused,
  kQuarantine,
  kClearance,
};

/// Returns the stable name of `kind`.
std::string_view AuditKindName(AuditKind kind);

/// Record of one change.
struct AuditRecord {
  std::uint64_t number = 0;
  std::chrono::system_clock::time_point at;
  AuditKind kind = AuditKind::kConfigAdopted;
  std::string subject;
  std::uint64_t revision = 0;
  std::string cause;
};

/// Keeps the latest changes in memory and writes each change to the log.
/// Thread-safe.
class AuditTrail {
 public:
  /// Adds a record and writes it to the log.
  /// @param subject what changed: a configuration digest, node or fingerprint.
  /// @param revision the configuration revision, or 0 if none is concerned.
  /// @param at wall-clock time of the change.
  void Record(AuditKind kind, std::string subject, std::uint64_t revision,
              std::string cause, std::chrono::system_clock::time_point at);

  /// Returns the retained records, oldest first.
  std::vector<AuditRecord> Records() const;

 private:
  mutable std::mutex mutex;
  std::deque<AuditRecord> records;
  std::uint64_t last_number = 0;
};

}  // namespace banyanlane::kernel
