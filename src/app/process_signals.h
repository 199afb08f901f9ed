#pragma once

#include <csignal>
#include <optional>

#include "kernel/time.h"

namespace banyanlane::app {

/// The signals with which operators stop a process or reload its settings.
/// They are blocked in all threads, so that none of them ends the process by
/// its default action. Only Wait receives them.
class ProcessSignals {
 public:
  /// Blocks the signals in the calling thread. Threads inherit this from the
  /// thread that starts them, so this must come before any other thread.
  ProcessSignals();

  /// Waits for one of the signals. A signal that arrived before this call, and
  /// was not returned yet, is returned at once.
  /// @return the signal, or nothing if none arrived within `timeout`.
  std::optional<int> Wait(kernel::Millis timeout) const;

  /// Returns whether SIGTERM or SIGINT has arrived and was not returned by Wait
  /// yet.
  bool IsStopPending() const;

 private:
  sigset_t signals{};
};

}  // namespace banyanlane::app
