#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/process_signals.h"
#include "app/settings_file.h"
#include "kernel/module_registry.h"

namespace banyanlane::app {

/// Process with one role. Starts the modules of the role in order and stops
/// them in reverse order.
class RoleProcess {
 public:
  /// Validates the settings, creates the modules of `role` and lets them export
  /// and look up their interfaces.
  /// @return the process, or an error if the settings are invalid.
  static kernel::Result<std::unique_ptr<RoleProcess>> Assemble(
      kernel::Role role, const std::string& settings_path);

  /// Starts all modules, waits for SIGTERM or SIGINT, then drains and stops the
  /// modules. Reloads the settings on SIGHUP and when the settings file
  /// changes, also while it drains. Further signals to stop do not shorten the
  /// drain.
  /// @param signals blocked since before the first thread was started.
  /// @return the exit status.
  int Run(const ProcessSignals& signals);

 private:
  RoleProcess(kernel::Role role, const std::string& settings_path,
              kernel::Settings settings)
      : role(role),
        settings_file(settings_path),
        context(std::move(settings)) {}

  /// Signal to stop, and when it can have been sent.
  struct StopRequest {
    int signal = 0;
    /// Latest time of kernel::BootNow at which the signal had not arrived.
    kernel::TimePoint not_before;
  };

  /// Handles reloads until SIGTERM or SIGINT is received.
  /// @param now present time of kernel::BootNow.
  StopRequest WaitForStop(const ProcessSignals& signals, kernel::TimePoint now);
  /// Reloads the settings if `received` is SIGHUP or the file has changed.
  void ReloadIfAsked(std::optional<int> received);
  /// Reads the settings file and passes the settings to all modules. If the
  /// file is invalid, the modules keep their settings.
  void Reload();

  /// Waits until no module reports pending work. Logs what is pending.
  void WaitForDrain(const ProcessSignals& signals);

  kernel::Role role;
  SettingsFile settings_file;
  kernel::ModuleContext context;
  std::vector<std::unique_ptr<kernel::IModule>> modules;
};

}  // namespace banyanlane::app
