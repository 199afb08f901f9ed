#include "kernel/module_registry.h"

#include <algorithm>

#include "kernel/enum_names.h"

namespace banyanlane::kernel {
namespace {

constexpr EnumNames<Role, 4> kRoleNames = {{
    {Role::kEntry, "entry"},
    {Role::kAgent, "agent"},
    {Role::kGateway, "gateway"},
    {Role::kRank, "rank"},
}};

}  // namespace

std::optional<Role> ParseRole(std::string_view name) {
  return ParseEnum(kRoleNames, name);
}

ModuleRegistry& ModuleRegistry::Instance() {
  static ModuleRegistry registry;
  return registry;
}

void ModuleRegistry::Register(Entry entry) {
  this->entries.push_back(std::move(entry));
}

std::vector<ModuleRegistry::Entry> ModuleRegistry::ModulesOf(Role role) const {
  std::vector<Entry> modules;
  for (const Entry& entry : this->entries) {
    const auto found = std::find(entry.roles.begin(), entry.roles.end(), role);
    if (found != entry.roles.end()) modules.push_back(entry);
  }
  std::sort(modules.begin(), modules.end(),
            [](const Entry& left, const Entry& right) {
              if (left.order != right.order) return left.order < right.order;
              return left.name < right.name;
            });
  return modules;
}

Settings::Schema ModuleRegistry::SchemaOf(Role role) const {
  Settings::Schema schema;
  for (const Entry& entry : this->ModulesOf(role)) {
    schema.insert(schema.end(), entry.schema.begin(), entry.schema.end());
  }
  return schema;
}

}  // namespace banyanlane::kernel
