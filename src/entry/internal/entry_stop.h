#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

#include "kernel/time.h"

namespace banyanlane::entry {

/// Decides which work an entry accepts, and when a graceful stop is over. It
/// counts requests from their arrival, so that no stop ends between the
/// acceptance of a request and its execution. Thread-safe.
class EntryStop {
 public:
  /// Begins the stop. Does nothing if it has begun already.
  /// @param duration time until the last request of the stop has its deadline.
  /// @param address_use time for which callers may still use this entry's
  /// address.
  void Begin(kernel::Millis duration, kernel::Millis address_use,
             kernel::TimePoint now);
  bool HasBegun() const;

  /// Counts a request that has arrived. OnEnded must follow.
  void OnArrived(kernel::TimePoint now);
  /// Records that the response to a request has ended.
  void OnEnded();

  /// Accepts work of a request that has arrived, unless the stop has begun and
  /// callers may no longer use this entry's address.
  /// @param time_limit longest time from `now` to the end of the response.
  /// @return the time limit of the accepted work, which ends with the stop, or
  /// nothing if it is refused.
  std::optional<kernel::Millis> TryAccept(kernel::Millis time_limit,
                                          kernel::TimePoint now);

  /// Returns what the stop waits for. When it returns "", the stop is over, and
  /// no work is accepted any more.
  std::string Pending(kernel::TimePoint now);

 private:
  /// Times of a stop.
  struct Schedule {
    kernel::TimePoint address_use_end;
    kernel::TimePoint last_deadline;
  };

  mutable std::mutex mutex;  ///< Guards all members below.
  std::optional<Schedule> schedule;
  bool is_over = false;
  std::size_t in_flight = 0;  ///< Requests whose response has not ended.
  /// Latest deadline of all accepted requests. A request that is answered
  /// immediately has that of its arrival.
  kernel::TimePoint latest_deadline;
};

}  // namespace banyanlane::entry
