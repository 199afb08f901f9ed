#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "config/profile.h"

namespace banyanlane::direct {

/// Finds the profile for a host and path.
class RouteTable {
 public:
  explicit RouteTable(config::ConfigPtr config);

  const config::ConfigPtr& config() const { return this->snapshot; }

  /// Returns the profile of `host` with the longest path prefix that `path`
  /// begins with, or null. If no profile has this host, the profiles without a
  /// host are searched.
  /// @param host host as named by a caller, with or without a port.
  const config::Profile* Find(std::string_view host,
                              std::string_view path) const;

 private:
  config::ConfigPtr snapshot;
  /// Profiles by host, then by path prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const config::Profile*>>
      by_host;
};

}  // namespace banyanlane::direct
