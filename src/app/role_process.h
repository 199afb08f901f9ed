#pragma once

#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "app/settings_file.h"
#include "kernel/module_registry.h"

namespace banyanlane::app {

/// One running role: its modules, started in order and stopped in reverse.
class RoleProcess {
 public:
  /// Checks the settings and assembles the modules of `role`.
  static kernel::Result<std::unique_ptr<RoleProcess>> Assemble(
      kernel::Role role, const std::string& settings_path);

  /// Starts all modules, waits for SIGTERM or SIGINT, drains, and stops them.
  /// SIGHUP and a changed settings file make the modules reload.
  /// @return the exit status.
  int Run();

 private:
  RoleProcess(kernel::Role role, const std::string& settings_path,
              kernel::Settings settings)
      : role(role),
        settings_file(settings_path),
        context(std::move(settings)) {}

  /// Reloads until told to stop. @return the signal that said so.
  int WaitForStop(const sigset_t& signals);
  void Reload();

  void WaitForDrain();

  kernel::Role role;
  SettingsFile settings_file;
  kernel::ModuleContext context;
  std::vector<std::unique_ptr<kernel::IModule>> modules;
};

}  // namespace banyanlane::app
