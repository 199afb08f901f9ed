#include "evidence/crash_attribution.h"

#include <algorithm>

#include "kernel/hash.h"

namespace banyanlane::evidence {
namespace {

/// Survivals up to this number are all reported, further ones only when their
/// number has doubled.
constexpr std::uint64_t kAlwaysReported = 4;

/// Maximum number of doublings of a quarantine, so that the shift can't
/// overflow. The duration reaches the lifetime of evidence earlier.
constexpr int kMaxDoublings = 8;

bool IsReported(std::uint64_t count) {
  const bool is_power_of_two = (count & (count - 1)) == 0;
  return count <= kAlwaysReported || is_power_of_two;
}

std::int64_t Total(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t total = 0;
  for (const auto& entry : counts) total += entry.second;
  return static_cast<std::int64_t>(total);
}

}  // namespace

std::optional<kernel::TimePoint> CrashAttribution::QuarantinedUntil(
    const Keys& keys, kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::optional<kernel::TimePoint> until;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end() || !found->second.is_quarantined) continue;
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
    if (found == this->records.end() || !found->second.is_quarantined) continue;
    is_probe = true;
    found->second.quarantined_until = now + this->limits.probe_interval;
  }
  return is_probe;
}

WorkCounts CrashAttribution::RecentCounts(const std::string& key) const {
  WorkCounts sum;
  for (const CountsByKey* window : {&this->counts, &this->previous_counts}) {
    const auto found = window->find(key);
    if (found == window->end()) continue;
    sum.begun += found->second.begun;
    sum.survivals += found->second.survivals;
  }
  return sum;
}

WorkCounts* CrashAttribution::CountsWithoutRecord(const std::string& key) {
  const auto found = this->counts.find(key);
  if (found != this->counts.end()) return &found->second;
  if (this->counts.size() >= this->limits.max_records) return nullptr;
  return &this->counts[key];
}

WorkCounts CrashAttribution::RecentCounts(const Record& record) {
  return {Total(record.begun) - record.previous_window_start.begun,
          Total(record.survivals) - record.previous_window_start.survivals};
}

CrashAttribution::Record* CrashAttribution::FindOrAdd(const std::string& key) {
  const auto found = this->records.find(key);
  if (found != this->records.end()) return &found->second;
  if (this->records.size() >= this->limits.max_records) this->MakeRoom();
  if (this->records.size() >= this->limits.max_records) return nullptr;
  Record& added = this->records[key];
  const WorkCounts recent = this->RecentCounts(key);
  added.begun[this->node] = static_cast<std::uint64_t>(recent.begun);
  added.survivals[this->node] = static_cast<std::uint64_t>(recent.survivals);
  return &added;
}

void CrashAttribution::MakeRoom() {
  for (auto it = this->records.begin(); it != this->records.end();) {
    const bool is_weak =
        !it->second.is_quarantined && it->second.crashes.size() <= 1;
    it = is_weak ? this->records.erase(it) : std::next(it);
  }
}

bool CrashAttribution::AddCrash(Record& record, const std::string& crash,
                                kernel::TimePoint expires_at) const {
  if (record.cleared.count(crash) > 0) return false;
  if (this->IsExplained(record, crash)) return false;
  if (!record.crashes.insert(crash).second) return false;
  record.expires_at = std::max(record.expires_at, expires_at);
  return true;
}

CrashAttribution::Reports CrashAttribution::RecordCrash(
    const Keys& keys, const std::string& crash, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const std::string& key : keys) this->FindOrAdd(key);
  std::vector<std::pair<std::string, Record*>> suspects;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    const bool is_added =
        found != this->records.end() &&
        this->AddCrash(found->second, crash, now + this->limits.lifetime);
    if (is_added) suspects.emplace_back(key, &found->second);
  }
  // The work that is begun least often explains the crash best.
  std::stable_sort(suspects.begin(), suspects.end(),
                   [](const auto& left, const auto& right) {
                     return BegunOf(*left.second) < BegunOf(*right.second);
                   });
  Reports reports;
  for (const auto& [key, record] : suspects) {
    this->JudgeCrash(key, *record, now);
    reports.push_back(this->ToReport(key, *record, now));
  }
  return reports;
}

CrashAttribution::Reports CrashAttribution::RecordBegun(const Keys& keys,
                                                        kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reports reports;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end()) {
      WorkCounts* const work = this->CountsWithoutRecord(key);
      if (work != nullptr) ++work->begun;
      continue;
    }
    const std::uint64_t count = ++found->second.begun[this->node];
    if (IsReported(count))
      reports.push_back(this->ToReport(key, found->second, now));
  }
  return reports;
}

std::int64_t CrashAttribution::BegunOf(const Record& record) {
  return RecentCounts(record).begun;
}

