#include "kernel/settings.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <sstream>

#include "kernel/ini.h"

namespace banyanlane::kernel {
namespace {

std::string QualifiedKey(std::string_view section, std::string_view key) {
  return fmt::format("{}.{}", section, key);
}

std::optional<double> ParseDecimal(const std::string& text) {
  double value = 0;
  return absl::SimpleAtod(text, &value) ? std::optional<double>(value)
                                        : std::nullopt;
}

/// Returns the reason why `text` is invalid for `field`, or "" if it is valid.
std::string ValidationProblem(const SettingField& field,
                              const std::string& text) {
  if (field.kind == SettingKind::kBoolean && !ParseBoolean(text))
    return "not a boolean";
  if (field.kind == SettingKind::kNumber) {
    const auto number = ParseDecimal(text);
    if (!number) return fmt::format("'{}' is not a number", text);
    const bool in_range = *number >= static_cast<double>(field.min_value) &&
                          *number <= static_cast<double>(field.max_value);
    return in_range ? ""
                    : fmt::format("{} is outside {}..{}", *number,
                                  field.min_value, field.max_value);
  }
  if (field.kind != SettingKind::kInteger) return "";
  const auto number = ParseInteger(text);
  if (!number) return fmt::format("'{}' is not an integer", text);
  if (*number < field.min_value || *number > field.max_value) {
    return fmt::format("{} is outside {}..{}", *number, field.min_value,
                       field.max_value);
  }
  return "";
}

const SettingField* FindField(const Settings::Schema& schema,
                              std::string_view section, std::string_view key) {
  for (const SettingField& field : schema) {
    if (field.section == section && field.key == key) return &field;
  }
  return nullptr;
}

Error Invalid(const std::string& detail) {
  return Error{ErrorCode::kInvalidSettings, "load_settings", "", detail};
}

}  // namespace

Result<Settings> Settings::Load(const std::string& path, const Schema& schema) {
  std::ifstream file(path);
  if (!file) return Invalid(path + ": cannot be opened");
  std::stringstream text;
  text << file.rdbuf();
  return Parse(text.str(), path, schema);
}

Result<Settings> Settings::Parse(std::string_view text, std::string_view origin,
                                 const Schema& schema) {
  const auto parsed = ParseIni(text, origin);
  if (const Error* error = ErrorOf(parsed)) return *error;
  Settings settings;
  for (const IniSection& section : std::get<0>(parsed)) {
    for (const auto& [key, value] : section.values) {
      const int line =
          section.lines.count(key) > 0 ? section.lines.at(key) : section.line;
      const SettingField* field = FindField(schema, section.name, key);
      if (field == nullptr) {
        return Invalid(
            IniProblem(origin, line, section.name, key, "unknown setting"));
      }
      const std::string problem = ValidationProblem(*field, value);
      if (!problem.empty()) {
        return Invalid(IniProblem(origin, line, section.name, key, problem));
      }
      settings.values[QualifiedKey(section.name, key)] = value;
    }
  }
  for (const SettingField& field : schema) {
    const bool added =
        settings.values
            .emplace(QualifiedKey(field.section, field.key), field.default_text)
            .second;
    if (added && field.required) {
      return Invalid(IniProblem(origin, 0, field.section, field.key,
                                "required, but missing"));
    }
  }
  return settings;
}

std::string Settings::Text(std::string_view section,
                           std::string_view key) const {
  return this->values.at(QualifiedKey(section, key));
}

std::int64_t Settings::Integer(std::string_view section,
                               std::string_view key) const {
  return ParseInteger(this->Text(section, key)).value_or(0);
}

double Settings::Number(std::string_view section, std::string_view key) const {
  return ParseDecimal(this->Text(section, key)).value_or(0);
}

bool Settings::Boolean(std::string_view section, std::string_view key) const {
  return ParseBoolean(this->Text(section, key)).value_or(false);
}

std::vector<std::string> Settings::List(std::string_view section,
                                        std::string_view key) const {
  return SplitList(this->Text(section, key));
}

}  // namespace banyanlane::kernel
