#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace banyanlane::kernel {

/// Splits `text` at each `separator`; there is always at least one part.
std::vector<std::string_view> Split(std::string_view text, char separator);

/// Returns `text` without blanks at either end.
std::string_view Trim(std::string_view text);

/// Returns whether `text` begins with `prefix`.
bool StartsWith(std::string_view text, std::string_view prefix);

/// Returns `text` with ASCII letters in lower case.
std::string ToLower(std::string_view text);

/// Returns the number that the whole of `text` spells in `base`, if it fits
/// `Number`.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base = 10) {
  Number value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value, base);
  if (failure != std::errc() || rest != end || text.empty())
    return std::nullopt;
  return value;
}

}  // namespace banyanlane::kernel
