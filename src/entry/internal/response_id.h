#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanlane::entry {

/// Identifies a response that an agent holds, so that the caller can resume it.
struct ResponseId {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string request;

  /// Returns the text form that callers receive.
  std::string Format() const;
  /// Parses the text form. Returns nullopt if it is invalid.
  static std::optional<ResponseId> Parse(std::string_view text);
};

}  // namespace banyanlane::entry
