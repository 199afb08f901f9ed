#pragma once

#include <any>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <typeindex>

#include "kernel/settings.h"
#include "kernel/time.h"

namespace banyanlane::kernel {

/// Settings of a process, and the registry through which its modules export
/// interfaces and look up the interfaces of other modules.
class ModuleContext {
 public:
  explicit ModuleContext(Settings settings)
      : process_settings(std::move(settings)) {}

  const Settings& settings() const { return this->process_settings; }

  /// Registers `implementation` under the interface type.
  template <typename Interface>
  void Export(std::shared_ptr<Interface> implementation) {
    this->exports[std::type_index(typeid(Interface))] =
        std::move(implementation);
  }

  /// Returns the implementation exported for the interface type, or null.
  template <typename Interface>
  std::shared_ptr<Interface> Find() const {
    const auto found = this->exports.find(std::type_index(typeid(Interface)));
    if (found == this->exports.end()) return nullptr;
    return std::any_cast<std::shared_ptr<Interface>>(found->second);
  }

  /// Returns the implementation exported for the interface type.
  /// @throws std::logic_error if no module of this process exports it, which is
  /// a programming error.
  template <typename Interface>
  std::shared_ptr<Interface> Resolve() const {
    const auto found = this->exports.find(std::type_index(typeid(Interface)));
    if (found == this->exports.end()) {
      throw std::logic_error(std::string("no module exports ") +
                             typeid(Interface).name());
    }
    return std::any_cast<std::shared_ptr<Interface>>(found->second);
  }

 private:
  Settings process_settings;
  std::map<std::type_index, std::any> exports;
};

/// Component of a process. Export is called on all modules first, then Resolve
/// on all, then Start on all, each in start order. Stop is called in reverse
/// order.
class IModule {
 public:
  virtual ~IModule() = default;

  /// Registers the interfaces that this module implements. Can look up those
  /// that modules earlier in the start order have exported.
  virtual void Export(ModuleContext& context) = 0;
  /// Looks up the interfaces of other modules. Can export an interface whose
  /// implementation needs them, for modules later in the start order.
  virtual void Resolve(ModuleContext& context) = 0;
  virtual void Start() = 0;

  /// Applies the settings that can change at run time. All other settings keep
  /// their values until the next start.
  virtual void Reload(const Settings& /*settings*/) {}

  /// Begins a graceful shutdown: the module accepts no new work, and requests
  /// in flight continue.
  /// @param requested_at time of kernel::BootNow from which the grace period is
  /// counted. It is long past if the process was frozen when it was asked to
  /// stop.
  virtual void Drain(TimePoint /*requested_at*/) {}

  /// Returns a description of what a graceful shutdown still waits for, or ""
  /// if it waits for nothing.
  virtual std::string Pending() { return ""; }

  virtual void Stop() = 0;
};

}  // namespace banyanlane::kernel
