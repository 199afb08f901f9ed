#pragma once

#include <cstddef>
#include <mutex>
#include <optional>

#include "kernel/time.h"

namespace banyanlane::catalog {

/// Limits on the time without a response of the store.
struct ContactLimits {
  /// Time after which the first process asks the store.
  kernel::Millis max_age{1'500};
  /// Time that a process has to respond to this and to tell its peers, before
  /// further ones ask. At least one period of heartbeats.
  kernel::Millis takeover_delay{500};
};

/// Decides when a process asks the store for changes again although its watch
/// is still waiting. A watch that has lost its connection looks like one
/// without changes, so that after a failure of the network or the store all
/// processes could wait. One of them therefore asks whenever none had a
/// response for ContactLimits::max_age. If it gets no response either, others
/// follow, about twice as many after each takeover_delay. The number of calls
/// in calm times does not depend on the number of processes. Does no I/O.
/// Thread-safe.
class ContactMonitor {
 public:
  explicit ContactMonitor(const ContactLimits& limits) : limits(limits) {}

  /// Records a response of the store to this process.
  void OnResponse(kernel::TimePoint now);

  /// Records that a peer had, or has heard of, a response `age` ago. Call it
  /// only if this process has all that the peer has.
  void OnPeerResponse(kernel::Millis age, kernel::TimePoint now);

  /// Returns the time since the latest known response, or nothing.
  std::optional<kernel::Millis> Age(kernel::TimePoint now);

  /// Returns whether any process must ask the store.
  bool IsOverdue(kernel::TimePoint now);

  /// Returns whether this process must ask the store.
  /// @param rank number of processes that ask before this one.
  bool IsDue(std::size_t rank, kernel::TimePoint now);

 private:
  const ContactLimits limits;
  std::mutex mutex;
  std::optional<kernel::TimePoint> responded_at;
};

}  // namespace banyanlane::catalog
