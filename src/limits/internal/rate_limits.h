#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limits/i_rate_limits.h"
#include "limits/internal/shared_rate_limits.h"
#include "link/i_link.h"

namespace banyanlane::limits {

/// Exchanges limits and permits with the gateways that this one is linked to.
class RateLimits : public IRateLimits, public link::ILinkObserver {
 public:
  /// @param own number of this process, different for each start of one.
  RateLimits(std::uint64_t own, const PermitLimits& limits)
      : shared(own, limits) {}

  bool MaySend(const std::string& endpoint, kernel::TimePoint now) override;
  void OnSent(const std::string& endpoint, kernel::TimePoint now) override;
  std::optional<double> LimitOf(const std::string& endpoint,
                                kernel::TimePoint now) override;
  void OnResponse(const std::string& endpoint, std::optional<double> per_second,
                  kernel::TimePoint sent_at, kernel::TimePoint now) override;
  void SetLimit(const std::string& resource, std::optional<double> per_second,
                kernel::TimePoint now) override;
  void Subscribe(std::function<void(kernel::TimePoint)> on_permits) override;

  void OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) override;
  void OnMessage(const link::LinkPtr& link, link::Message message,
                 kernel::TimePoint now) override;
  void OnLinkDown(const link::LinkPtr& link, kernel::TimePoint now) override;

  /// Forgets the limits of all other endpoints.
  void Retain(const std::set<std::string>& endpoints);
  /// Hands out and requests permits.
  /// @param reach see SharedRateLimits::SetReach.
  void OnTick(double reach, kernel::TimePoint now);
  /// Returns whether any endpoint has a limit, or had one recently.
  bool IsActive() const { return this->is_active; }

 private:
  /// Calls `update` under the mutex, then sends the resulting messages.
  template <typename Update>
  void Apply(kernel::TimePoint now, Update update);

  std::atomic<bool> is_active{false};
  std::function<void(kernel::TimePoint)> on_permits;
  std::mutex mutex;  ///< Guards the members below.
  SharedRateLimits shared;
  std::map<std::uint64_t, link::LinkPtr> links;
};

}  // namespace banyanlane::limits
