#include "app/role_process.h"

#include <csignal>

#include "kernel/boot_clock.h"
#include "kernel/event_log.h"

namespace banyanlane::app {
namespace {

using kernel::EventId;

/// Interval of the checks whether any module still has pending work.
constexpr kernel::Millis kDrainCheckInterval{50};
/// Interval of the checks whether a signal to stop has arrived. If the process
/// is frozen when one is sent, the time of sending is known to within this.
constexpr kernel::Millis kSignalCheckInterval{250};
/// Interval of the checks whether the settings file has changed, since it can
/// change without a signal.
constexpr kernel::Millis kSettingsCheckInterval{2'000};
/// Time between two log lines about what a drain waits for.
constexpr kernel::Millis kReportInterval{2'000};

}  // namespace

kernel::Result<std::unique_ptr<RoleProcess>> RoleProcess::Assemble(
    kernel::Role role, const std::string& settings_path) {
  const kernel::ModuleRegistry& registry = kernel::ModuleRegistry::Instance();
  auto settings =
      kernel::Settings::Load(settings_path, registry.SchemaOf(role));
  if (const kernel::Error* error = kernel::ErrorOf(settings)) return *error;
  std::unique_ptr<RoleProcess> process(new RoleProcess(
      role, settings_path, std::get<kernel::Settings>(std::move(settings))));
  for (const auto& entry : registry.ModulesOf(role))
    process->modules.push_back(entry.factory());
  for (const auto& module : process->modules) module->Export(process->context);
  for (const auto& module : process->modules) module->Resolve(process->context);
  return process;
}

int RoleProcess::Run(const ProcessSignals& signals) {
  const auto started = kernel::BootNow();
  kernel::LogEvent(EventId::kProcessStarted,
                   {{"node", this->context.settings().Text("node", "id")}});
  for (const auto& module : this->modules) module->Start();
  const StopRequest stop = this->WaitForStop(signals, started);
  kernel::LogEvent(EventId::kStopRequested,
                   {{"signal", std::to_string(stop.signal)}});
  for (const auto& module : this->modules) module->Drain(stop.not_before);
  this->WaitForDrain(signals);
  for (auto it = this->modules.rbegin(); it != this->modules.rend(); ++it)
    (*it)->Stop();
  kernel::LogEvent(EventId::kProcessStopped, {});
  return 0;
}

RoleProcess::StopRequest RoleProcess::WaitForStop(const ProcessSignals& signals,
                                                  kernel::TimePoint now) {
  auto next_settings_check = now + kSettingsCheckInterval;
  auto not_before = now;
  while (true) {
    const auto received = signals.Wait(kSignalCheckInterval);
    const bool must_stop = received == SIGTERM || received == SIGINT;
    if (must_stop) return {*received, not_before};
    now = kernel::BootNow();
    if (!signals.IsStopPending()) not_before = now;
    if (!received && now < next_settings_check) continue;
    this->ReloadIfAsked(received);
    next_settings_check = now + kSettingsCheckInterval;
  }
}

void RoleProcess::ReloadIfAsked(std::optional<int> received) {
  const bool has_changed = this->settings_file.HasChanged();
  if (received == SIGHUP || has_changed) this->Reload();
}

void RoleProcess::Reload() {
  const auto settings = kernel::Settings::Load(
      this->settings_file.path(),
      kernel::ModuleRegistry::Instance().SchemaOf(this->role));
  if (const kernel::Error* error = kernel::ErrorOf(settings)) {
    kernel::LogEvent(EventId::kSettingsRefused,
                     {{"reason", kernel::Describe(*error)}});
    return;
  }
  for (const auto& module : this->modules)
    module->Reload(std::get<kernel::Settings>(settings));
  kernel::LogEvent(EventId::kSettingsReloaded,
                   {{"file", this->settings_file.path()}});
}

void RoleProcess::WaitForDrain(const ProcessSignals& signals) {
  auto next_report = kernel::Clock::now();
  while (true) {
    std::string pending;
    for (const auto& module : this->modules) {
      if (pending.empty()) pending = module->Pending();
    }
    if (pending.empty()) return;
    const auto now = kernel::Clock::now();
    if (now >= next_report) {
      kernel::LogEvent(EventId::kStopWaiting, {{"for", pending}});
      next_report = now + kReportInterval;
    }
    this->ReloadIfAsked(signals.Wait(kDrainCheckInterval));
  }
}

}  // namespace banyanlane::app
