#include "catalog/internal/catalog_follower.h"

#include <algorithm>

namespace banyanlane::catalog {
namespace {

/// Maximum number of times that the pause is doubled. Prevents an overflow of
/// the shift; with the default limits, the pause reaches its maximum earlier.
constexpr int kMaxDoublings = 10;
/// Number of versions for each store revision: one for the revision itself, and
/// 15 for deletions at the end of a grace period, which change the items
/// without a new revision. Later deletions at the same revision share the
/// last version.
constexpr std::uint64_t kVersionsPerRevision = 16;

}  // namespace

FollowStep CatalogFollower::NextStep(kernel::TimePoint now) const {
  if (this->failures > 0 && now < this->retry_at)
    return PauseStep{this->retry_at};
  if (this->stage == Stage::kLoading) return ReadPageStep{this->after_key};
  return WatchStep{this->watch_revision};
}

bool CatalogFollower::OnResponse(const CatalogResponse& response,
                                 kernel::TimePoint now) {
  if (std::holds_alternative<kernel::Error>(response)) {
    this->OnFailure(now);
    return false;
  }
  if (std::holds_alternative<HistoryUnavailable>(response)) {
    this->OnSuccess(now);
    this->BeginLoading();
    return false;
  }
  const auto& page = std::get<CatalogPage>(response);
  const bool is_older = page.revision < this->watch_revision ||
                        page.revision < this->load_revision;
  if (is_older) {
    // The revision of the store never decreases, so this response is invalid.
    this->OnFailure(now);
    return false;
  }
  this->OnSuccess(now);
  return this->stage == Stage::kLoading ? this->ApplyPage(page, now)
                                        : this->ApplyChanges(page, now);
}

bool CatalogFollower::ApplyPage(const CatalogPage& page,
                                kernel::TimePoint now) {
  if (this->load_revision == 0) this->load_revision = page.revision;
  bool changed = false;
  for (const CatalogItem& item : page.items) {
    this->listed_revisions[item.key] = item.revision;
    this->after_key = std::max(this->after_key, item.key);
    changed |= this->ApplyItem(item, now);
  }
  if (page.more && !page.items.empty()) return changed;
  changed |= this->RemoveUnlisted(now);
  changed |= !this->loaded;
  this->AdvanceContentRevision(this->load_revision);
  this->watch_revision = std::max(this->watch_revision, this->load_revision);
  this->load_revision = 0;
  this->loaded = true;
  this->stage = Stage::kWatching;
  return changed;
}

bool CatalogFollower::ApplyChanges(const CatalogPage& page,
                                   kernel::TimePoint now) {
  bool changed = false;
  for (const CatalogItem& item : page.items) {
    changed |= item.removed ? this->RemoveItem(item.key, item.revision, now)
                            : this->ApplyItem(item, now);
    this->AdvanceContentRevision(item.revision);
  }
  this->watch_revision = page.revision;
  return changed;
}

bool CatalogFollower::ApplyItem(const CatalogItem& item,
                                kernel::TimePoint /*now*/) {
  StoredItem& stored = this->stored_items[item.key];
  const bool newer = item.revision > stored.item.revision;
  const bool reappeared =
      stored.delete_at && item.revision >= stored.item.revision;
  if (!newer && !reappeared) return false;
  const bool unchanged = stored.item.value == item.value && !stored.delete_at;
  stored.item = item;
  stored.delete_at.reset();
  return !unchanged;
}

bool CatalogFollower::RemoveItem(const std::string& key, std::uint64_t revision,
                                 kernel::TimePoint now) {
  const auto found = this->stored_items.find(key);
  if (found == this->stored_items.end()) return false;
  if (revision <= found->second.item.revision) return false;
  if (now < this->grace_until) {
    found->second.delete_at = this->grace_until;
    found->second.item.revision = revision;
    return false;
  }
  this->stored_items.erase(found);
  return true;
}

bool CatalogFollower::RemoveUnlisted(kernel::TimePoint now) {
  bool changed = false;
  for (auto it = this->stored_items.begin(); it != this->stored_items.end();) {
    const bool is_removed = this->listed_revisions.count(it->first) == 0 &&
                            it->second.item.revision <= this->load_revision;
    if (!is_removed || now < this->grace_until) {
      if (is_removed) it->second.delete_at = this->grace_until;
      ++it;
      continue;
    }
    it = this->stored_items.erase(it);
    changed = true;
  }
  this->listed_revisions.clear();
  return changed;
}

bool CatalogFollower::DeleteExpired(kernel::TimePoint now) {
  bool changed = false;
  for (auto it = this->stored_items.begin(); it != this->stored_items.end();) {
    const bool is_expired =
        it->second.delete_at && now >= *it->second.delete_at;
    it = is_expired ? this->stored_items.erase(it) : std::next(it);
    changed |= is_expired;
  }
  if (changed) ++this->deletions;
  return changed;
}

void CatalogFollower::OnFailure(kernel::TimePoint now) {
  const int doublings = std::min(this->failures, kMaxDoublings);
  ++this->failures;
  const auto pause = std::min(this->limits.max_pause,
                              this->limits.min_pause * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2,
                                                     pause.count());
  this->retry_at = now + kernel::Millis(jitter(this->random));
}

void CatalogFollower::OnSuccess(kernel::TimePoint now) {
  const bool had_outage = this->last_success && this->failures > 0 &&
                          now - *this->last_success > this->limits.min_outage;
  if (had_outage) this->grace_until = now + this->limits.removal_grace;
  this->failures = 0;
  this->last_success = now;
}

void CatalogFollower::BeginLoading() {
  this->stage = Stage::kLoading;
  this->after_key.clear();
  this->listed_revisions.clear();
  this->load_revision = 0;
}

void CatalogFollower::AdvanceContentRevision(std::uint64_t revision) {
  if (revision <= this->content_revision) return;
  this->content_revision = revision;
  this->deletions = 0;
}

std::uint64_t CatalogFollower::Version() const {
  return this->content_revision * kVersionsPerRevision +
         std::min(this->deletions, kVersionsPerRevision - 1);
}

CatalogSnapshot CatalogFollower::Snapshot() const {
  CatalogSnapshot snapshot;
  snapshot.version = this->Version();
  snapshot.items.reserve(this->stored_items.size());
  for (const auto& entry : this->stored_items)
    snapshot.items.push_back(entry.second.item);
  return snapshot;
}

}  // namespace banyanlane::catalog
