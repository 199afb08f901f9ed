#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "catalog/internal/catalog_follower.h"

namespace banyanlane::catalog {

/// Carries out the steps of one follower, one call at a time.
class FollowerDriver : public std::enable_shared_from_this<FollowerDriver> {
 public:
  using Changed = std::function<void(const CatalogSnapshot&)>;

  /// @param changed called with each new state of the items, without a lock.
  FollowerDriver(std::shared_ptr<ICatalog> catalog, std::string prefix,
                 const CatalogLimits& limits, std::uint64_t seed,
                 Changed changed);

  /// Begins the next step if none is under way.
  void OnTick(kernel::TimePoint now);

  /// Gives up the watch under way and begins it anew: it may be silent.
  void Renew(kernel::TimePoint now);

  void Stop();

 private:
  void Begin(kernel::TimePoint now);
  void OnAnswer(std::uint64_t number, const CatalogResponse& answer,
                kernel::TimePoint now);
  void LogReachability(bool was_failing, const CatalogResponse& answer) const;

  std::shared_ptr<ICatalog> catalog;
  std::string prefix;
  CatalogLimits limits;
  Changed changed;
  std::mutex mutex;
  CatalogFollower follower;
  std::shared_ptr<ICatalogCall> call;
  std::uint64_t calls = 0;  ///< Number of the call under way.
  bool under_way = false;
  bool watching = false;  ///< The call under way is a watch.
  kernel::TimePoint renewed_at;
  bool stopped = false;
};

}  // namespace banyanlane::catalog
