#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "catalog/i_catalog_reader.h"

namespace banyanlane::catalog {

/// Step that reads the items after `after_key`.
struct ReadPageStep {
  std::string after_key;
};
/// Step that asks for changes after `after_revision`.
struct WatchStep {
  std::uint64_t after_revision = 0;
  /// Whether the store responds at once instead of waiting for a change, so
  /// that a missing response is noticed soon.
  bool is_check = false;
};
/// Step that does nothing until `until`.
struct PauseStep {
  kernel::TimePoint until;
};
using FollowStep = std::variant<ReadPageStep, WatchStep, PauseStep>;

/// Copy of all items at one point in time.
struct CatalogSnapshot {
  std::vector<CatalogItem> items;
  /// Version number. Increases with the era and the revision of the store, and
  /// with changes at the end of a grace period.
  std::uint64_t version = 0;
};

/// Keeps a copy of all items under one prefix. Does no I/O and is not
/// thread-safe.
///
/// The pages do not form a consistent snapshot, since items can change between
/// them. After the last page, changes are therefore watched from the revision
/// of the first page, and an item is stored only if its revision is higher than
/// the stored one.
///
/// A response of a later era means that the store was restored from an older
/// copy. All items are then read again. An item for which the store has an
/// older revision than is known keeps its known value until it is written again
/// or CatalogLimits::rewrite_grace has passed. Responses of an earlier era are
/// invalid.
class CatalogFollower {
 public:
  /// Returns whether the writer of both items wrote the first one after the
  /// second one, or gave both the same number.
  using IsNewer = std::function<bool(const CatalogItem&, const CatalogItem&)>;

  /// @param seed seed for the jitter of retry pauses.
  /// @param is_newer used to recognise items that were written after a restore
  /// and have revisions that the store has assigned before; may be empty.
  CatalogFollower(const CatalogLimits& limits, std::uint64_t seed,
                  IsNewer is_newer = nullptr)
      : limits(limits), random(seed), is_newer(std::move(is_newer)) {}

  /// Returns the next step to execute.
  FollowStep NextStep(kernel::TimePoint now) const;

  /// Lets the next watch be a check, as it is after a failure.
  void RequestCheck() { this->must_check = true; }

  /// Processes the response to the step that NextStep returned.
  /// @return whether the items changed.
  bool OnResponse(const CatalogResponse& response, kernel::TimePoint now);

  /// Deletes the removed items whose grace period has ended. At the end of
  /// CatalogLimits::rewrite_grace, adopts the items of the restored store.
  /// @return whether the items or their confirmation changed.
  bool EndGracePeriods(kernel::TimePoint now);

  /// Returns whether all items have been read at least once.
  bool IsLoaded() const { return this->loaded; }
  /// Returns the latest era of the store, or 0 if unknown.
  std::uint64_t era() const { return this->current_era; }
  const CatalogLimits& Limits() const { return this->limits; }
  /// Returns whether the last call to the store failed.
  bool IsFailing() const { return this->failures > 0; }
  /// Returns the current items, including removed items in their grace period.
  CatalogSnapshot Snapshot() const;

 private:
  enum class Stage { kLoading, kWatching };
  enum class Source { kPage, kWatch };
  struct StoredItem {
    CatalogItem item;
    /// End of the grace period of a removed item. Not set for other items.
    std::optional<kernel::TimePoint> delete_at;
  };
  /// Removal of an item, which a restored store may list again.
  struct Removal {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    kernel::TimePoint at;
  };
  using StoredItems = std::map<std::string, StoredItem>;

  bool ApplyPage(const CatalogPage& page, kernel::TimePoint now);
  bool ApplyChanges(const CatalogPage& page, kernel::TimePoint now);
  bool ApplyItem(const CatalogItem& item, Source source);
  /// Returns whether `item`, listed by a restored store, is older than what was
  /// known in the previous era.
  bool IsOlderCopy(const CatalogItem& item) const;
  bool RemoveItem(const std::string& key, std::uint64_t revision,
                  kernel::TimePoint now);
  bool RemoveUnlisted(kernel::TimePoint now);
  StoredItems::iterator Erase(StoredItems::iterator entry,
                              kernel::TimePoint now);
  /// Adopts the items that were kept back during the rewrite grace period.
  /// @return whether any item changed.
  bool AdoptOlderCopies();
  /// Processes the era of a response.
  /// @return false if the response must not be used any further.
  bool CheckEra(const CatalogResponse& response, kernel::TimePoint now);
  void BeginEra(kernel::TimePoint now);
  void OnFailure(kernel::TimePoint now);
  void OnSuccess(kernel::TimePoint now);
  void BeginLoading();
  std::uint64_t Version() const;
  void AdvanceContentRevision(std::uint64_t revision);

  CatalogLimits limits;
  std::minstd_rand random;
  IsNewer is_newer;
  Stage stage = Stage::kLoading;
  StoredItems stored_items;
  /// Recent removals, by key.
  std::map<std::string, Removal> removals;
  /// Items of the restored store that are kept back until `rewrite_until`.
  std::map<std::string, CatalogItem> older_copies;
  std::uint64_t current_era = 0;
  /// End of the rewrite grace period of the current era.
  kernel::TimePoint rewrite_until;
  /// Whether the rewrite grace period has ended.
  bool settled = false;
  /// Keys of the items in the pages that the current load has read. Only the
  /// keys are used; the values are the revisions of the items.
  std::map<std::string, std::uint64_t> listed_revisions;
  std::string after_key;
  /// Revision of the first page of the current load, or 0 before that page.
  std::uint64_t load_revision = 0;
  /// Whether pages since the last complete load have changed items.
  bool load_changed = false;
  std::uint64_t watch_revision = 0;  ///< Start revision of the next watch.
  /// Latest store revision that `stored_items` includes.
  std::uint64_t content_revision = 0;
  /// Number of changes at the end of grace periods since `content_revision`
  /// last increased.
  std::uint64_t late_changes = 0;
  bool loaded = false;
  bool must_check = false;     ///< Whether the next watch is a check.
  int failures = 0;            ///< Failed calls since the last success.
  kernel::TimePoint retry_at;  ///< End of the pause after a failure.
  std::optional<kernel::TimePoint> last_success;
  /// End of the grace period after the latest outage. Items that the store
  /// removes before this time are deleted then, unless they reappear.
  kernel::TimePoint grace_until;
};

}  // namespace banyanlane::catalog