bool CrashAttribution::IsExplained(const Record& record,
                                   const std::string& crash) const {
  const auto found = this->explained.find(crash);
  return found != this->explained.end() &&
         BegunOf(record) > found->second.begun;
}

void CrashAttribution::Explain(const Record& culprit) {
  const std::int64_t begun = BegunOf(culprit);
  for (const std::string& crash : culprit.crashes) {
    this->explained.emplace(crash, ExplainedCrash{begun, culprit.expires_at});
    for (auto& [key, record] : this->records) {
      const bool is_explained =
          BegunOf(record) > begun && record.crashes.erase(crash) > 0;
      if (is_explained) record.cleared.insert(crash);
    }
  }
}

CrashAttribution::Reports CrashAttribution::RecordSurvival(
    const Keys& keys, kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reports reports;
  for (const std::string& key : keys) {
    const auto found = this->records.find(key);
    if (found == this->records.end()) {
      WorkCounts* const work = this->CountsWithoutRecord(key);
      if (work != nullptr) ++work->survivals;
      continue;
    }
    Record& record = found->second;
    // While work is quarantined, only probes and attempts that began before
    // run. One that survives clears the work.
    const std::uint64_t weight =
        record.is_quarantined
            ? static_cast<std::uint64_t>(std::max<std::int64_t>(
                  1, ScoreOf(record) + this->limits.excess))
            : 1;
    std::uint64_t& count = record.survivals[this->node];
    count += weight;
    this->JudgeSurvival(key, record);
    if (weight > 1 || IsReported(count))
      reports.push_back(this->ToReport(key, found->second, now));
  }
  return reports;
}

bool CrashAttribution::Merge(const link::WorkReport& report,
                             kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (report.node == this->node) return false;
  Record* const record = this->FindOrAdd(report.key);
  if (record == nullptr) return false;
  const auto remaining =
      std::min(this->limits.lifetime, kernel::Millis(report.lifetime_ms));
  std::uint64_t& known = record->survivals[report.node];
  const bool has_survivals = report.survivals > known;
  known = std::max(known, report.survivals);
  std::uint64_t& begun = record->begun[report.node];
  const bool has_begun = report.begun > begun;
  begun = std::max(begun, report.begun);
  bool has_crashes = false;
  for (const std::string& crash : report.crashes)
    has_crashes |= this->AddCrash(*record, crash, now + remaining);
  if (has_survivals) this->JudgeSurvival(report.key, *record);
  if (has_crashes) this->JudgeCrash(report.key, *record, now);
  return has_survivals || has_begun || has_crashes;
}

std::int64_t CrashAttribution::ScoreOf(const Record& record) {
  return static_cast<std::int64_t>(record.crashes.size()) -
         RecentCounts(record).survivals;
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
  if (ScoreOf(record) < this->limits.excess) return;
  const auto crashes = static_cast<std::int64_t>(record.crashes.size());
  if (BegunOf(record) > crashes * this->limits.begun_per_crash) return;
  record.quarantined_until = now + this->QuarantineTime(key, record);
  ++record.quarantines;
  this->SetQuarantined(key, record, true);
  this->Explain(record);
}

void CrashAttribution::JudgeSurvival(const std::string& key, Record& record) {
  const std::int64_t score = ScoreOf(record);
  if (score <= 0) this->SetQuarantined(key, record, false);
  if (score > -this->limits.excess) return;
  record.cleared.insert(record.crashes.begin(), record.crashes.end());
  record.crashes.clear();
}

void CrashAttribution::SetQuarantined(const std::string& key, Record& record,
                                      bool quarantined) {
  if (record.is_quarantined == quarantined) return;
  record.is_quarantined = quarantined;
  this->changes.push_back({key, quarantined, record.crashes.size()});
}

CrashAttribution::Reports CrashAttribution::All(kernel::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Reports reports;
  for (const auto& [key, record] : this->records) {
    if (record.expires_at > now && !record.crashes.empty())
      reports.push_back(this->ToReport(key, record, now));
  }
  return reports;
}

void CrashAttribution::Expire(kernel::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto it = this->records.begin(); it != this->records.end();) {
    it = it->second.expires_at <= now ? this->records.erase(it) : std::next(it);
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
  for (auto& entry : this->records) {
    Record& record = entry.second;
    record.previous_window_start = record.window_start;
    record.window_start = {Total(record.begun), Total(record.survivals)};
  }
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
  report.crashes.assign(record.crashes.begin(), record.crashes.end());
  const auto own = record.survivals.find(this->node);
  report.survivals = own == record.survivals.end() ? 0 : own->second;
  const auto own_begun = record.begun.find(this->node);
  report.begun = own_begun == record.begun.end() ? 0 : own_begun->second;
  report.lifetime_ms = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, kernel::MillisBetween(now, record.expires_at)));
  return report;
}

}  // namespace banyanlane::evidence
