#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "limits/i_rate_limits.h"

namespace banyanlane::direct {

/// Limits whose permits a test sets.
class StubLimits : public limits::IRateLimits {
 public:
  bool MaySend(const std::string& endpoint,
               kernel::TimePoint /*now*/) override {
    const auto found = this->permits.find(endpoint);
    return found == this->permits.end() || found->second > 0;
  }
  void OnSent(const std::string& endpoint, kernel::TimePoint /*now*/) override {
    const auto found = this->permits.find(endpoint);
    if (found != this->permits.end()) --found->second;
  }
  std::optional<double> LimitOf(const std::string& endpoint,
                                kernel::TimePoint /*now*/) override {
    return this->permits.count(endpoint) != 0 ? std::optional(1.0)
                                              : std::nullopt;
  }
  void OnResponse(const std::string& /*endpoint*/,
                  std::optional<double> /*per_second*/,
                  kernel::TimePoint /*sent_at*/,
                  kernel::TimePoint /*now*/) override {}
  void SetLimit(const std::string& resource, std::optional<double> per_second,
                kernel::TimePoint /*now*/) override {
    if (per_second) this->permits[resource] = 0;
    if (!per_second) this->permits.erase(resource);
  }
  void Subscribe(
      std::function<void(kernel::TimePoint)> /*on_permits*/) override {}

  std::map<std::string, int> permits;  ///< By the names that have a limit.
};

}  // namespace banyanlane::direct
