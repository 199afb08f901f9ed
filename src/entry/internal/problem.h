#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/http_types.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Reason why a request failed, as reported to its caller.
struct Problem {
  int status = 503;  ///< HTTP status.
  /// Outcome of the request over all attempts of the caller.
  link::Outcome outcome = link::Outcome::kNotRun;
  /// Outcome of this attempt of the caller, if it is known and differs.
  std::optional<link::Outcome> attempt_outcome;
  std::string reason;
  std::string step;  ///< Step of the request's handling that failed.
  std::string peer;  ///< Node of the agent; empty if none was selected.
  std::string detail;
  std::optional<std::uint64_t> retry_after_ms;
  std::string next_key;  ///< Idempotency key for a retry that needs a new one.
};

/// Returns the response of type application/problem+json.
http::HttpResponse ToResponse(const Problem& problem);

/// Returns the HTTP status for `reason` and `outcome`.
int StatusFor(link::Reason reason, link::Outcome outcome);

}  // namespace banyanlane::entry
