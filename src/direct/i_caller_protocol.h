#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "http/http_types.h"

namespace banyanlane::direct {

/// What a caller's header fields say.
struct CallerRequestHead {
  std::string request_id;
  std::string api_key;  ///< Of the organisation it is made for, or "".
  /// How long the caller waits, from the request's arrival.
  std::optional<std::int64_t> deadline_ms;
  /// Last event of a stream that the caller has; the answer goes on after it.
  std::optional<std::uint64_t> last_event_id;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  ///< Most tokens to be generated.
};

/// What one sending of a request says to its endpoint.
struct AttemptParameters {
  std::string endpoint_id;  ///< Another endpoint must refuse the request.
  std::string organisation;
  std::int64_t deadline_ms = 0;  ///< Left to the endpoint.
  std::int64_t urgency = 0;      ///< 0 comes first.
  std::optional<std::uint64_t> last_event_id;
};

/// What the header fields of an endpoint's answer say.
struct ResponseHead {
  int status = 0;
  /// The endpoint states that it has not run the request and never will.
  bool not_run = false;
  /// Another endpoint has the address now.
  bool wrong_endpoint = false;
  bool is_signed = false;   ///< Carries the proof that an endpoint made it.
  bool is_encoded = false;  ///< The body is not in the form it was asked for.
  std::string request_id;   ///< Of the request that it answers, or "".
  http::Headers headers;    ///< To be passed on.
};

/// Translates between callers' and endpoints' header fields and typed ones.
class ICallerProtocol {
 public:
  virtual ~ICallerProtocol() = default;

  virtual CallerRequestHead ReadRequest(
      const http::HttpRequest& request) const = 0;

  /// Returns the header fields of `request` for an endpoint.
  virtual http::Headers WriteAttemptHeaders(
      const http::HttpRequest& request,
      const AttemptParameters& parameters) const = 0;

  virtual ResponseHead ReadResponse(int status,
                                    const http::Headers& headers) const = 0;

  /// Returns the answer to a caller whose request is given up on.
  /// @param retry_after_ms when the caller may come back; negative: not said.
  virtual http::HttpResponse WriteRefusal(
      int status, const std::string& reason, std::int64_t retry_after_ms,
      const std::string& request_id) const = 0;
};

}  // namespace banyanlane::direct
