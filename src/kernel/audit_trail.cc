#include "kernel/audit_trail.h"

#include <spdlog/spdlog.h>

#include "kernel/enum_names.h"

namespace banyanlane::kernel {
namespace {

constexpr std::size_t kMaxRecords = 4096;

constexpr EnumNames<AuditKind, 8> kKindNames = {{
    {AuditKind::kConfigAdopted, "config_adopted"},
    {AuditKind::kConfigRefused, "config_refused"},
    {AuditKind::kConfigSuperseded, "config_superseded"},
    {AuditKind::kDrain, "drain"},
    {AuditKind::kOrderApplied, "order_applied"},
    {AuditKind::kOrderRefused, "order_refused"},
    {AuditKind::kQuarantine, "quarantine"},
    {AuditKind::kClearance, "clearance"},
}};

}  // namespace

std::string_view AuditKindName(AuditKind kind) {
  return NameOf(kKindNames, kind);
}

void AuditTrail::Record(AuditKind kind, std::string subject,
                        std::uint64_t revision, std::string cause,
                        std::chrono::system_clock::time_point at) {
  spdlog::info("AUDIT {} subject=\"{}\" revision={} cause=\"{}\"",
               AuditKindName(kind), subject, revision, cause);
  const std::lock_guard<std::mutex> lock(this->mutex);
  AuditRecord record{++this->last_number, at,       kind,
                     std::move(subject),  revision, std::move(cause)};
  this->records.push_back(std::move(record));
  if (this->records.size() > kMaxRecords) this->records.pop_front();
}

std::vector<AuditRecord> AuditTrail::Records() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return {this->records.begin(), this->records.end()};
}

}  // namespace banyanlane::kernel
