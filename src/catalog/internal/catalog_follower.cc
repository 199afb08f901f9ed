#include "catalog/internal/catalog_follower.h"

#include <algorithm>

namespace banyanlane::catalog {
namespace {

/// Maximum number of times that the pause is doubled. Prevents an overflow of
/// the shift; with the default limits, the pause reaches its maximum earlier.
constexpr int kMaxDoublings = 10;
/// Number of versions for each store revision: one for the revision itself, and
/// 15 for changes at the end of a grace period, which come without a new
/// revision. Later changes at the same revision share the last version.
constexpr std::uint64_t kVersionsPerRevision = 16;
/// Position of the era in a version number, above the versions of all
/// revisions.
constexpr int kEraShift = 48;
/// Time for which removals are remembered. Copies from which a store is
/// restored are some seconds old.
constexpr kernel::Millis kRemovalMemory{60'000};

std::optional<std::uint64_t> EraOf(const CatalogResponse& response) {
  if (const auto* page = std::get_if<CatalogPage>(&response)) return page->era;
  if (const auto* gone = std::get_if<HistoryUnavailable>(&response))
    return gone->era;
  return std::nullopt;
}

}  // namespace

FollowStep CatalogFollower::NextStep(kernel::TimePoint now) const {
  if (this->failures > 0 && now < this->retry_at)
    return PauseStep{this->retry_at};
  if (this->stage == Stage::kLoading) return ReadPageStep{this->after_key};
  return WatchStep{this->watch_revision, this->must_check};
}

bool CatalogFollower::OnResponse(const CatalogResponse& response,
                                 kernel::TimePoint now) {
  if (std::holds_alternative<kernel::Error>(response)) {
    this->OnFailure(now);
    return false;
  }
  if (!this->CheckEra(response, now)) return false;
  if (std::holds_alternative<HistoryUnavailable>(response)) {
    this->OnSuccess(now);
    this->BeginLoading();
    return false;
  }
  const auto& page = std::get<CatalogPage>(response);
  const bool is_older = page.revision < this->watch_revision ||
                        page.revision < this->load_revision;
  if (is_older) {
    // Within an era, the revision of the store never decreases.
    this->OnFailure(now);
    return false;
  }
  this->OnSuccess(now);
  return this->stage == Stage::kLoading ? this->ApplyPage(page, now)
                                        : this->ApplyChanges(page, now);
}

bool CatalogFollower::CheckEra(const CatalogResponse& response,
                               kernel::TimePoint now) {
  const std::uint64_t era = EraOf(response).value_or(this->current_era);
  if (era == this->current_era) return true;
  if (era < this->current_era) {
    this->OnFailure(now);
    return false;
  }
  const bool is_first = this->current_era == 0 && !this->loaded;
  this->current_era = era;
  this->rewrite_until = now + this->limits.rewrite_grace;
  this->settled = false;
  if (is_first) return true;
  this->OnSuccess(now);
  this->BeginEra(now);
  return false;
}

void CatalogFollower::BeginEra(kernel::TimePoint now) {
  this->BeginLoading();
  this->watch_revision = 0;
  this->content_revision = 0;
  this->late_changes = 0;
  this->older_copies.clear();
  this->grace_until =
      std::max(this->grace_until, now + this->limits.removal_grace);
}

bool CatalogFollower::ApplyPage(const CatalogPage& page,
                                kernel::TimePoint now) {
  if (this->load_revision == 0) this->load_revision = page.revision;
  for (const CatalogItem& item : page.items) {
    this->listed_revisions[item.key] = item.revision;
    this->after_key = std::max(this->after_key, item.key);
    this->load_changed |= this->ApplyItem(item, Source::kPage);
  }
  // The version increases with the last page, and a state is only adopted with
  // a higher version.
  if (page.more && !page.items.empty()) return false;
  const bool has_removed = this->RemoveUnlisted(now);
  const bool changed = this->load_changed || has_removed || !this->loaded;
  this->load_changed = false;
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
                            : this->ApplyItem(item, Source::kWatch);
    this->AdvanceContentRevision(item.revision);
  }
  this->watch_revision = page.revision;
  return changed;
}

bool CatalogFollower::ApplyItem(const CatalogItem& item, Source source) {
  this->older_copies.erase(item.key);
  if (source == Source::kPage && this->IsOlderCopy(item)) {
    this->older_copies[item.key] = item;
    return false;
  }
  this->removals.erase(item.key);
  StoredItem& stored = this->stored_items[item.key];
  const bool newer = stored.item.era < this->current_era ||
                     item.revision > stored.item.revision;
  const bool reappeared =
      stored.delete_at && item.revision >= stored.item.revision;
  if (!newer && !reappeared) return false;
  const bool unchanged = stored.item.value == item.value && !stored.delete_at;
  stored.item = item;
  stored.item.era = this->current_era;
  stored.item.confirmed = source == Source::kWatch || this->settled;
  stored.delete_at.reset();
  return !unchanged;
}

bool CatalogFollower::IsOlderCopy(const CatalogItem& item) const {
  if (this->settled) return false;
  const auto removal = this->removals.find(item.key);
  if (removal != this->removals.end() &&
      removal->second.era < this->current_era &&
      removal->second.revision > item.revision)
    return true;
  const auto stored = this->stored_items.find(item.key);
  if (stored == this->stored_items.end()) return false;
  const CatalogItem& known = stored->second.item;
  const bool is_older =
      known.era < this->current_era && known.revision > item.revision;
  return is_older && !(this->is_newer && this->is_newer(item, known));
}

bool CatalogFollower::RemoveItem(const std::string& key, std::uint64_t revision,
                                 kernel::TimePoint now) {
  this->older_copies.erase(key);
  const auto found = this->stored_items.find(key);
  if (found == this->stored_items.end()) return false;
  const CatalogItem& stored = found->second.item;
  const bool is_older =
      stored.era == this->current_era && revision <= stored.revision;
  if (is_older) return false;
  found->second.item.revision = revision;
  found->second.item.era = this->current_era;
  if (now < this->grace_until) {
    found->second.delete_at = this->grace_until;
    return false;
  }
  this->Erase(found, now);
  return true;
}

CatalogFollower::StoredItems::iterator CatalogFollower::Erase(
    StoredItems::iterator entry, kernel::TimePoint now) {
  const std::uint64_t revision =
      std::max(entry->second.item.revision, this->content_revision);
  this->removals[entry->first] = {this->current_era, revision, now};
  return this->stored_items.erase(entry);
}

bool CatalogFollower::RemoveUnlisted(kernel::TimePoint now) {
  bool changed = false;
  for (auto it = this->stored_items.begin(); it != this->stored_items.end();) {
    const bool is_newer_than_load =
        it->second.item.era == this->current_era &&
        it->second.item.revision > this->load_revision;
    const bool is_removed =
        this->listed_revisions.count(it->first) == 0 && !is_newer_than_load;
    if (!is_removed || now < this->grace_until) {
      if (is_removed) it->second.delete_at = this->grace_until;
      ++it;
      continue;
    }
    it = this->Erase(it, now);
    changed = true;
  }
  this->listed_revisions.clear();
  return changed;
}

bool CatalogFollower::EndGracePeriods(kernel::TimePoint now) {
  for (auto it = this->removals.begin(); it != this->removals.end();) {
    const bool is_forgotten = now - it->second.at > kRemovalMemory;
    it = is_forgotten ? this->removals.erase(it) : std::next(it);
  }
  bool changed = false;
  for (auto it = this->stored_items.begin(); it != this->stored_items.end();) {
    const bool is_expired =
        it->second.delete_at && now >= *it->second.delete_at;
    it = is_expired ? this->Erase(it, now) : std::next(it);
    changed |= is_expired;
  }
  const bool settles =
      !this->settled && this->loaded && now >= this->rewrite_until;
  if (settles) changed |= this->AdoptOlderCopies();
  if (changed) ++this->late_changes;
  return changed || settles;
}

bool CatalogFollower::AdoptOlderCopies() {
  this->settled = true;
  const auto copies = std::move(this->older_copies);
  this->older_copies.clear();
  bool changed = false;
  for (const auto& entry : copies)
    changed |= this->ApplyItem(entry.second, Source::kPage);
  for (auto& entry : this->stored_items) entry.second.item.confirmed = true;
  return changed;
}

void CatalogFollower::OnFailure(kernel::TimePoint now) {
  const int doublings = std::min(this->failures, kMaxDoublings);
  ++this->failures;
  this->must_check = true;
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
  this->must_check = false;
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
  this->late_changes = 0;
}

std::uint64_t CatalogFollower::Version() const {
  return (this->current_era << kEraShift) +
         this->content_revision * kVersionsPerRevision +
         std::min(this->late_changes, kVersionsPerRevision - 1);
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
