#include "evidence/crash_attribution.h"

#include <algorithm>

#include "kernel/hash.h"

namespace banyanlane::evidence {
namespace {

/// Begun attempts up to this number are all reported, further ones only when
/// their number has doubled.
constexpr std::uint64_t kAlwaysReported = 4;

/// Maximum number of doublings of a quarantine, so that the shift can't
/// overflow. The duration reaches the lifetime of evidence earlier.
constexpr int kMaxDoublings = 8;

bool IsReported(std::uint64_t count) {
  const bool is_power_of_two = (count & (count - 1)) == 0;
  return count <= kAlwaysReported || is_power_of_two;
}

}  // namespace

std::optional<kernel::TimePoint> CrashAttribution::QuarantinedUntil(
    const Keys& keys, kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::optional<kernel::TimePoint> until;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end() ||
        found->second.status != WorkStatus::kQuarantined)
      continue;
    const kernel::TimePoint end = found->second.quarantined_until;
    if (end > now) until = std::max(until.value_or(end), end);
  }
  return until;
}

bool CrashAttribution::TryProbe(const Keys& keys, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  bool is_probe = false;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end() ||
        found->second.status != WorkStatus::kQuarantined)
      continue;
    is_probe = true;
    found->second.quarantined_until = now + this->limits.probe_interval;
  }
  return is_probe;
}

void CrashAttribution::CountBegun(const std::string& key) {
  const auto found = this->counts.find(key);
  if (found != this->counts.end()) {
    ++found->second;
    return;
  }
  if (this->counts.size() < this->limits.max_records) this->counts[key] = 1;
}

std::int64_t CrashAttribution::BegunOf(const std::string& key,
                                       const Record& record) const {
  std::int64_t begun = record.work.Begun();
  for (const CountsByKey* window : {&this->counts, &this->previous_counts}) {
    const auto found = window->find(key);
    if (found != window->end()) begun += found->second;
  }
  return begun;
}

CrashAttribution::Record* CrashAttribution::FindOrAdd(const std::string& key) {
  const auto found = this->records.find(key);
  if (found != this->records.end()) return &found->second;
  if (this->records.size() >= this->limits.max_records) this->MakeRoom();
  if (this->records.size() >= this->limits.max_records) return nullptr;
  return &this->records.try_emplace(key, this->limits.event_time).first->second;
}

void CrashAttribution::MakeRoom() {
  for (auto it = this->records.begin(); it != this->records.end();) {
    const bool is_weak = it->second.status == WorkStatus::kClear &&
                         it->second.work.CrashCount() <= 1;
    it = is_weak ? this->records.erase(it) : std::next(it);
  }
}

bool CrashAttribution::AddCrash(const std::string& key, Record& record,
                                const std::string& crash,
                                std::uint64_t generation,
                                kernel::TimePoint known_at,
                                kernel::TimePoint expires_at) const {
  if (this->IsExplained(key, record, crash)) return false;
  if (!record.work.AddCrash(crash, generation, known_at)) return false;
  record.expires_at = std::max(record.expires_at, expires_at);
  return true;
}

CrashAttribution::Reports CrashAttribution::RecordCrash(
    const Keys& keys, const std::string& crash, const LostAttempt& attempt,
    kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const std::string& key : keys) this->FindOrAdd(key);
  std::vector<std::pair<std::string, Record*>> suspects;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    const bool is_added =
        found != this->records.end() &&
        this->AddCrash(key, found->second, crash,
                       found->second.work.GenerationOf(crash, attempt),
                       attempt.lost_at, now + this->limits.lifetime);
    if (is_added) suspects.emplace_back(key, &found->second);
  }
  // The work that is begun least often explains the crash best.
  std::stable_sort(suspects.begin(), suspects.end(),
                   [this](const auto& left, const auto& right) {
                     return this->BegunOf(left.first, *left.second) <
                            this->BegunOf(right.first, *right.second);
                   });
  Reports reports;
  for (const auto& [key, record] : suspects) {
    this->JudgeCrash(key, *record, now);
    reports.push_back(this->ToReport(key, *record, now));
  }
  return reports;
}

CrashAttribution::Reports CrashAttribution::RecordBegun(
    const Keys& keys, kernel::TimePoint sent_at, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reports reports;
  for (const std::string& key : keys) {
    this->CountBegun(key);
    const auto found = this->records.find(key);
    if (found == this->records.end()) continue;
    const auto count = found->second.work.CountBegun(this->node, sent_at);
    if (count && IsReported(*count))
      reports.push_back(this->ToReport(key, found->second, now));
  }
  return reports;
}

bool CrashAttribution::IsExplained(const std::string& key, const Record& record,
                                   const std::string& crash) const {
  const auto found = this->explained.find(crash);
  return found != this->explained.end() &&
         this->BegunOf(key, record) > found->second.begun;
}

void CrashAttribution::Explain(const std::string& culprit_key,
                               const Record& culprit, kernel::TimePoint now) {
  const std::int64_t begun = this->BegunOf(culprit_key, culprit);
  for (const std::string& crash : culprit.work.Crashes()) {
    this->explained.emplace(crash, ExplainedCrash{begun, culprit.expires_at});
    for (auto& [key, record] : this->records) {
      const bool is_explained =
          this->BegunOf(key, record) > begun && record.work.RemoveCrash(crash);
      if (is_explained) this->UpdateStatus(key, record, now);
    }
  }
}

