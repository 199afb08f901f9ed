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
                                          const std::string& crash, bool alone,
                                          std::int64_t crash_limit,
                                          kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Record& record = this->records[fingerprint];
  record.crashes.insert(crash);
  record.expires_at = now + this->lifetime;
  const bool reached =
      static_cast<std::int64_t>(record.crashes.size()) >= crash_limit;
  const bool convicted =
      record.suspicion == Suspicion::kQuarantined || (alone && reached);
  record.suspicion = convicted ? Suspicion::kQuarantined : Suspicion::kSuspect;
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
  const bool known = this->records.count(evidence.fingerprint) > 0;
  Record& record = this->records[evidence.fingerprint];
  const std::size_t crashes_before = record.crashes.size();
  record.crashes.insert(evidence.crashes.begin(), evidence.crashes.end());
  const auto left =
      std::min(this->lifetime, kernel::Millis(evidence.lifetime_ms));
  record.expires_at = std::max(record.expires_at, now + left);
  const Suspicion before = record.suspicion;
  const bool more_crashes = record.crashes.size() > crashes_before;
  // A clearance covers only the crashes its sender knew of.
  const bool covers_all = record.crashes.size() == evidence.crashes.size();
  if (evidence.suspicion == Suspicion::kQuarantined) {
    record.suspicion = Suspicion::kQuarantined;
  } else if (evidence.suspicion == Suspicion::kCleared) {
    const bool clears = before == Suspicion::kSuspect && covers_all;
    if (clears) record.suspicion = Suspicion::kCleared;
  } else if (before == Suspicion::kCleared && more_crashes) {
    record.suspicion = Suspicion::kSuspect;
  }
  return !known || more_crashes || record.suspicion != before;
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
