#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace banyanlane::kernel {

/// Table that pairs each enumerator with its stable text name.
template <typename Enum, std::size_t kCount>
using EnumNames = std::array<std::pair<Enum, std::string_view>, kCount>;

/// Returns the name of `value` in `table`, or "unknown" if it is not listed.
template <typename Enum, std::size_t kCount>
constexpr std::string_view NameOf(const EnumNames<Enum, kCount>& table,
                                  Enum value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "unknown";
}

/// Returns the enumerator with the name `name` in `table`, or nullopt.
template <typename Enum, std::size_t kCount>
constexpr std::optional<Enum> ParseEnum(const EnumNames<Enum, kCount>& table,
                                        std::string_view name) {
  for (const auto& [value, candidate] : table) {
    if (candidate == name) return value;
  }
  return std::nullopt;
}

}  // namespace banyanlane::kernel
