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

/// Parts of a request target in origin form or absolute form.
struct RequestTarget {
  std::string authority;    ///< Empty unless the target contains it.
  std::string origin_form;  ///< Path and query.
};

using RequestHead = beast::http::request_header<beast::http::fields>;

/// Finds a reason to refuse a request head that Beast's parser accepts: a
/// transfer coding or body length that is unsupported or that another HTTP
/// implementation could interpret differently, a missing or repeated Host
/// field, or an unknown expectation. The parser has already joined folded field
/// values to one line (RFC 9112, section 5.2).
std::optional<FramingError> FindFramingError(const RequestHead& head);

/// Splits a target in origin form (RFC 9112, section 3.2.1) or absolute form
/// (section 3.2.2) into its parts.
/// @return nullopt for any other target, such as the authority form, which only
/// applies to proxies, and the asterisk form, which applies to a server as a
/// whole.
std::optional<RequestTarget> SplitTarget(std::string_view target);

/// Returns whether the caller waits for "100 Continue" before it sends the
/// body.
bool WaitsForContinue(const RequestHead& head);

}  // namespace banyanlane::http
