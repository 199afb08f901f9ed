#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace banyanlane::kernel {

/// One `[name]` section of an INI text.
struct IniSection {
  std::string name;
  int line = 0;
  std::map<std::string, std::string> values;
  std::map<std::string, int> lines;  ///< Line number of each key.
};

/// Parses INI `text`. Duplicate sections or keys, keys before any section and
/// lines without `=` are errors that name `origin` and the line.
Result<std::vector<IniSection>> ParseIni(std::string_view text,
                                         std::string_view origin);

/// Returns "origin:line: [section] key: reason".
std::string IniProblem(std::string_view origin, int line,
                       std::string_view section, std::string_view key,
                       std::string_view reason);

/// Returns the whole of `text` as a decimal integer, if it is one.
std::optional<std::int64_t> ParseInteger(std::string_view text);

/// Returns the boolean that `text` spells as true, false, yes or no.
std::optional<bool> ParseBoolean(std::string_view text);

/// Splits `text` at commas and trims blanks; empty parts are left out.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace banyanlane::kernel
