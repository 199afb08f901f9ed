
#include <fmt/format.h>

#include <optional>

#include "config/i_config.h"
#include "kernel/enum_names.h"
#include "kernel/hash.h"
#include "kernel/ini.h"
#include "kernel/text.h"

namespace banyanlane::config {
namespace {

using kernel::Error;
using kernel::ErrorCode;
using kernel::IniSection;

constexpr kernel::EnumNames<WorkClass, 2> kWorkClassNames = {{
    {WorkClass::kChat, "chat"},
    {WorkClass::kService, "service"},
}};

constexpr std::string_view kProfilePrefix = "profile:";
constexpr std::string_view kGroupPrefix = "group:";

/// Integer field of a section with its limits and default value.
template <typename Target>
struct IntegerField {
  std::string_view key;
  std::int64_t Target::*member;
  std::int64_t min_value;
  std::int64_t max_value;
  std::int64_t default_value;
};

constexpr std::int64_t kDayMillis = 86'400'000;

constexpr IntegerField<Profile> kProfileIntegers[] = {
    {"priority_ceiling", &Profile::priority_ceiling, 0, 9, 4},
    {"deadline_ms", &Profile::deadline_ms, 10, kDayMillis, 30'000},
    {"attempt_timeout_ms", &Profile::attempt_timeout_ms, 10, kDayMillis,
     10'000},
    {"attempts", &Profile::attempts, 1, 10, 3},
    {"retry_budget_percent", &Profile::retry_budget_percent, 0, 100, 10},
    {"max_output_tokens", &Profile::max_output_tokens, 1, 1'000'000, 2'048},
    {"organisation_concurrency", &Profile::organisation_concurrency, 1, 100'000,
     64},
    {"key_lifetime_s", &Profile::key_lifetime_s, 1, 86'400, 600},
    {"crash_limit", &Profile::crash_limit, 1, 10, 2},
    {"resume_grace_ms", &Profile::resume_grace_ms, 0, 600'000, 5'000},
    {"unread_window_bytes", &Profile::unread_window_bytes, 1'024, 16'777'216,
     262'144},
};

constexpr IntegerField<GroupPolicy> kGroupIntegers[] = {
    {"skew_weight", &GroupPolicy::skew_weight, 0, 1'000, 1},
    {"move_weight", &GroupPolicy::move_weight, 0, 1'000, 1},
};

/// Reads the fields of one section, and reports unknown and invalid ones with
/// their line.
class SectionReader {
 public:
  SectionReader(const IniSection& section, std::string_view origin)
      : section(section), origin(origin), unread(section.values) {}

  /// Returns the value of `key` if the section has it, and marks it as read.
  std::optional<std::string> ReadText(std::string_view key) {
    const auto found = this->unread.find(std::string(key));
    if (found == this->unread.end()) return std::nullopt;
    std::string value = found->second;
    this->unread.erase(found);
    return value;
  }

  /// Returns an error with the line of `key`, or that of the section if it has
  /// no such key.
  Error MakeError(std::string_view key, std::string_view reason) const {
    const auto line = this->section.lines.find(std::string(key));
    const int number =
        line == this->section.lines.end() ? this->section.line : line->second;
    return Error{ErrorCode::kInvalidConfig, "check_config", "",
                 kernel::IniProblem(this->origin, number, this->section.name,
                                    key, reason)};
  }

  /// Reads `fields` into `target`; missing ones get their default value.
  /// @return The error of the first invalid field.
  template <typename Target, std::size_t kCount>
  std::optional<Error> ReadIntegers(
      const IntegerField<Target> (&fields)[kCount], Target& target) {
    for (const IntegerField<Target>& field : fields) {
      const std::optional<std::string> text = this->ReadText(field.key);
      const auto number =
          text ? kernel::ParseInteger(*text) : field.default_value;
      if (!number) return this->MakeError(field.key, "not an integer");
      if (*number < field.min_value || *number > field.max_value) {
        return this->MakeError(field.key,
                               fmt::format("{} is outside {}..{}", *number,
                                           field.min_value, field.max_value));
      }
      target.*field.member = *number;
    }
    return std::nullopt;
  }

  /// Returns an error for the first key that has not been read.
  std::optional<Error> CheckAllRead() const {
    if (this->unread.empty()) return std::nullopt;
    return this->MakeError(this->unread.begin()->first, "unknown field");
  }

 private:
  const IniSection& section;
  std::string_view origin;
  std::map<std::string, std::string> unread;
};

kernel::Result<Profile> ReadProfile(const IniSection& section,
                                    std::string_view origin) {
  SectionReader reader(section, origin);
  Profile profile;
  profile.name = section.name.substr(kProfilePrefix.size());
  if (profile.name.empty())
    return reader.MakeError("", "a profile needs a name");
  const auto work_class =
      kernel::ParseEnum(kWorkClassNames, reader.ReadText("class").value_or(""));
  if (!work_class) return reader.MakeError("class", "must be chat or service");
  profile.work_class = *work_class;
  profile.service = reader.ReadText("service").value_or("");
  if (profile.service.empty())
    return reader.MakeError("service", "required, but missing");
  profile.path_prefix = reader.ReadText("path_prefix").value_or("");
  const bool is_service = profile.work_class == WorkClass::kService;
  if (is_service && !kernel::StartsWith(profile.path_prefix, "/")) {
    return reader.MakeError(
        "path_prefix", "a service profile needs a prefix that begins with /");
  }
  if (is_service && kernel::StartsWith(profile.path_prefix, "/v1/")) {
    return reader.MakeError("path_prefix", "/v1/ is taken by the system");
  }
  const auto repeatable =
      kernel::ParseBoolean(reader.ReadText("repeatable").value_or("true"));
  if (!repeatable) return reader.MakeError("repeatable", "not a boolean");
  profile.repeatable = *repeatable;
  if (const auto error = reader.ReadIntegers(kProfileIntegers, profile))
    return *error;
  if (const auto error = reader.CheckAllRead()) return *error;
  return profile;
}

kernel::Result<GroupPolicy> ReadGroup(const IniSection& section,
                                      std::string_view origin) {
  SectionReader reader(section, origin);
  GroupPolicy group;
  group.name = section.name.substr(kGroupPrefix.size());
  if (group.name.empty()) return reader.MakeError("", "a group needs a name");
  if (const auto error = reader.ReadIntegers(kGroupIntegers, group))
    return *error;
  if (const auto error = reader.CheckAllRead()) return *error;
  return group;
}

class IniFormat : public IConfigFormat {
 public:
  kernel::Result<ConfigSnapshot> Parse(std::string_view text,
                                       std::string_view origin) const override {
    return ParseConfig(text, origin);
  }
};

}  // namespace

std::shared_ptr<const IConfigFormat> MakeIniFormat() {
  return std::make_shared<IniFormat>();
}

std::string_view WorkClassName(WorkClass work_class) {
  return kernel::NameOf(kWorkClassNames, work_class);
}

const Profile* ConfigSnapshot::FindProfile(std::string_view name) const {
  const auto found = this->profiles.find(std::string(name));
  return found == this->profiles.end() ? nullptr : &found->second;
}

kernel::Result<ConfigSnapshot> ParseConfig(std::string_view text,
                                           std::string_view origin) {
  if (text.size() > kMaxConfigBytes) {
    return Error{ErrorCode::kTooLarge, "check_config", "",
                 fmt::format("{}: {} bytes, over {}", origin, text.size(),
                             kMaxConfigBytes)};
  }
  const auto parsed = kernel::ParseIni(text, origin);
  if (const Error* error = kernel::ErrorOf(parsed)) return *error;
  ConfigSnapshot snapshot;
  snapshot.value = std::string(text);
  snapshot.digest = kernel::Digest(text);
  for (const IniSection& section : std::get<0>(parsed)) {
    if (kernel::StartsWith(section.name, kProfilePrefix)) {
      auto profile = ReadProfile(section, origin);
      if (const Error* error = kernel::ErrorOf(profile)) return *error;
      Profile& checked = std::get<Profile>(profile);
      snapshot.profiles.emplace(checked.name, std::move(checked));
      continue;
    }
    if (kernel::StartsWith(section.name, kGroupPrefix)) {
      auto group = ReadGroup(section, origin);
      if (const Error* error = kernel::ErrorOf(group)) return *error;
      GroupPolicy& checked = std::get<GroupPolicy>(group);
      snapshot.groups.emplace(checked.name, std::move(checked));
      continue;
    }
    return Error{ErrorCode::kInvalidConfig, "check_config", "",
                 kernel::IniProblem(origin, section.line, section.name, "",
                                    "unknown kind of section")};
  }
  if (snapshot.profiles.empty()) {
    return Error{ErrorCode::kInvalidConfig, "check_config", "",
                 fmt::format("{}: holds no profile", origin)};
  }
  return snapshot;
}

}  // namespace banyanlane::config
