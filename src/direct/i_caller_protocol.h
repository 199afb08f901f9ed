#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "http/http_types.h"
#include "kernel/time.h"

namespace banyanlane::direct {

/// Values from a caller's request header fields.
struct CallerRequestHead {
  std::string request_id;
  std::string api_key;  ///< API key of the caller's organisation, or "".
  /// Milliseconds from the request's arrival until the caller's deadline.
  std::optional<std::int64_t> deadline_ms;
  /// Id of the last stream event that the caller has received. The response
  /// continues with the event after it.
  std::optional<std::uint64_t> last_event_id;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  ///< Maximum number of tokens to generate.
  /// Ids of the parts of the prompt that other requests can have as well, in
  /// the order of the prompt.
  std::vector<std::string> shared_prompt_parts;
};

/// Values that one attempt passes to its endpoint in header fields.
struct AttemptParameters {
  /// Id of the only endpoint that may run the request. Any other endpoint must
  /// refuse it.
  std::string endpoint_id;
  std::string organisation;
  /// Milliseconds left until the deadline, if the request has one.
  std::optional<std::int64_t> deadline_ms;
  std::int64_t urgency = 0;  ///< 0 is the most urgent.
  std::optional<std::uint64_t> last_event_id;
};

/// Values from the status and header fields of an endpoint's response.
struct ResponseHead {
  int status = 0;
  /// The endpoint states that it has not run the request and never will.
  bool not_run = false;
  /// A different endpoint now has the address.
  bool wrong_endpoint = false;
  /// The response carries the proof that an endpoint made it.
  bool is_signed = false;
  /// The body is encoded and not in the requested form.
  bool is_encoded = false;
  /// Number of requests a second that the endpoint takes from all gateways
  /// together, if it has named one.
  std::optional<double> max_requests_per_second;
  /// The endpoint says that it leaves.
  bool is_leaving = false;
  /// Time for which the endpoint, which has turned the request away, wants no
  /// requests from this gateway, if it has named one.
  std::optional<kernel::Millis> rest;
  /// Size of the body in bytes, if the head states it.
  std::optional<std::uint64_t> body_bytes;
  /// Id of the request that this response belongs to, or "".
  std::string request_id;
  /// Media type of the body in lower case and without parameters, or "".
  std::string media_type;
  http::Headers headers;  ///< Header fields to forward to the caller.
};

/// Converts between the header fields of callers and endpoints and typed
/// values.
class ICallerProtocol {
 public:
  virtual ~ICallerProtocol() = default;

  virtual CallerRequestHead ReadRequest(
      const http::HttpRequest& request) const = 0;

  /// Returns the header fields with which `request` is sent to an endpoint.
  virtual http::Headers WriteAttemptHeaders(
      const http::HttpRequest& request,
      const AttemptParameters& parameters) const = 0;

  virtual ResponseHead ReadResponse(int status,
                                    const http::Headers& headers) const = 0;

  /// Returns the response to a caller whose request is refused.
  /// @param retry_after_ms milliseconds after which the caller may retry;
  /// negative to leave it out.
  virtual http::HttpResponse WriteRefusal(
      int status, const std::string& reason, std::int64_t retry_after_ms,
      const std::string& request_id) const = 0;
};

}  // namespace banyanlane::direct
