#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "config/profile.h"
#include "entry/internal/problem.h"
#include "http/http_types.h"

namespace banyanlane::entry {

/// A checked request of a caller.
struct CallerRequest {
  config::ConfigPtr config;  ///< Keeps `profile` alive.
  const config::Profile* profile = nullptr;
  std::string organisation;
  std::uint64_t priority = 0;
  std::uint64_t deadline_ms = 0;      ///< From its arrival.
  bool non_streaming = false;           ///< A chat answer that is not streamed.
  std::uint64_t reserved_tokens = 0;  ///< Most output the caller asks for.
  std::string key;                    ///< Idempotency key, or "".
  std::string fingerprint;            ///< Of the work: equal when sent again.
  std::string affinity;  ///< Equal for requests that share a prompt prefix.
  std::string method;
  std::string target;
  http::Headers headers;
  std::string body;
};

/// Checks `request` against `config`.
/// @return what it asks for, or the problem to answer with.
std::variant<CallerRequest, Problem> CheckRequest(
    const http::HttpRequest& request, const config::ConfigPtr& config);

/// Returns the organisation that `request` names, or "".
std::string OrganisationOf(const http::HttpRequest& request);

/// Returns a problem for a request that breaks the callers' interface.
Problem BadRequest(int status, std::string reason, std::string detail);

/// Path of chat requests.
inline constexpr std::string_view kChatPath = "/v1/chat/completions";

}  // namespace banyanlane::entry
