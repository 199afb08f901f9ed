#include "http/internal/request_framing.h"

#include "kernel/text.h"

namespace banyanlane::http {
namespace {

using beast::http::field;

/// HTTP/1.1 in the notation of Beast.
constexpr unsigned kVersionOneOne = 11;
constexpr int kNotImplemented = 501;
constexpr int kExpectationFailed = 417;
constexpr std::string_view kChunked = "chunked";
constexpr std::string_view kContinue = "100-continue";

std::string_view ToStd(beast::string_view text) {
  return {text.data(), text.size()};
}

std::string LowerValue(const RequestHead& head, field name) {
  return kernel::ToLower(kernel::Trim(ToStd(head[name])));
}

std::optional<FramingError> FindTransferCodingError(const RequestHead& head) {
  if (head.count(field::transfer_encoding) == 0) return {};
  if (head.version() < kVersionOneOne)
    return FramingError{400, "transfer_coding_in_old_version"};
  if (head.count(field::content_length) > 0)
    return FramingError{400, "two_lengths"};
  if (head.count(field::transfer_encoding) > 1)
    return FramingError{400, "repeated_transfer_coding"};
  const std::string codings = LowerValue(head, field::transfer_encoding);
  if (codings == kChunked) return {};
  const auto listed = kernel::Split(codings, ',');
  const bool chunked_is_last =
      !listed.empty() && kernel::Trim(listed.back()) == kChunked;
  // The end of the body is undefined if chunked is not the last coding.
  if (!chunked_is_last) return FramingError{400, "length_unknown"};
  return FramingError{kNotImplemented, "transfer_coding_unknown"};
}

bool HasContent(const RequestHead& head) {
  return head.count(field::transfer_encoding) > 0 ||
         (head.count(field::content_length) > 0 &&
          LowerValue(head, field::content_length) != "0");
}

}  // namespace

std::optional<FramingError> FindFramingError(const RequestHead& head) {
  if (auto framing_error = FindTransferCodingError(head)) return framing_error;
  const bool is_trace = head.method() == beast::http::verb::trace;
  if (is_trace && HasContent(head))
    return FramingError{400, "content_in_trace"};
  if (head.count(field::content_length) > 1)
    return FramingError{400, "two_lengths"};
  if (head.count(field::host) > 1) return FramingError{400, "two_hosts"};
  const bool needs_host = head.version() >= kVersionOneOne;
  if (needs_host && head.count(field::host) == 0)
    return FramingError{400, "no_host"};
  if (head.count(field::expect) > 0 && !WaitsForContinue(head))
    return FramingError{kExpectationFailed, "unknown_expectation"};
  return {};
}

std::optional<RequestTarget> SplitTarget(std::string_view target) {
  constexpr std::string_view kSchemes[] = {"http://", "https://"};
  if (!target.empty() && target.front() == '/')
    return RequestTarget{"", std::string(target)};
  for (const std::string_view scheme : kSchemes) {
    const std::string start = kernel::ToLower(target.substr(0, scheme.size()));
    if (start != scheme) continue;
    target.remove_prefix(scheme.size());
    const std::size_t end = std::min(target.find_first_of("/?"), target.size());
    if (end == 0) return {};
    std::string origin_form(target.substr(end));
    if (origin_form.empty() || origin_form.front() != '/')
      origin_form.insert(0, "/");
    return RequestTarget{std::string(target.substr(0, end)), origin_form};
  }
  return {};
}

bool WaitsForContinue(const RequestHead& head) {
  return LowerValue(head, field::expect) == kContinue;
}

}  // namespace banyanlane::http
