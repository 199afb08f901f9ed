#pragma once

#include <optional>
#include <string_view>

#include "config/profile.h"
#include "kernel/time.h"

namespace banyanlane::direct {

/// Whether a stream missed a goal of its profile, and which one.
enum class StreamLateness {
  kOnTime,
  kFirstEvent,  ///< The first event came after the latency goal.
  kPause,       ///< A pause between two events was longer than the pause goal.
  kBoth,
};

/// Returns the stable name of `lateness`.
std::string_view StreamLatenessName(StreamLateness lateness);

/// Times at which the events of one stream arrived, over all its attempts.
class StreamProgress {
 public:
  /// Records that events have arrived.
  /// @return the pause since the last events, or nothing for the first ones.
  std::optional<kernel::Millis> OnEvents(kernel::TimePoint now);

  /// Records that the endpoint, which was kept from sending, may send again.
  /// The time before counts as no pause.
  void OnResumed(kernel::TimePoint now);

  /// Returns the time from `arrived_at` to the first event, or nothing before
  /// it.
  /// @param arrived_at time at which the request arrived.
  std::optional<kernel::Millis> FirstEventTime(
      kernel::TimePoint arrived_at) const;

  kernel::Millis longest_pause() const { return this->max_pause; }

  /// Compares the stream with the goals of its profile. A goal of 0 is never
  /// missed.
  StreamLateness Lateness(const config::Profile& profile,
                          kernel::TimePoint arrived_at) const;

 private:
  std::optional<kernel::TimePoint> first_at;
  kernel::TimePoint last_at;
  kernel::Millis max_pause{0};
};

}  // namespace banyanlane::direct
