#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/internal/asio_http.h"

namespace banyanlane::http {

/// Why a request is refused before its body is read.
struct FramingFault {
  int status = 400;
  std::string_view reason;
};

/// Where a request goes, whatever form its target had.
struct RequestTarget {
  std::string authority;  ///< Empty unless the target names one.
  std::string origin;     ///< Path and query.
};

using RequestHead = beast::http::request_header<beast::http::fields>;

/// Looks for what two readers of the same bytes could take differently, and
/// what Beast's parser lets pass: transfer codings besides chunked, repeated
/// lengths and hosts. Folded field values are one line by now (RFC 9112, 5.2).
std::optional<FramingFault> FindFramingFault(const RequestHead& head);

/// Splits an absolute target (RFC 9112, 3.2.2) into its parts.
/// @return nothing for the forms that only proxies and whole servers take.
std::optional<RequestTarget> SplitTarget(std::string_view target);

/// Returns whether the caller waits for leave to send its body.
bool WaitsForContinue(const RequestHead& head);

}  // namespace banyanlane::http
