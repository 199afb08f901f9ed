#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "catalog/i_catalog_reader.h"

namespace banyanlane::catalog {

/// Read the items after `after_key`.
struct ReadPageStep {
  std::string after_key;
};
/// Wait for changes after `after_revision`.
struct WatchStep {
  std::uint64_t after_revision = 0;
};
/// Do nothing until `until`.
struct PauseStep {
  kernel::TimePoint until;
};
using FollowStep = std::variant<ReadPageStep, WatchStep, PauseStep>;

/// All items at one moment.
struct CatalogSnapshot {
  std::vector<CatalogItem> items;
  std::uint64_t version =
      0;  ///< Higher for what is known from later revisions.
};

/// Keeps a copy of all items under one prefix. I/O-free; not thread-safe.
///
/// Pages are no snapshot: after the last one, changes are followed from the
/// revision of the first page, and each item is taken only if its revision is
/// higher than the one known.
class CatalogFollower {
 public:
  CatalogFollower(const CatalogLimits& limits, std::uint64_t seed)
      : limits(limits), random(seed) {}

  /// Returns what to do next.
  FollowStep Next(kernel::TimePoint now) const;

  /// Takes the answer to the step that Next returned. @return whether the
  /// items changed.
  bool OnAnswer(const CatalogResponse& answer, kernel::TimePoint now);

  /// Removes the items whose settling time is over. @return whether there were
  /// any.
  bool DropSettled(kernel::TimePoint now);

  /// Returns whether all items have been read at least once.
  bool IsLoaded() const { return this->loaded; }
  /// Returns whether the last call failed.
  bool IsFailing() const { return this->failures > 0; }
  /// Returns the items, without the removed ones.
  CatalogSnapshot Snapshot() const;

 private:
  enum class Stage { kLoading, kWatching };
  struct Held {
    CatalogItem item;
    /// When a removed item is dropped; other items have none.
    std::optional<kernel::TimePoint> drop_at;
  };

  bool TakePage(const CatalogPage& page, kernel::TimePoint now);
  bool TakeChanges(const CatalogPage& page, kernel::TimePoint now);
  bool Take(const CatalogItem& item, kernel::TimePoint now);
  bool Remove(const std::string& key, std::uint64_t revision,
              kernel::TimePoint now);
  bool RemoveUnlisted(kernel::TimePoint now);
  void OnFailure(kernel::TimePoint now);
  void OnSuccess(kernel::TimePoint now);
  void BeginLoading();
  std::uint64_t Version() const;
  void AdvanceTo(std::uint64_t revision);

  CatalogLimits limits;
  std::minstd_rand random;
  Stage stage = Stage::kLoading;
  std::map<std::string, Held> held;
  std::map<std::string, std::uint64_t> listed;  ///< Keys of the pages so far.
  std::string after_key;
  std::uint64_t load_revision = 0;     ///< Of the first page.
  std::uint64_t watch_revision = 0;    ///< Changes after it are not known yet.
  std::uint64_t content_revision = 0;  ///< Latest change in `held`.
  std::uint64_t drops = 0;             ///< Since that revision.
  bool loaded = false;
  int failures = 0;
  kernel::TimePoint retry_at;
  std::optional<kernel::TimePoint> last_success;
  kernel::TimePoint settle_until;
};

}  // namespace banyanlane::catalog
