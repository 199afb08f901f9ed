#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/result.h"

namespace banyanlane::http {

/// Header fields in order; names are lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of `name` (lower case), or "" when absent.
std::string HeaderOf(const Headers& headers, std::string_view name);

/// Returns whether the field belongs to one connection and is not passed on.
bool IsHopField(std::string_view lower_name);

/// Returns `headers` without those that concern one connection only: the
/// fields that RFC 9110 names and those listed in Connection.
Headers EndToEndHeaders(const Headers& headers);

/// A whole request as received or to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  Headers headers;
  std::string body;
  std::string peer;  ///< Address of the sender, for received requests.
  /// Host that a sent request names; the called address when empty.
  std::string authority = "";

  /// Returns the target without its query.
  std::string Path() const;
  /// Returns the decoded value of the query parameter `name`, or "".
  std::string Query(std::string_view name) const;
};

/// A whole response.
struct HttpResponse {
  int status = 200;
  Headers headers;
  std::string body;
};

/// Returns `text` for use in a query, with all but letters, digits and "-_.~/"
/// in percent form.
std::string EncodeQuery(std::string_view text);

/// An IP address with its port.
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses "127.0.0.1:80" or "[::1]:80".
kernel::Result<HostPort> ParseHostPort(std::string_view text);

/// Bounds on what a server accepts from a caller.
struct ServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::size_t{4} * 1024 * 1024;
  std::uint32_t read_timeout_ms =
      10'000;  ///< For a whole request once it has begun.
  std::uint32_t idle_timeout_ms =
      60'000;  ///< Between requests of a connection.
  std::uint32_t write_timeout_ms =
      15'000;  ///< For one write the caller does not take.
};

}  // namespace banyanlane::http
