#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/result.h"

namespace banyanlane::http {

/// Header fields in order. Names are in lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of the field `name`, or "" if it is absent.
/// @param name field name in lower case.
std::string HeaderOf(const Headers& headers, std::string_view name);

/// Returns whether `headers` has a field `name`, even if its value is empty.
/// @param name in lower case.
bool HasHeader(const Headers& headers, std::string_view name);

/// Returns whether the field must not be copied from a received message to a
/// sent one: a hop-by-hop field of RFC 2616 or RFC 9110, Content-Length,
/// which is computed for each sent message, or Expect, which the server handles
/// itself.
/// @param lower_name field name in lower case.
bool IsHopByHopField(std::string_view lower_name);

/// Returns `headers` without the fields that must not be forwarded, including
/// those listed in the Connection field.
Headers EndToEndHeaders(const Headers& headers);

/// Method whose responses have the head of those to GET, and no body.
inline constexpr std::string_view kHeadMethod = "HEAD";

/// Complete request that was received or is to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  Headers headers;
  std::string body;
  std::string peer;  ///< Address of the sender, set on received requests.
  /// Host field of a request to be sent. If empty, the Host field is the
  /// address that is called.
  std::string authority = "";

  /// Returns the target without the query.
  std::string Path() const;
  /// Returns the decoded value of the query parameter `name`, or "" if it is
  /// absent.
  std::string Query(std::string_view name) const;
};

/// Complete response.
struct HttpResponse {
  int status = 200;
  Headers headers;
  std::string body;
};

/// Returns `text` percent-encoded for use in a query. Letters, digits and
/// "-_.~/" are not encoded.
std::string EncodeQuery(std::string_view text);

/// IP address and port.
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses an address such as "127.0.0.1:80" or "[::1]:80".
kernel::Result<HostPort> ParseHostPort(std::string_view text);

/// Limits on each request and connection of a caller.
struct ServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::size_t{4} * 1024 * 1024;
  /// Maximum time to read a complete request after its first byte.
  std::uint32_t read_timeout_ms = 10'000;
  /// Maximum time that a connection waits for its next request.
  std::uint32_t idle_timeout_ms = 60'000;
  /// Maximum time for which a caller takes nothing of a response that is
  /// written to it.
  std::uint32_t write_timeout_ms = 15'000;
};

}  // namespace banyanlane::http
