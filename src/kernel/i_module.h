#pragma once

#include <any>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <typeindex>

#include "kernel/settings.h"

namespace banyanlane::kernel {

/// Lets modules export interfaces and resolve those of others.
class ModuleContext {
 public:
  explicit ModuleContext(Settings settings)
      : process_settings(std::move(settings)) {}

  const Settings& settings() const { return this->process_settings; }

  /// Makes `implementation` available under the interface type.
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
  /// @throws std::logic_error when no module exported it: an error in the
  /// assembly.
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

/// A part of a process. Calls come in this order: Export on all, Resolve on
/// all, Start on all, and Stop in the reverse order.
class IModule {
 public:
  virtual ~IModule() = default;

  virtual void Export(ModuleContext& context) = 0;
  virtual void Resolve(ModuleContext& context) = 0;
  virtual void Start() = 0;

  /// Takes over what may change while the process runs. Other settings keep
  /// their values until the next start.
  virtual void Reload(const Settings& /*settings*/) {}

  /// Begins a graceful shutdown: no new work, requests in flight go on.
  virtual void Drain() {}

  /// Returns what a graceful shutdown still waits for, or "" when nothing.
  virtual std::string Pending() { return ""; }

  virtual void Stop() = 0;
};

}  // namespace banyanlane::kernel
