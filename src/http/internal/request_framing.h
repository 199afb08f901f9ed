#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/internal/asio_http.h"

namespace banyanlane::http {

/// Reason why a request is refused before its body is read.
struct FramingError {
  int status = 400;
  std::string_view reason;
};

/// Target of a request, the same for origin form and absolute form.
struct RequestTarget {
  std::string authority;    ///< Empty unless the target contains it.
  std::string origin_form;  ///< Path and query.
};

using RequestHead = beast::http::request_header<beast::http::fields>;

/// Finds ambiguities that Beast's parser accepts but that another HTTP
/// implementation could interpret differently: transfer codings other than
/// chunked, and repeated Content-Length and Host fields. The parser has already
/// joined folded field values to one line (RFC 9112, section 5.2).
std::optional<FramingError> FindFramingError(const RequestHead& head);

/// Splits a target in origin form (RFC 9112, section 3.2.1) or absolute form
/// (section 3.2.2) into its parts.
/// @return nullopt for the authority form, which only applies to proxies, and
/// for the asterisk form, which applies to a server as a whole.
std::optional<RequestTarget> SplitTarget(std::string_view target);

/// Returns whether the caller waits for "100 Continue" before it sends the
/// body.
bool WaitsForContinue(const RequestHead& head);

}  // namespace banyanlane::http
