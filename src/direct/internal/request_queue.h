#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Requests that wait for room at the endpoints of a service: the most urgent
/// first, of those alike the ones that can still be answered in time, and of
/// these in the order of their arrival. One that is late anyway waits behind,
/// since it would take the place of one that is not yet.
class RequestQueue {
 public:
  /// Returns how long a request that joins now would wait, from how fast the
  /// line has moved of late; nothing when it has not been seen to move.
  std::optional<kernel::Millis> ExpectedWait(const std::string& service,
                                             std::int64_t urgency,
                                             kernel::TimePoint now);

  /// Joins the line. @return the ticket to leave with.
  /// @param dispatch_by when it must have got room to be answered in time.
  std::uint64_t Enqueue(const std::string& service, std::int64_t urgency,
                        kernel::TimePoint dispatch_by);

  /// Leaves the line.
  void Remove(const std::string& service, std::int64_t urgency,
              std::uint64_t ticket);

  /// Counts a request of `service` that has got room at an endpoint.
  void OnDispatched(const std::string& service, kernel::TimePoint now);

  /// Returns the ticket whose turn it is, if any waits.
  std::optional<std::uint64_t> NextTicket(const std::string& service,
                                          kernel::TimePoint now);

  /// Returns the services that requests wait for.
  std::vector<std::string> QueuedServices();

  /// Returns how many wait for `service`.
  std::size_t Length(const std::string& service);

 private:
  struct ServiceQueue {
    /// By urgency, then ticket; until when they can be in time.
    std::map<std::pair<std::int64_t, std::uint64_t>, kernel::TimePoint> entries;
    double dispatched_per_second = 0;
    kernel::TimePoint rate_updated_at;
    std::int64_t dispatched = 0;  ///< Since rate_updated_at.
  };

  std::mutex mutex;
  std::unordered_map<std::string, ServiceQueue> queues;
  std::uint64_t last_ticket = 0;
};

}  // namespace banyanlane::direct
