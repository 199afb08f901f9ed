#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace banyanlane::kernel {

/// Kind of value a setting holds.
enum class SettingKind { kText, kInteger, kNumber, kBoolean, kList };

/// One allowed setting: its place, kind, bounds and default.
struct SettingField {
  std::string section;
  std::string key;
  SettingKind kind = SettingKind::kText;
  std::string fallback;  ///< Default in text form; ignored when `required`.
  bool required = false;
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
  std::string meaning;
};

/// Process settings read from an INI file and checked against a schema.
class Settings {
 public:
  using Schema = std::vector<SettingField>;

  /// Reads and checks `path`. Unknown, missing, malformed and out-of-range
  /// settings are errors that name the file, line and field.
  static Result<Settings> Load(const std::string& path, const Schema& schema);

  /// Checks INI `text`; `origin` names it in errors.
  static Result<Settings> Parse(std::string_view text, std::string_view origin,
                                const Schema& schema);

  std::string Text(std::string_view section, std::string_view key) const;
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  /// Returns a setting that may have a fraction.
  double Number(std::string_view section, std::string_view key) const;
  bool Boolean(std::string_view section, std::string_view key) const;
  /// Returns the comma-separated parts of a list setting, without blanks.
  std::vector<std::string> List(std::string_view section,
                                std::string_view key) const;

 private:
  std::map<std::string, std::string> values;
};

}  // namespace banyanlane::kernel
