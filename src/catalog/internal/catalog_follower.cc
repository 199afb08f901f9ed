#include "catalog/internal/catalog_follower.h"

#include <algorithm>

namespace banyanlane::catalog {
namespace {

/// Limit on the exponent, to avoid overflow. The pause has reached its maximum
/// by then.
constexpr int kMostDoublings = 10;
/// Number of versions per store revision. Deletions after a grace period
/// increase the version between two revisions.
constexpr std::uint64_t kVersionsPerRevision = 16;

}  // namespace

FollowStep CatalogFollower::Next(kernel::TimePoint now) const {
  if (this->failures > 0 && now < this->retry_at)
    return PauseStep{this->retry_at};
  if (this->stage == Stage::kLoading) return ReadPageStep{this->after_key};
  return WatchStep{this->watch_revision};
}

bool CatalogFollower::OnAnswer(const CatalogResponse& answer,
                               kernel::TimePoint now) {
  if (std::holds_alternative<kernel::Error>(answer)) {
    this->OnFailure(now);
    return false;
  }
  if (std::holds_alternative<HistoryUnavailable>(answer)) {
    this->OnSuccess(now);
    this->BeginLoading();
    return false;
  }
  const auto& page = std::get<CatalogPage>(answer);
  const bool older = page.revision < this->watch_revision ||
                     page.revision < this->load_revision;
  if (older) {
    // The revision of the store never decreases, so this response is invalid.
    this->OnFailure(now);
    return false;
  }
  this->OnSuccess(now);
  return this->stage == Stage::kLoading ? this->TakePage(page, now)
                                        : this->TakeChanges(page, now);
}

bool CatalogFollower::TakePage(const CatalogPage& page, kernel::TimePoint now) {
  if (this->load_revision == 0) this->load_revision = page.revision;
  bool changed = false;
  for (const CatalogItem& item : page.items) {
    this->listed[item.key] = item.revision;
    this->after_key = std::max(this->after_key, item.key);
    changed |= this->Take(item, now);
  }
  if (page.more && !page.items.empty()) return changed;
  changed |= this->RemoveUnlisted(now);
  changed |= !this->loaded;
  this->AdvanceTo(this->load_revision);
  this->watch_revision = std::max(this->watch_revision, this->load_revision);
  this->load_revision = 0;
  this->loaded = true;
  this->stage = Stage::kWatching;
  return changed;
}

bool CatalogFollower::TakeChanges(const CatalogPage& page,
                                  kernel::TimePoint now) {
  bool changed = false;
  for (const CatalogItem& item : page.items) {
    changed |= item.removed ? this->Remove(item.key, item.revision, now)
                            : this->Take(item, now);
    this->AdvanceTo(item.revision);
  }
  this->watch_revision = page.revision;
  return changed;
}

bool CatalogFollower::Take(const CatalogItem& item, kernel::TimePoint /*now*/) {
  Held& known = this->held[item.key];
  const bool newer = item.revision > known.item.revision;
  const bool returned = known.drop_at && item.revision >= known.item.revision;
  if (!newer && !returned) return false;
  const bool same = known.item.value == item.value && !known.drop_at;
  known.item = item;
  known.drop_at.reset();
  return !same;
}

bool CatalogFollower::Remove(const std::string& key, std::uint64_t revision,
                             kernel::TimePoint now) {
  const auto found = this->held.find(key);
  if (found == this->held.end()) return false;
  if (revision <= found->second.item.revision) return false;
  if (now < this->settle_until) {
    found->second.drop_at = this->settle_until;
    found->second.item.revision = revision;
    return false;
  }
  this->held.erase(found);
  return true;
}

bool CatalogFollower::RemoveUnlisted(kernel::TimePoint now) {
  bool changed = false;
  for (auto it = this->held.begin(); it != this->held.end();) {
    const bool gone = this->listed.count(it->first) == 0 &&
                      it->second.item.revision <= this->load_revision;
    if (!gone || now < this->settle_until) {
      if (gone) it->second.drop_at = this->settle_until;
      ++it;
      continue;
    }
    it = this->held.erase(it);
    changed = true;
  }
  this->listed.clear();
  return changed;
}

bool CatalogFollower::DropSettled(kernel::TimePoint now) {
  bool changed = false;
  for (auto it = this->held.begin(); it != this->held.end();) {
    const bool drop = it->second.drop_at && now >= *it->second.drop_at;
    it = drop ? this->held.erase(it) : std::next(it);
    changed |= drop;
  }
  if (changed) ++this->drops;
  return changed;
}

void CatalogFollower::OnFailure(kernel::TimePoint now) {
  const int doublings = std::min(this->failures, kMostDoublings);
  ++this->failures;
  const auto longest = std::min(this->limits.longest_pause,
                                this->limits.first_pause * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2,
                                                     longest.count());
  this->retry_at = now + kernel::Millis(jitter(this->random));
}

void CatalogFollower::OnSuccess(kernel::TimePoint now) {
  const bool was_away = this->last_success && this->failures > 0 &&
                        now - *this->last_success > this->limits.outage;
  if (was_away) this->settle_until = now + this->limits.settle;
  this->failures = 0;
  this->last_success = now;
}

void CatalogFollower::BeginLoading() {
  this->stage = Stage::kLoading;
  this->after_key.clear();
  this->listed.clear();
  this->load_revision = 0;
}

void CatalogFollower::AdvanceTo(std::uint64_t revision) {
  if (revision <= this->content_revision) return;
  this->content_revision = revision;
  this->drops = 0;
}

std::uint64_t CatalogFollower::Version() const {
  return this->content_revision * kVersionsPerRevision +
         std::min(this->drops, kVersionsPerRevision - 1);
}

CatalogSnapshot CatalogFollower::Snapshot() const {
  CatalogSnapshot snapshot;
  snapshot.version = this->Version();
  snapshot.items.reserve(this->held.size());
  for (const auto& entry : this->held)
    snapshot.items.push_back(entry.second.item);
  return snapshot;
}

}  // namespace banyanlane::catalog
