#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanlane::entry {

/// Names an answer that an agent holds, for a caller who returns for the rest
/// of it.
struct AnswerName {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string request;

  /// Returns the text given to callers.
  std::string Format() const;
  static std::optional<AnswerName> Parse(std::string_view text);
};

}  // namespace banyanlane::entry
