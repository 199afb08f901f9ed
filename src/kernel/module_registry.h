#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/i_module.h"

namespace banyanlane::kernel {

/// Roles a process can have; a module says which ones it is part of.
enum class Role { kEntry, kAgent, kGateway, kRank };

/// Returns the role called `name` on the command line, if there is one.
std::optional<Role> ParseRole(std::string_view name);

/// Order in which modules start; they stop in reverse.
enum class StartOrder {
  kBase = 0,
  kHttp = 10,
  kConfig = 20,
  kLink = 30,
  kService = 40,
  kFront = 50
};

/// Registered module factories with the settings each one adds.
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

  /// Returns the settings that the modules of `role` accept.
  Settings::Schema SchemaOf(Role role) const;

 private:
  std::vector<Entry> entries;
};

/// Registers a module while static objects are initialised.
struct ModuleRegistration {
  explicit ModuleRegistration(ModuleRegistry::Entry entry) {
    ModuleRegistry::Instance().Register(std::move(entry));
  }
};

}  // namespace banyanlane::kernel
