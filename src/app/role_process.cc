#include "app/role_process.h"

#include <csignal>
#include <ctime>

#include "kernel/event_log.h"

namespace banyanlane::app {
namespace {

using kernel::EventId;

/// Interval of the checks whether any module still has pending work.
constexpr std::int64_t kDrainCheckNanos = 50'000'000;
/// Interval of the checks whether the settings file has changed, since it can
/// change without a signal.
constexpr time_t kSettingsCheckSeconds = 2;
/// Number of drain checks between two log lines.
constexpr int kChecksPerReport = 40;

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

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

int RoleProcess::Run() {
  const sigset_t signals = HandledSignals();
  // The signals are blocked before any thread starts, so that only WaitForStop
  // receives them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  kernel::LogEvent(EventId::kProcessStarted,
                   {{"node", this->context.settings().Text("node", "id")}});
  for (const auto& module : this->modules) module->Start();
  const int received = this->WaitForStop(signals);
  kernel::LogEvent(EventId::kStopRequested,
                   {{"signal", std::to_string(received)}});
  for (const auto& module : this->modules) module->Drain();
  this->WaitForDrain();
  for (auto it = this->modules.rbegin(); it != this->modules.rend(); ++it)
    (*it)->Stop();
  kernel::LogEvent(EventId::kProcessStopped, {});
  return 0;
}

int RoleProcess::WaitForStop(const sigset_t& signals) {
  while (true) {
    const timespec timeout{kSettingsCheckSeconds, 0};
    const int received = sigtimedwait(&signals, nullptr, &timeout);
    const bool must_stop = received == SIGTERM || received == SIGINT;
    if (must_stop) return received;
    const bool changed = this->settings_file.HasChanged();
    if (received == SIGHUP || changed) this->Reload();
  }
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

void RoleProcess::WaitForDrain() {
  for (int round = 0;; ++round) {
    std::string pending;
    for (const auto& module : this->modules) {
      if (pending.empty()) pending = module->Pending();
    }
    if (pending.empty()) return;
    if (round % kChecksPerReport == 0)
      kernel::LogEvent(EventId::kStopWaiting, {{"for", pending}});
    const timespec pause{0, kDrainCheckNanos};
    nanosleep(&pause, nullptr);
  }
}

}  // namespace banyanlane::app
