#include "kernel/settings.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <sstream>

#include "kernel/ini.h"

namespace banyanlane::kernel {
namespace {

std::string Place(std::string_view section, std::string_view key) {
  return fmt::format("{}.{}", section, key);
}

std::optional<double> ParseDecimal(const std::string& text) {
  double value = 0;
  return absl::SimpleAtod(text, &value) ? std::optional<double>(value)
                                        : std::nullopt;
}

/// Returns the reason why `text` is invalid for `field`, or "" if it is valid.
std::string Objection(const SettingField& field, const std::string& text) {
  if (field.kind == SettingKind::kBoolean && !ParseBoolean(text))
    return "not a boolean";
  if (field.kind == SettingKind::kNumber) {
    const auto number = ParseDecimal(text);
    if (!number) return fmt::format("'{}' is not a number", text);
    const bool inside = *number >= static_cast<double>(field.lowest) &&
                        *number <= static_cast<double>(field.highest);
    return inside ? ""
                  : fmt::format("{} is outside {}..{}", *number, field.lowest,
                                field.highest);
  }
  if (field.kind != SettingKind::kInteger) return "";
  const auto number = ParseInteger(text);
  if (!number) return fmt::format("'{}' is not an integer", text);
  if (*number < field.lowest || *number > field.highest) {
    return fmt::format("{} is outside {}..{}", *number, field.lowest,
                       field.highest);
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
      const std::string objection = Objection(*field, value);
      if (!objection.empty()) {
        return Invalid(IniProblem(origin, line, section.name, key, objection));
      }
      settings.values[Place(section.name, key)] = value;
    }
  }
  for (const SettingField& field : schema) {
    const bool added =
        settings.values.emplace(Place(field.section, field.key), field.fallback)
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
  return this->values.at(Place(section, key));
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
