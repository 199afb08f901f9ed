#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "config/profile.h"
#include "entry/internal/problem.h"
#include "http/http_types.h"

namespace banyanlane::entry {

/// Validated request of a caller.
struct CallerRequest {
  config::ConfigPtr config;  ///< Owner of `profile`.
  const config::Profile* profile = nullptr;
  std::string organisation;
  std::uint64_t priority = 0;
  /// Milliseconds from the request's arrival to its deadline.
  std::uint64_t deadline_ms = 0;
  /// Whether it is a chat request without streaming, to which the endpoint
  /// sends nothing until the response is complete.
  bool non_streaming = false;
  /// Maximum number of output tokens; 1 for a plain service.
  std::uint64_t reserved_tokens = 0;
  std::string key;          ///< Idempotency key, or "".
  std::string fingerprint;  ///< Digest of the work; the same for each retry.
  /// Routing key, derived from service and prompt prefix, or from organisation
  /// and path for a plain service.
  std::string affinity;
  std::string method;
  std::string target;
  http::Headers headers;
  std::string body;
};

/// Validates `request` against `config`.
/// @return The validated request, or the problem to send to the caller.
std::variant<CallerRequest, Problem> CheckRequest(
    const http::HttpRequest& request, const config::ConfigPtr& config);

/// Returns the organisation named in the header of `request`, or "".
std::string OrganisationOf(const http::HttpRequest& request);

/// Returns a problem of the step "check_request".
Problem MakeRequestProblem(int status, std::string reason, std::string detail);

/// Path of chat requests.
inline constexpr std::string_view kChatPath = "/v1/chat/completions";

}  // namespace banyanlane::entry
