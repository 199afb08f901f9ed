#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "limits/internal/coordinator_election.h"
#include "link/messages.h"

namespace banyanlane::limits {

/// Parameters of the permits.
struct PermitLimits {
  /// Time in which a permit must be used. Bounds the permits that gateways hold
  /// while they have no requests.
  kernel::Millis permit_lifetime{1'000};
  /// Time for which a request for permits is remembered, and after which an
  /// unanswered one is sent again.
  kernel::Millis request_lifetime{1'000};
  /// Permits that the coordinator can hand out at once, in seconds of the
  /// limit; at least one.
  double burst_s = 0.2;
  /// Permits that one gateway can request at once, in seconds of the limit; at
  /// least one.
  double request_s = 0.5;
  /// A smaller change of a limit, relative to it, is not announced.
  double min_change = 0.05;
  /// Time after the end of the last limit for which gateways remain ready to
  /// hand out permits.
  kernel::Millis end_memory{10'000};
  ElectionLimits election;
};

/// Keeps the limits that endpoints have named for the requests of all gateways
/// together.
///
/// One gateway, the coordinator, hands out permits at the rate of each limit to
/// those that ask. A gateway without a link to it asks the next gateway on the
/// way, which passes the permit on. A limit and its end are known from the
/// responses of the endpoint; the first gateway that sees one tells the others.
/// Does no I/O; not thread-safe.
class SharedRateLimits {
 public:
  /// A message to send over one link.
  struct Outgoing {
    std::uint64_t link = 0;
    link::Message message;
  };

  /// @param own number of this process, different for each start of one.
  SharedRateLimits(std::uint64_t own, const PermitLimits& limits)
      : limits(limits), election(own, limits.election) {}

  /// Sets the part of all gateways that this one can reach, from 0 to 1. As the
  /// coordinator, it hands out this part of each limit, so that the two sides
  /// of a partition keep it together.
  void SetReach(double part) { this->reach = part; }

  /// Returns whether an endpoint has a limit, or had one recently, or this
  /// gateway takes part in an election.
  bool IsActive() const {
    return this->has_limits || this->election.Current().candidate != 0;
  }
  bool IsLimited(const std::string& endpoint) const;
  /// Returns the limit in requests a second, or nothing.
  std::optional<double> LimitOf(const std::string& endpoint) const;
  /// Returns whether a request may be sent to `endpoint`; see IRateLimits.
  bool MaySend(const std::string& endpoint, kernel::TimePoint now);
  void OnSent(const std::string& endpoint, kernel::TimePoint now);
  void OnResponse(const std::string& endpoint, std::optional<double> per_second,
                  kernel::TimePoint sent_at, kernel::TimePoint now);
  /// Limits the attempts at some work, or ends the limit. The other gateways
  /// are not told, since each knows it by itself.
  void SetLimit(const std::string& resource, std::optional<double> per_second,
                kernel::TimePoint now);
  /// Forgets the limits of all other endpoints, and those of work that have
  /// ended.
  void Retain(const std::set<std::string>& endpoints);

  void OnLinkUp(std::uint64_t link, kernel::TimePoint now);
  void OnLinkDown(std::uint64_t link, kernel::TimePoint now);
  void OnMessage(std::uint64_t link, const link::RateLimit& message,
                 kernel::TimePoint now);
  void OnMessage(std::uint64_t link, const link::Coordinator& message,
                 kernel::TimePoint now);
  void OnMessage(std::uint64_t link, const link::PermitRequest& message,
                 kernel::TimePoint now);
  void OnMessage(std::uint64_t link, const link::PermitGrant& message,
                 kernel::TimePoint now);

  /// Hands out permits and requests those that are missing. To be called after
  /// each message and about ten times a second.
  void Step(kernel::TimePoint now);

  /// Returns the messages to send since the last call.
  std::vector<Outgoing> TakeMessages();
  /// Returns the limits that have changed since the last call, by endpoint; 0
  /// for a limit that has ended.
  std::vector<std::pair<std::string, double>> TakeChanges();
  /// Returns whether permits have arrived or a limit has ended since the last
  /// call.
  bool TakePermitsChanged();

 private:
  /// Place in the queue for permits.
  struct Waiter {
    std::optional<std::uint64_t> link;  ///< Nothing for this process.
    kernel::TimePoint expires_at;
  };
  struct Limit {
    double per_second = 0;  ///< 0 if the endpoint has ended its limit.
    /// Limit that the other gateways were told last, and the number of that
    /// news.
    double announced_per_second = 0;
    std::uint64_t sequence = 0;
    /// When the endpoint first named a limit that has not ended.
    kernel::TimePoint named_at;
    /// Time of the response that is known last.
    kernel::TimePoint observed_at;
    std::deque<kernel::TimePoint> permits;  ///< Times at which they expire.
    int wanted = 0;  ///< Requests that found no permit since the last step.
    std::deque<Waiter> waiters;
    /// When permits were requested that have not arrived yet.
    std::optional<kernel::TimePoint> requested_at;
    double tokens = 0;  ///< Permits that the coordinator can hand out.
    kernel::TimePoint refilled_at;
  };

  /// Returns whether a response that contradicts `limit` may be older than what
  /// is known, because its request was sent before that.
  static bool IsOutdated(const Limit& limit, bool names_limit,
                         kernel::TimePoint sent_at);
  /// Sets a limit in requests a second; 0 ends it.
  void Set(Limit& limit, double per_second, kernel::TimePoint now);
  void SendToAll(const link::Message& message,
                 std::optional<std::uint64_t> except);
  static link::RateLimit NewsOf(const std::string& endpoint,
                                const Limit& limit);
  void EnqueueOwn(Limit& limit, kernel::TimePoint now) const;
  void Enqueue(Limit& limit, std::optional<std::uint64_t> link, int count,
               kernel::TimePoint now) const;
  void Grant(const std::string& endpoint, Limit& limit,
             kernel::TimePoint expires_at, kernel::TimePoint now);
  void HandOut(const std::string& endpoint, Limit& limit,
               kernel::TimePoint now);
  void RequestPermits(const std::string& endpoint, Limit& limit,
                      kernel::TimePoint now);
  static void DropExpired(Limit& limit, kernel::TimePoint now);

  PermitLimits limits;
  CoordinatorElection election;
  double reach = 1;
  std::set<std::uint64_t> links;
  std::map<std::string, Limit> known;  ///< Limits and their ends, by endpoint.
  /// An endpoint has a limit, or has ended one within PermitLimits::end_memory.
  bool has_limits = false;
  std::vector<Outgoing> outgoing;
  std::vector<std::pair<std::string, double>> changes;
  bool permits_changed = false;
};

}  // namespace banyanlane::limits