CrashAttribution::Reports CrashAttribution::RecordSurvival(
    const Keys& keys, kernel::TimePoint sent_at, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reports reports;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end()) continue;
    if (!found->second.work.ClearKnownAt(sent_at)) continue;
    this->UpdateStatus(key, found->second, now);
    reports.push_back(this->ToReport(key, found->second, now));
  }
  return reports;
}

bool CrashAttribution::Merge(const link::WorkReport& report,
                             kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool is_valid = report.generations.size() == report.crashes.size();
  if (report.node == this->node || !is_valid) return false;
  Record* const record = this->FindOrAdd(report.key);
  if (record == nullptr) return false;
  const auto expires_at =
      now + std::min(this->limits.lifetime, kernel::Millis(report.lifetime_ms));
  const bool has_cleared = record->work.ClearThrough(report.cleared_through);
  if (has_cleared)
    record->expires_at = std::max(record->expires_at, expires_at);
  bool has_crashes = false;
  for (std::size_t i = 0; i < report.crashes.size(); ++i) {
    has_crashes |= this->AddCrash(report.key, *record, report.crashes[i],
                                  report.generations[i], now, expires_at);
  }
  const bool has_begun = record->work.MergeBegun(report.node, report.begun);
  if (has_cleared) this->UpdateStatus(report.key, *record, now);
  if (has_crashes) this->JudgeCrash(report.key, *record, now);
  return has_cleared || has_begun || has_crashes;
}

kernel::Millis CrashAttribution::QuarantineTime(const std::string& key,
                                                const Record& record) const {
  const int doublings = std::min(record.quarantines, kMaxDoublings);
  const kernel::Millis shortest = std::min(
      this->limits.lifetime / 2, this->limits.quarantine * (1 << doublings));
  const auto spread =
      static_cast<std::int64_t>(kernel::RendezvousWeight(key, this->node) %
                                static_cast<std::uint64_t>(shortest.count()));
  return shortest + kernel::Millis(spread);
}

void CrashAttribution::JudgeCrash(const std::string& key, Record& record,
                                  kernel::TimePoint now) {
  const auto crashes = static_cast<std::int64_t>(record.work.CrashCount());
  const bool is_sound =
      record.work.Streak() < this->limits.max_streak ||
      record.work.Begun() > crashes * this->limits.begun_per_crash;
  if (is_sound) {
    this->UpdateStatus(key, record, now);
    return;
  }
  record.quarantined_until = now + this->QuarantineTime(key, record);
  ++record.quarantines;
  this->SetStatus(key, record, WorkStatus::kQuarantined);
  this->Explain(key, record, now);
}

void CrashAttribution::UpdateStatus(const std::string& key, Record& record,
                                    kernel::TimePoint now) {
  const bool remains_quarantined =
      record.status == WorkStatus::kQuarantined &&
      record.work.Streak() >= this->limits.max_streak;
  if (remains_quarantined) return;
  const bool is_doubtful =
      record.work.CrashCount() >= this->limits.doubtful_crashes;
  if (is_doubtful && record.status != WorkStatus::kDoubtful)
    record.doubtful_since = now;
  this->SetStatus(key, record,
                  is_doubtful ? WorkStatus::kDoubtful : WorkStatus::kClear);
}

void CrashAttribution::SetStatus(const std::string& key, Record& record,
                                 WorkStatus status) {
  if (record.status == status) return;
  record.status = status;
  this->changes.push_back({key, status, record.work.CrashCount()});
}

std::optional<std::string> CrashAttribution::DoubtfulKey(
    const Keys& keys, kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::optional<std::string> doubtful;
  std::size_t most_crashes = 0;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end()) continue;
    const Record& record = found->second;
    const bool needs_permit =
        record.status == WorkStatus::kDoubtful && record.work.Begun() == 0 &&
        record.work.Streak() >= this->limits.permit_streak &&
        now - record.doubtful_since >= this->limits.permit_free_time &&
        record.work.CrashCount() > most_crashes;
    if (!needs_permit) continue;
    most_crashes = record.work.CrashCount();
    doubtful = key;
  }
  return doubtful;
}

CrashAttribution::Reports CrashAttribution::All(kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reports reports;
  for (const auto& [key, record] : this->records) {
    if (record.expires_at > now && record.work.CrashCount() > 0)
      reports.push_back(this->ToReport(key, record, now));
  }
  return reports;
}

void CrashAttribution::Expire(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto it = this->records.begin(); it != this->records.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    this->SetStatus(it->first, it->second, WorkStatus::kClear);
    it = this->records.erase(it);
  }
  for (auto it = this->explained.begin(); it != this->explained.end();) {
    it = it->second.expires_at <= now ? this->explained.erase(it)
                                      : std::next(it);
  }
  if (now - this->window_began_at >= this->limits.memory)
    this->BeginWindow(now);
}

void CrashAttribution::BeginWindow(kernel::TimePoint now) {
  this->window_began_at = now;
  this->previous_counts.swap(this->counts);
  this->counts.clear();
}

std::vector<CrashAttribution::Change> CrashAttribution::TakeChanges() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<Change> taken;
  taken.swap(this->changes);
  return taken;
}

link::WorkReport CrashAttribution::ToReport(const std::string& key,
                                            const Record& record,
                                            kernel::TimePoint now) const {
  link::WorkReport report;
  report.key = key;
  report.node = this->node;
  record.work.WriteTo(report, this->node);
  report.lifetime_ms = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, kernel::MillisBetween(now, record.expires_at)));
  return report;
}

}  // namespace banyanlane::evidence
