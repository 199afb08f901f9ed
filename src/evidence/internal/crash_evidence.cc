#include "evidence/crash_evidence.h"

#include <algorithm>

namespace banyanlane::evidence {

using link::Suspicion;

CrashStatus CrashEvidence::CrashStatusOf(const std::string& fingerprint,
                                         kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end() || found->second.expires_at <= now)
    return CrashStatus::kClear;
  switch (found->second.suspicion) {
    case Suspicion::kSuspect:
      return CrashStatus::kSuspect;
    case Suspicion::kQuarantined:
      return CrashStatus::kQuarantined;
    case Suspicion::kCleared:
      return CrashStatus::kClear;
  }
  return CrashStatus::kClear;
}

link::Evidence CrashEvidence::RecordCrash(const std::string& fingerprint,
                                          const std::string& crash_id,
                                          bool alone, std::int64_t crash_limit,
                                          kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Record& record = this->records[fingerprint];
  record.crashes.insert(crash_id);
  record.expires_at = now + this->lifetime;
  const bool limit_reached =
      static_cast<std::int64_t>(record.crashes.size()) >= crash_limit;
  const bool quarantined =
      record.suspicion == Suspicion::kQuarantined || (alone && limit_reached);
  record.suspicion =
      quarantined ? Suspicion::kQuarantined : Suspicion::kSuspect;
  return ToMessage(fingerprint, record, now);
}

std::optional<link::Evidence> CrashEvidence::RecordClearance(
    const std::string& fingerprint, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end() ||
      found->second.suspicion != Suspicion::kSuspect)
    return {};
  found->second.suspicion = Suspicion::kCleared;
  return ToMessage(fingerprint, found->second, now);
}

bool CrashEvidence::Merge(const link::Evidence& evidence,
                          kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool is_known = this->records.count(evidence.fingerprint) > 0;
  Record& record = this->records[evidence.fingerprint];
  const std::size_t previous_crash_count = record.crashes.size();
  record.crashes.insert(evidence.crashes.begin(), evidence.crashes.end());
  const auto remaining =
      std::min(this->lifetime, kernel::Millis(evidence.lifetime_ms));
  record.expires_at = std::max(record.expires_at, now + remaining);
  const Suspicion previous_suspicion = record.suspicion;
  const bool has_new_crashes = record.crashes.size() > previous_crash_count;
  // A clearance covers only the crashes that its sender had recorded.
  const bool covers_all_crashes =
      record.crashes.size() == evidence.crashes.size();
  if (evidence.suspicion == Suspicion::kQuarantined) {
    record.suspicion = Suspicion::kQuarantined;
  } else if (evidence.suspicion == Suspicion::kCleared) {
    const bool clears =
        previous_suspicion == Suspicion::kSuspect && covers_all_crashes;
    if (clears) record.suspicion = Suspicion::kCleared;
  } else if (previous_suspicion == Suspicion::kCleared && has_new_crashes) {
    record.suspicion = Suspicion::kSuspect;
  }
  return !is_known || has_new_crashes || record.suspicion != previous_suspicion;
}

std::vector<link::Evidence> CrashEvidence::All(kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<link::Evidence> all;
  for (const auto& [fingerprint, record] : this->records) {
    if (record.expires_at > now)
      all.push_back(ToMessage(fingerprint, record, now));
  }
  return all;
}

void CrashEvidence::Expire(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto it = this->records.begin(); it != this->records.end();) {
    it = it->second.expires_at <= now ? this->records.erase(it) : std::next(it);
  }
}

std::size_t CrashEvidence::Size() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->records.size();
}

link::Evidence CrashEvidence::ToMessage(const std::string& fingerprint,
                                        const Record& record,
                                        kernel::TimePoint now) {
  link::Evidence evidence;
  evidence.fingerprint = fingerprint;
  evidence.suspicion = record.suspicion;
  evidence.crashes.assign(record.crashes.begin(), record.crashes.end());
  evidence.lifetime_ms = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, kernel::MillisBetween(now, record.expires_at)));
  return evidence;
}

}  // namespace banyanlane::evidence
