#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/http_types.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Why a request is given up on, told to its caller.
struct Problem {
  int status = 503;
  link::Outcome outcome =
      link::Outcome::kNotRun;  ///< Of the request, over all its sendings.
  /// Of this sending alone, where that is known and differs.
  std::optional<link::Outcome> attempt_outcome;
  std::string reason;
  std::string step;
  std::string peer;
  std::string detail;
  std::optional<std::uint64_t> retry_after_ms;
  std::string next_key;  ///< Key to use when the request is sent again, if it
                         ///< needs a new one.
};

/// Returns the response in the form application/problem+json.
http::HttpResponse ToResponse(const Problem& problem);

/// Returns the HTTP status that fits `reason` and `outcome`.
int StatusFor(link::Reason reason, link::Outcome outcome);

}  // namespace banyanlane::entry
