#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace banyanlane::kernel {

/// Splits `text` at each `separator`. The result has at least one part.
std::vector<std::string_view> Split(std::string_view text, char separator);

/// Returns `text` without leading and trailing white space.
std::string_view Trim(std::string_view text);

/// Returns whether `text` begins with `prefix`.
bool StartsWith(std::string_view text, std::string_view prefix);

/// Returns `text` with ASCII letters converted to lower case.
std::string ToLower(std::string_view text);

/// Returns the number that `text` represents in `base`, or nullopt if `text` is
/// not a number or does not fit `Number`.
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
