#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "config/i_config.h"
#include "config/i_platform.h"
#include "membership/instances.h"

namespace banyanlane::config {

/// Reads configuration and instance list from the platform, in one thread each.
class PlatformWatcher {
 public:
  /// @param node Id of this entry in the instance list.
  /// @param max_wait Maximum time that one read waits for a change.
  PlatformWatcher(std::shared_ptr<IPlatform> platform,
                  std::shared_ptr<IConfigStore> store,
                  std::shared_ptr<membership::IMembership> membership,
                  std::string node, kernel::Millis max_wait);
  ~PlatformWatcher();

  void Start();
  void Stop();

 private:
  /// Reads the platform once and offers the value.
  /// @return Pointer to `error` if the read failed, else null.
  using ReadOnce = std::function<const kernel::Error*(kernel::Millis wait,
                                                      kernel::Error& error)>;

  void Run(const std::string& resource, const ReadOnce& read_once);
  const kernel::Error* ReadConfig(kernel::Millis wait, kernel::Error& error);
  const kernel::Error* ReadInstances(kernel::Millis wait, kernel::Error& error);
  void Pause(kernel::Millis pause);

  std::shared_ptr<IPlatform> platform;
  std::shared_ptr<IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  std::string node;
  kernel::Millis max_wait;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopped = false;
  std::thread config_thread;
  std::thread instances_thread;
};

}  // namespace banyanlane::config
