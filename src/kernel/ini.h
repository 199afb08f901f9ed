#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace banyanlane::kernel {

/// One `[name]` section of an INI file.
struct IniSection {
  std::string name;
  int line = 0;
  std::map<std::string, std::string> values;
  std::map<std::string, int> lines;  ///< Line number of each key.
};

/// Parses INI `text`.
/// @param origin file name for error messages.
/// @return the sections, or an error for a duplicate section or key, a key
/// before the first section or a line without `=`. The error names `origin`
/// and, except for a key before the first section, the line.
Result<std::vector<IniSection>> ParseIni(std::string_view text,
                                         std::string_view origin);

/// Returns an error message of the form "origin:line: [section] key: reason".
std::string IniProblem(std::string_view origin, int line,
                       std::string_view section, std::string_view key,
                       std::string_view reason);

/// Returns the decimal integer that `text` represents, or nullopt if `text` is
/// not an integer or does not fit 64 bits.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// Returns the value of "true", "yes", "false" or "no", or nullopt for any
/// other text.
std::optional<bool> ParseBoolean(std::string_view text);

/// Splits `text` at commas, trims white space and drops empty parts.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace banyanlane::kernel
