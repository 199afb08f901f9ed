#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Decides which requests a gateway accepts, and when a graceful stop is over.
/// At its end, nothing is accepted any more, and the requests that are left are
/// to be answered at once. It counts the accepted requests itself, so that no
/// stop ends between the acceptance of a request and its execution. All times
/// are those of kernel::BootNow, since the grace period does not end later if
/// the machine is suspended. Thread-safe.
class GracefulStop {
 public:
  /// @param grace_period time from the request to stop to the moment at which
  /// the platform ends the process.
  /// @param address_ttl time for which callers may use the addresses that they
  /// were given.
  GracefulStop(kernel::Millis grace_period, kernel::Millis address_ttl);

  /// Begins the stop. Does nothing if it has begun already.
  /// @param requested_at time from which the grace period is counted.
  void Begin(kernel::TimePoint requested_at, kernel::TimePoint now);
  bool HasBegun() const;

  /// Accepts a request unless its response could be cut off by the end of the
  /// stop. While callers learn of the stop, all requests are accepted: most
  /// responses are far shorter than their time limit.
  /// @param time_limit longest time from `now` to the end of the response.
  /// @return whether it is accepted. OnEnded must then follow.
  bool TryAccept(kernel::Millis time_limit, kernel::TimePoint now);
  /// Records that the response to an accepted request has ended.
  void OnEnded();

  /// Returns what the stop waits for. When it returns "", the stop is over.
  /// @param busy_connections number of connections on which requests arrive or
  /// are answered.
  std::string Pending(std::size_t busy_connections, kernel::TimePoint now);
  /// Returns whether Pending has found that the time is up or that nothing is
  /// left to wait for. No request is accepted any more.
  bool IsClosing() const;

 private:
  /// Time from the request to stop to the moment at which it closes.
  kernel::Millis duration;
  /// Time for which callers may still use this gateway's address.
  kernel::Millis address_use;
  mutable std::mutex mutex;  ///< Guards all members below.
  /// When the stop was requested, once it has begun.
  std::optional<kernel::TimePoint> requested_at;
  kernel::TimePoint began_at;  ///< When callers could begin to learn of it.
  std::optional<kernel::TimePoint> closing_since;
  std::size_t accepted = 0;  ///< Accepted requests that have not ended.
};

}  // namespace banyanlane::direct
