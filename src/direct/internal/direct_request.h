#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "config/profile.h"
#include "http/http_types.h"

namespace banyanlane::direct {

/// A checked request, and how its profile wants it treated.
struct DirectRequest {
  config::ConfigPtr config;  ///< Keeps `profile` alive.
  const config::Profile* profile = nullptr;
  std::string service;  ///< Drawn from the profile's split.
  std::string request_id;
  std::string organisation;
  std::int64_t urgency = 0;      ///< 0 comes first.
  std::int64_t deadline_ms = 0;  ///< The caller's, from the arrival.
  std::optional<std::uint64_t> last_event_id;
  http::HttpRequest message;

  /// Returns whether it may run again after it may have run.
  bool IsRepeatable() const {
    return this->profile->repeatable || this->profile->resumable;
  }
};

}  // namespace banyanlane::direct
