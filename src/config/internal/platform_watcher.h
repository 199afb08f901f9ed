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

/// Reads configuration and instances from the platform, each on a thread of its
/// own.
class PlatformWatcher {
 public:
  PlatformWatcher(std::shared_ptr<IPlatform> platform,
                  std::shared_ptr<IConfigStore> store,
                  std::shared_ptr<membership::IMembership> membership,
                  std::string node, kernel::Millis watch);
  ~PlatformWatcher();

  void Start();
  void Stop();

 private:
  /// Reads once. @return the error, if it failed.
  using ReadOnce = std::function<const kernel::Error*(kernel::Millis wait,
                                                      kernel::Error& error)>;

  void Run(const std::string& what, const ReadOnce& read_once);
  const kernel::Error* ReadConfig(kernel::Millis wait, kernel::Error& error);
  const kernel::Error* ReadInstances(kernel::Millis wait, kernel::Error& error);
  void Pause(kernel::Millis pause);

  std::shared_ptr<IPlatform> platform;
  std::shared_ptr<IConfigStore> store;
  std::shared_ptr<membership::IMembership> membership;
  std::string node;
  kernel::Millis watch;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopped = false;
  std::thread config_thread;
  std::thread instances_thread;
};

}  // namespace banyanlane::config
