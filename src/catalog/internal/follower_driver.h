#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "catalog/internal/catalog_follower.h"
#include "catalog/internal/contact_monitor.h"

namespace banyanlane::catalog {

/// The monitor of one prefix, and the place of this process among all that
/// share it.
struct SharedContact {
  ContactMonitor* monitor = nullptr;  ///< Outlives the users of this struct.
  /// Returns the number of processes that ask the store before this one.
  std::function<std::size_t()> rank;
};

/// Executes the steps of one CatalogFollower, one call at a time.
class FollowerDriver : public std::enable_shared_from_this<FollowerDriver> {
 public:
  using ChangeHandler = std::function<void(const CatalogSnapshot&)>;
  using ClockFunction = std::function<kernel::TimePoint()>;

  /// @param prefix key prefix of the items.
  /// @param on_changed called without a lock with each new state of the items.
  /// @param contact decides when a watch is replaced by a check.
  /// @param clock returns the time at which a response arrives.
  FollowerDriver(std::shared_ptr<ICatalog> catalog, std::string prefix,
                 CatalogFollower follower, ChangeHandler on_changed,
                 SharedContact contact,
                 ClockFunction clock = kernel::Clock::now);

  /// Deletes items whose grace period has ended, starts the next step unless a
  /// call is in progress, and replaces a watch by a check when one is due.
  void OnTick(kernel::TimePoint now);

  /// Cancels the current watch and starts a new one, since the connection of a
  /// watch can be broken without an error. Does nothing if there is no watch or
  /// if the last restart was too recent.
  void RestartWatch(kernel::TimePoint now);

  void Stop();

 private:
  /// Replaces a waiting watch by a check if the store is overdue. Requires the
  /// lock.
  void CheckIfDue(kernel::TimePoint now);
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
  SharedContact contact;
  ClockFunction clock;
  std::mutex mutex;
  CatalogFollower follower;
  std::shared_ptr<ICatalogCall> call;
  std::uint64_t call_number = 0;  ///< Responses to other calls are ignored.
  bool call_in_progress = false;
  /// Whether the current call is a watch, and not a check.
  bool watching = false;
  kernel::TimePoint restarted_at;
  bool stopped = false;
};

}  // namespace banyanlane::catalog
