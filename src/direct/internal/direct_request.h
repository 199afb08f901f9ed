#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/profile.h"
#include "http/http_types.h"
#include "kernel/time.h"

namespace banyanlane::direct {

/// Longest time limit of a request. Longer ones are shortened to it, so that
/// no point in time overflows. It also bounds the calls of requests without a
/// limit.
inline constexpr kernel::Millis kMaxTimeLimit = std::chrono::hours(24);

/// A validated request and its treatment according to its profile.
struct DirectRequest {
  config::ConfigPtr config;  ///< Keeps `profile` alive.
  const config::Profile* profile = nullptr;
  /// Service picked by the weights of the profile's split.
  std::string service;
  std::string request_id;
  std::string organisation;
  std::int64_t urgency = 0;  ///< 0 is the most urgent.
  /// Milliseconds from the arrival to the caller's deadline, if the caller has
  /// one.
  std::optional<std::int64_t> deadline_ms;
  std::optional<std::uint64_t> last_event_id;
  http::HttpRequest message;
  /// Keys that this request shares with others that may crash endpoints in the
  /// same way.
  std::vector<std::string> work_keys;

  /// Returns the longest time from the arrival to the end of the response: the
  /// caller's deadline or the profile's, whichever comes first. Returns nothing
  /// if neither is known.
  std::optional<kernel::Millis> TimeLimit() const {
    const std::int64_t bound = this->profile->deadline_ms;
    if (bound <= 0 && !this->deadline_ms) return std::nullopt;
    std::int64_t limit = kMaxTimeLimit.count();
    if (bound > 0) limit = std::min(limit, bound);
    if (this->deadline_ms) limit = std::min(limit, *this->deadline_ms);
    return kernel::Millis(std::max<std::int64_t>(0, limit));
  }

  /// Returns whether a successful response consists of events.
  bool ExpectsEvents() const {
    return this->profile->streaming &&
           this->message.method != http::kHeadMethod;
  }

  /// Returns whether the request may run again after an attempt that may have
  /// run.
  bool IsRepeatable() const {
    return this->profile->repeatable || this->profile->resumable;
  }
};

}  // namespace banyanlane::direct
