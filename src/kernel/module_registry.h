#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/i_module.h"

namespace banyanlane::kernel {

/// Roles of a process. Each module lists the roles whose processes run it.
enum class Role { kEntry, kAgent, kGateway, kRank };

/// Returns the role with the command-line name `name`, or nullopt.
std::optional<Role> ParseRole(std::string_view name);

/// Order in which modules start. Modules of the same order start in order of
/// their names. They stop in reverse order.
enum class StartOrder {
  kBase = 0,
  kHttp = 10,
  kConfig = 20,
  kLink = 30,
  kService = 40,
  kFront = 50
};

/// Registered modules with their factories and settings.
class ModuleRegistry {
 public:
  using Factory = std::function<std::unique_ptr<IModule>()>;

  struct Entry {
    std::string name;
    std::vector<Role> roles;
    StartOrder order;
    Settings::Schema schema;
    Factory factory;
  };

  static ModuleRegistry& Instance();

  void Register(Entry entry);

  /// Returns the modules of `role` in start order.
  std::vector<Entry> ModulesOf(Role role) const;

  /// Returns the schema of all settings of the modules of `role`.
  Settings::Schema SchemaOf(Role role) const;

 private:
  std::vector<Entry> entries;
};

/// Registers a module during static initialization.
struct ModuleRegistration {
  explicit ModuleRegistration(ModuleRegistry::Entry entry) {
    ModuleRegistry::Instance().Register(std::move(entry));
  }
};

}  // namespace banyanlane::kernel
