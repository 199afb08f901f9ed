#include "evidence/work_record.h"

#include <algorithm>
#include <set>

namespace banyanlane::evidence {

std::uint64_t WorkRecord::LatestGeneration(kernel::TimePoint time,
                                           const std::string& except) const {
  std::uint64_t latest = this->cleared_through;
  for (const auto& [id, crash] : this->crashes) {
    if (id != except && crash.known_at <= time)
      latest = std::max(latest, crash.generation);
  }
  return latest;
}

std::uint64_t WorkRecord::GenerationOf(const std::string& crash,
                                       const LostAttempt& attempt) const {
  const kernel::TimePoint earlier =
      std::min(attempt.sent_at, attempt.lost_at - this->event_time);
  return this->LatestGeneration(earlier, crash) + 1;
}

bool WorkRecord::AddCrash(const std::string& crash, std::uint64_t generation,
                          kernel::TimePoint known_at) {
  if (generation <= this->cleared_through) return false;
  if (this->crashes.empty()) this->begun_before = this->TotalBegun();
  const auto [found, is_new] =
      this->crashes.try_emplace(crash, Crash{generation, known_at});
  if (is_new) return true;
  Crash& known = found->second;
  known.known_at = std::min(known.known_at, known_at);
  const bool is_later = generation > known.generation;
  known.generation = std::max(known.generation, generation);
  return is_later;
}

bool WorkRecord::RemoveCrash(const std::string& crash) {
  return this->crashes.erase(crash) > 0;
}

bool WorkRecord::ClearKnownAt(kernel::TimePoint sent_at) {
  return this->ClearThrough(this->LatestGeneration(sent_at, ""));
}

bool WorkRecord::ClearThrough(std::uint64_t generation) {
  if (generation <= this->cleared_through) return false;
  this->cleared_through = generation;
  for (auto it = this->crashes.begin(); it != this->crashes.end();) {
    const bool is_cleared = it->second.generation <= generation;
    it = is_cleared ? this->crashes.erase(it) : std::next(it);
  }
  return true;
}

std::optional<std::uint64_t> WorkRecord::CountBegun(const std::string& node,
                                                    kernel::TimePoint sent_at) {
  const bool counts = std::any_of(this->crashes.begin(), this->crashes.end(),
                                  [sent_at](const auto& entry) {
                                    return entry.second.known_at <= sent_at;
                                  });
  if (!counts) return std::nullopt;
  return ++this->begun[node];
}

bool WorkRecord::MergeBegun(const std::string& node, std::uint64_t count) {
  std::uint64_t& known = this->begun[node];
  const bool is_news = count > known;
  known = std::max(known, count);
  return is_news;
}

std::int64_t WorkRecord::Streak() const {
  std::set<std::uint64_t> generations;
  for (const auto& entry : this->crashes)
    generations.insert(entry.second.generation);
  return static_cast<std::int64_t>(generations.size());
}

std::int64_t WorkRecord::TotalBegun() const {
  std::uint64_t total = 0;
  for (const auto& entry : this->begun) total += entry.second;
  return static_cast<std::int64_t>(total);
}

std::int64_t WorkRecord::Begun() const {
  return this->crashes.empty() ? 0 : this->TotalBegun() - this->begun_before;
}

std::vector<std::string> WorkRecord::Crashes() const {
  std::vector<std::string> ids;
  for (const auto& entry : this->crashes) ids.push_back(entry.first);
  return ids;
}

void WorkRecord::WriteTo(link::WorkReport& report,
                         const std::string& node) const {
  for (const auto& [id, crash] : this->crashes) {
    report.crashes.push_back(id);
    report.generations.push_back(crash.generation);
  }
  report.cleared_through = this->cleared_through;
  const auto own = this->begun.find(node);
  report.begun = own == this->begun.end() ? 0 : own->second;
}

}  // namespace banyanlane::evidence
