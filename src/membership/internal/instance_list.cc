#include <nlohmann/json.hpp>

#include "kernel/enum_names.h"
#include "membership/instances.h"

namespace banyanlane::membership {
namespace {

using kernel::Error;
using kernel::ErrorCode;
using nlohmann::json;

constexpr kernel::EnumNames<InstanceRole, 2> kRoleNames = {{
    {InstanceRole::kEntry, "entry"},
    {InstanceRole::kEndpoint, "endpoint"},
}};
constexpr kernel::EnumNames<InstanceState, 2> kStateNames = {{
    {InstanceState::kLive, "live"},
    {InstanceState::kLeaving, "leaving"},
}};

Error Malformed(const std::string& detail) {
  return Error{ErrorCode::kInvalidMessage, "parse_instances", "platform",
               detail};
}

std::string TextField(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

/// Returns the whole number under `key`, or 0 if there is none.
std::int64_t IntegerField(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer()) return 0;
  const auto number = found->get<std::int64_t>();
  const bool is_too_large = found->is_number_unsigned() && number < 0;
  return is_too_large ? 0 : number;
}

kernel::Result<Instance> ReadInstance(const json& object) {
  if (!object.is_object()) return Malformed("an instance is not an object");
  Instance instance;
  instance.id = TextField(object, "id");
  instance.address = TextField(object, "address");
  instance.failure_domain = TextField(object, "failure_domain");
  instance.service = TextField(object, "service");
  instance.slots = IntegerField(object, "slots");
  instance.incarnation = IntegerField(object, "incarnation");
  const auto role = kernel::ParseEnum(kRoleNames, TextField(object, "role"));
  const auto state = kernel::ParseEnum(kStateNames, TextField(object, "state"));
  if (instance.id.empty() || instance.address.empty())
    return Malformed("no id or address");
  if (!role || !state)
    return Malformed(instance.id + " has an unknown role or state");
  instance.role = *role;
  instance.state = *state;
  return instance;
}

}  // namespace

std::string_view InstanceRoleName(InstanceRole role) {
  return kernel::NameOf(kRoleNames, role);
}

std::string_view InstanceStateName(InstanceState state) {
  return kernel::NameOf(kStateNames, state);
}

std::vector<Instance> InstanceList::OfRole(InstanceRole role) const {
  std::vector<Instance> matching;
  for (const Instance& instance : this->instances) {
    if (instance.role == role) matching.push_back(instance);
  }
  return matching;
}

std::string FormatInstanceList(std::uint64_t version,
                               const std::vector<Instance>& instances) {
  json listed = json::array();
  for (const Instance& instance : instances) {
    listed.push_back({{"id", instance.id},
                      {"role", InstanceRoleName(instance.role)},
                      {"state", InstanceStateName(instance.state)},
                      {"address", instance.address},
                      {"failure_domain", instance.failure_domain},
                      {"service", instance.service},
                      {"slots", instance.slots},
                      {"incarnation", instance.incarnation}});
  }
  return json{{"version", version}, {"instances", std::move(listed)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

kernel::Result<InstanceList> ParseInstanceList(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("version") ||
      !parsed["version"].is_number_unsigned() ||
      !parsed.contains("instances") || !parsed["instances"].is_array()) {
    return Malformed("not a list with a version");
  }
  InstanceList list;
  list.version = parsed["version"].get<std::uint64_t>();
  list.text = std::string(text);
  for (const json& object : parsed["instances"]) {
    auto instance = ReadInstance(object);
    if (const Error* error = kernel::ErrorOf(instance)) return *error;
    list.instances.push_back(std::get<Instance>(std::move(instance)));
  }
  return list;
}

}  // namespace banyanlane::membership
