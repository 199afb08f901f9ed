#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "catalog/internal/catalog_follower.h"

namespace banyanlane::catalog {

/// Executes the steps of one CatalogFollower, one call at a time.
class FollowerDriver : public std::enable_shared_from_this<FollowerDriver> {
 public:
  using ChangeHandler = std::function<void(const CatalogSnapshot&)>;

  /// @param prefix key prefix of the items.
  /// @param on_changed called without a lock with each new state of the items.
  FollowerDriver(std::shared_ptr<ICatalog> catalog, std::string prefix,
                 CatalogFollower follower, ChangeHandler on_changed);

  /// Deletes items whose grace period has ended, and starts the next step
  /// unless a call is in progress.
  void OnTick(kernel::TimePoint now);

  /// Cancels the current watch and starts a new one, since the connection of a
  /// watch can be broken without an error. Does nothing if there is no watch or
  /// if the last restart was too recent.
  void RestartWatch(kernel::TimePoint now);

  void Stop();

 private:
  /// Starts the next step of the follower. Requires the lock.
  void Begin(kernel::TimePoint now);
  void OnResponse(std::uint64_t number, const CatalogResponse& response,
                  kernel::TimePoint now);
  void LogReachability(bool was_failing, const CatalogResponse& response) const;
  /// Logs that the store was restored if its era is not `previous_era`.
  void LogRestore(std::uint64_t previous_era) const;

  std::shared_ptr<ICatalog> catalog;
  std::string prefix;
  ChangeHandler on_changed;
  std::mutex mutex;
  CatalogFollower follower;
  std::shared_ptr<ICatalogCall> call;
  std::uint64_t call_number = 0;  ///< Responses to other calls are ignored.
  bool call_in_progress = false;
  bool watching = false;  ///< Whether the current call is a watch.
  kernel::TimePoint restarted_at;
  bool stopped = false;
};

}  // namespace banyanlane::catalog
