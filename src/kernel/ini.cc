#include "kernel/ini.h"

#include <fmt/format.h>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <sstream>

#include "kernel/text.h"

namespace banyanlane::kernel {
namespace {

Error Invalid(const std::string& detail) {
  return Error{ErrorCode::kInvalidSettings, "parse_ini", "", detail};
}

/// Sets the line numbers of the sections and keys, because PropertyTree does
/// not provide them.
void SetLineNumbers(std::string_view text, std::vector<IniSection>& sections) {
  IniSection* current = nullptr;
  int line_number = 0;
  for (const std::string_view raw : Split(text, '\n')) {
    ++line_number;
    const std::string_view line = Trim(raw);
    if (line.empty() || line.front() == ';') continue;
    if (line.front() == '[') {
      const std::string_view name = line.substr(1, line.find(']') - 1);
      for (IniSection& section : sections) {
        if (section.name != Trim(name)) continue;
        section.line = line_number;
        current = &section;
      }
      continue;
    }
    if (current == nullptr) continue;
    const std::string key(Trim(line.substr(0, line.find('='))));
    current->lines[key] = line_number;
  }
}

}  // namespace

Result<std::vector<IniSection>> ParseIni(std::string_view text,
                                         std::string_view origin) {
  boost::property_tree::ptree tree;
  std::istringstream stream{std::string(text)};
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& problem) {
    return Invalid(
        fmt::format("{}:{}: {}", origin, problem.line(), problem.message()));
  }
  std::vector<IniSection> sections;
  for (const auto& [name, node] : tree) {
    if (node.empty() && !node.data().empty()) {
      return Invalid(
          fmt::format("{}: key '{}' precedes the first section", origin, name));
    }
    IniSection section;
    section.name = name;
    for (const auto& [key, value] : node) section.values[key] = value.data();
    sections.push_back(std::move(section));
  }
  SetLineNumbers(text, sections);
  return sections;
}

std::string IniProblem(std::string_view origin, int line,
                       std::string_view section, std::string_view key,
                       std::string_view reason) {
  return fmt::format("{}:{}: [{}] {}: {}", origin, line, section, key, reason);
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  return ParseNumber<std::int64_t>(text);
}

std::optional<bool> ParseBoolean(std::string_view text) {
  if (text == "true" || text == "yes") return true;
  if (text == "false" || text == "no") return false;
  return std::nullopt;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  for (const std::string_view part : Split(text, ',')) {
    const std::string_view trimmed = Trim(part);
    if (!trimmed.empty()) parts.emplace_back(trimmed);
  }
  return parts;
}

}  // namespace banyanlane::kernel
