#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Requests that wait for capacity at the endpoints of a service. The most
/// urgent come first; among equally urgent ones those that can still be
/// answered on time, and among these the earliest. A request that is already
/// late waits behind these, since sending it first could make another one late.
class RequestQueue {
 public:
  /// Returns the number of requests that are sent before one that is enqueued
  /// now.
  std::size_t CountAhead(const std::string& service, std::int64_t urgency,
                         kernel::TimePoint now);

  /// Returns the expected wait of a request that is enqueued now, from the
  /// recent rate of dispatched requests, or 0 when no request is ahead of it.
  /// Returns nothing when no recent rate is known.
  std::optional<kernel::Millis> ExpectedWait(const std::string& service,
                                             std::int64_t urgency,
                                             kernel::TimePoint now);

  /// Adds a request to the queue.
  /// @param number number of the request, which NextRequest returns.
  /// @param dispatch_by latest time at which the request must be sent to be
  /// answered on time.
  /// @return the ticket of the request, for Remove.
  std::uint64_t Enqueue(const std::string& service, std::int64_t urgency,
                        std::uint64_t number, kernel::TimePoint dispatch_by);

  /// Removes a request from the queue.
  void Remove(const std::string& service, std::int64_t urgency,
              std::uint64_t ticket);

  /// Counts a request of `service` that was sent to an endpoint.
  void OnDispatched(const std::string& service, kernel::TimePoint now);

  /// Returns the number of the next request to send, if any is queued.
  /// @param skipped numbers of queued requests that are not returned.
  std::optional<std::uint64_t> NextRequest(
      const std::string& service, const std::set<std::uint64_t>& skipped,
      kernel::TimePoint now);

  /// Returns the services that have queued requests.
  std::vector<std::string> QueuedServices();

  /// Returns the number of queued requests of `service`.
  std::size_t Length(const std::string& service);

  /// Returns the number of queued requests of all services.
  std::size_t TotalLength();

 private:
  struct Entry {
    std::uint64_t number = 0;
    kernel::TimePoint dispatch_by;
  };
  struct ServiceQueue {
    /// Queued requests by urgency and ticket.
    std::map<std::pair<std::int64_t, std::uint64_t>, Entry> entries;
    double dispatched_per_second = 0;
    kernel::TimePoint rate_updated_at;
    std::int64_t dispatched = 0;  ///< Count since rate_updated_at.
  };

  /// Requires the lock.
  std::size_t CountAhead(const ServiceQueue& queue, std::int64_t urgency,
                         kernel::TimePoint now) const;

  std::mutex mutex;
  std::unordered_map<std::string, ServiceQueue> queues;
  std::uint64_t last_ticket = 0;
};

}  // namespace banyanlane::direct
