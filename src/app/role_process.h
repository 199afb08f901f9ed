#pragma once

#include <memory>
#include <string>
#include <vector>

#include "kernel/module_registry.h"

namespace banyanlane::app {

/// One running role: its modules, started in order and stopped in reverse.
class RoleProcess {
 public:
  /// Checks the settings and assembles the modules of `role`.
  static kernel::Result<std::unique_ptr<RoleProcess>> Assemble(
      kernel::Role role, const std::string& settings_path);

  /// Starts all modules, waits for SIGTERM or SIGINT, drains, and stops them.
  /// @return the exit status.
  int Run();

 private:
  explicit RoleProcess(kernel::Settings settings)
      : context(std::move(settings)) {}

  void WaitForDrain();

  kernel::ModuleContext context;
  std::vector<std::unique_ptr<kernel::IModule>> modules;
};

}  // namespace banyanlane::app
