#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/time.h"

namespace banyanlane::limits {

/// Prefix of the names under which the attempts at some work are limited. No id
/// of an endpoint begins with it.
inline constexpr std::string_view kWorkPrefix = "work/";

/// Returns the name under which the attempts at some work are limited.
inline std::string WorkResource(const std::string& work) {
  return std::string(kWorkPrefix) + work;
}
/// Returns whether `name` is such a name, and not the id of an endpoint.
inline bool IsWorkResource(std::string_view name) {
  return name.substr(0, kWorkPrefix.size()) == kWorkPrefix;
}

/// Permits for endpoints that have named a limit for the requests of all
/// gateways together, and for work whose attempts the gateways limit.
class IRateLimits {
 public:
  virtual ~IRateLimits() = default;

  /// Returns whether this gateway may send a request to `endpoint` now: it has
  /// no limit, or there is a permit. If there is none, one is requested from
  /// the coordinator.
  virtual bool MaySend(const std::string& endpoint, kernel::TimePoint now) = 0;

  /// Uses the permit for a request to `endpoint`, if it has a limit.
  virtual void OnSent(const std::string& endpoint, kernel::TimePoint now) = 0;

  /// Returns the limit of `endpoint` in requests a second, or nothing.
  virtual std::optional<double> LimitOf(const std::string& endpoint,
                                        kernel::TimePoint now) = 0;

  /// Records what a response of `endpoint` says.
  /// @param per_second limit in requests a second, or nothing if the response
  /// names none.
  /// @param sent_at when the request was sent.
  virtual void OnResponse(const std::string& endpoint,
                          std::optional<double> per_second,
                          kernel::TimePoint sent_at, kernel::TimePoint now) = 0;

  /// Limits the attempts at some work, or ends the limit. Each gateway sets it
  /// by its own knowledge of the work.
  /// @param resource see WorkResource.
  virtual void SetLimit(const std::string& resource,
                        std::optional<double> per_second,
                        kernel::TimePoint now) = 0;

  /// Registers a function that is called when permits have arrived or a limit
  /// has ended. Call it before the gateway serves requests.
  virtual void Subscribe(std::function<void(kernel::TimePoint)> on_permits) = 0;
};

}  // namespace banyanlane::limits
