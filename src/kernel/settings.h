#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace banyanlane::kernel {

/// Type of a setting's value.
enum class SettingKind { kText, kInteger, kNumber, kBoolean, kList };

/// Schema of one setting: section, key, type, default and range.
struct SettingField {
  std::string section;
  std::string key;
  SettingKind kind = SettingKind::kText;
  std::string default_text;  ///< Default in text form, unused if `required`.
  bool required = false;
  /// Range of an integer or number, inclusive. Unused for other types.
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
  std::string meaning;  ///< Description for the documentation.
};

/// Process settings, read from an INI file and validated against a schema.
class Settings {
 public:
  using Schema = std::vector<SettingField>;

  /// Reads and validates the file `path`.
  /// @return the settings, or an error that names the file, line and key of an
  /// unknown, missing, malformed or out-of-range setting.
  static Result<Settings> Load(const std::string& path, const Schema& schema);

  /// Validates INI `text` like Load.
  /// @param origin file name for error messages.
  static Result<Settings> Parse(std::string_view text, std::string_view origin,
                                const Schema& schema);

  // The methods below return the value of a setting or its default. They throw
  // std::out_of_range if the schema does not contain the setting.

  std::string Text(std::string_view section, std::string_view key) const;
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  /// Returns the value of a floating-point setting.
  double Number(std::string_view section, std::string_view key) const;
  bool Boolean(std::string_view section, std::string_view key) const;
  /// Returns the comma-separated parts of a list setting, trimmed.
  std::vector<std::string> List(std::string_view section,
                                std::string_view key) const;

 private:
  std::map<std::string, std::string> values;
};

}  // namespace banyanlane::kernel
