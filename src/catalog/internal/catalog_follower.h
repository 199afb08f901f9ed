#pragma once

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
/// Step that waits for changes after `after_revision`.
struct WatchStep {
  std::uint64_t after_revision = 0;
};
/// Step that does nothing until `until`.
struct PauseStep {
  kernel::TimePoint until;
};
using FollowStep = std::variant<ReadPageStep, WatchStep, PauseStep>;

/// Copy of all items at one point in time.
struct CatalogSnapshot {
  std::vector<CatalogItem> items;
  /// Version number. Increases with the revision of the store, and with
  /// deletions at the end of a grace period.
  std::uint64_t version = 0;
};

/// Keeps a copy of all items under one prefix. Does no I/O and is not
/// thread-safe.
///
/// The pages do not form a consistent snapshot, since items can change between
/// them. After the last page, changes are therefore watched from the revision
/// of the first page, and an item is stored only if its revision is higher than
/// the stored one.
class CatalogFollower {
 public:
  CatalogFollower(const CatalogLimits& limits, std::uint64_t seed)
      : limits(limits), random(seed) {}

  /// Returns the next step to execute.
  FollowStep NextStep(kernel::TimePoint now) const;

  /// Processes the response to the step that NextStep returned.
  /// @return whether the items changed.
  bool OnResponse(const CatalogResponse& response, kernel::TimePoint now);

  /// Deletes the removed items whose grace period has ended.
  /// @return whether any item was deleted.
  bool DeleteExpired(kernel::TimePoint now);

  /// Returns whether all items have been read at least once.
  bool IsLoaded() const { return this->loaded; }
  /// Returns whether the last call to the store failed.
  bool IsFailing() const { return this->failures > 0; }
  /// Returns the current items, including removed items in their grace period.
  CatalogSnapshot Snapshot() const;

 private:
  enum class Stage { kLoading, kWatching };
  struct StoredItem {
    CatalogItem item;
    /// End of the grace period of a removed item. Not set for other items.
    std::optional<kernel::TimePoint> delete_at;
  };

  bool ApplyPage(const CatalogPage& page, kernel::TimePoint now);
  bool ApplyChanges(const CatalogPage& page, kernel::TimePoint now);
  bool ApplyItem(const CatalogItem& item, kernel::TimePoint now);
  bool RemoveItem(const std::string& key, std::uint64_t revision,
                  kernel::TimePoint now);
  bool RemoveUnlisted(kernel::TimePoint now);
  void OnFailure(kernel::TimePoint now);
  void OnSuccess(kernel::TimePoint now);
  void BeginLoading();
  std::uint64_t Version() const;
  void AdvanceContentRevision(std::uint64_t revision);

  CatalogLimits limits;
  std::minstd_rand random;
  Stage stage = Stage::kLoading;
  std::map<std::string, StoredItem> stored_items;
  /// Keys of the items in the pages that the current load has read. Only the
  /// keys are used; the values are the revisions of the items.
  std::map<std::string, std::uint64_t> listed_revisions;
  std::string after_key;
  /// Revision of the first page of the current load, or 0 before that page.
  std::uint64_t load_revision = 0;
  std::uint64_t watch_revision = 0;  ///< Start revision of the next watch.
  /// Latest store revision that `stored_items` includes.
  std::uint64_t content_revision = 0;
  /// Number of DeleteExpired calls that deleted items since `content_revision`
  /// last increased.
  std::uint64_t deletions = 0;
  bool loaded = false;
  int failures = 0;            ///< Failed calls since the last success.
  kernel::TimePoint retry_at;  ///< End of the pause after a failure.
  std::optional<kernel::TimePoint> last_success;
  /// End of the grace period after the latest outage. Items that the store
  /// removes before this time are deleted then, unless they reappear.
  kernel::TimePoint grace_until;
};

}  // namespace banyanlane::catalog
