#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::direct {

/// An endpoint chosen for one sending.
struct EndpointChoice {
  std::string id;
  std::string address;
  std::string service;
};

/// What one sending to an endpoint came to.
enum class AttemptResult {
  kCompleted,    ///< A whole answer, whatever its status.
  kCancelled,    ///< Ended from here; says nothing of the endpoint.
  kFull,         ///< Refused without running.
  kReplaced,     ///< Another endpoint has the address.
  kUnreachable,  ///< No connection.
  kBroken,       ///< Cut, malformed or silent.
  kFailed,       ///< A whole answer that reports a failure of the endpoint.
};

/// Returns the stable name of `result`.
std::string_view AttemptResultName(AttemptResult result);

/// Bounds on how endpoints are used.
struct PoolLimits {
  /// Requests that an endpoint may hold beyond its slots, as a part of them:
  /// a little work must wait there, for the next to begin without a pause.
  double queue_fraction = 0.2;
  /// Slots taken for granted where the platform lists none.
  std::int64_t default_slots = 8;
  /// Added to the load of endpoints in another failure domain, as a part of
  /// their slots.
  double distance_penalty = 0.15;
  /// Added to the load of an endpoint whose recent answers all failed.
  double failure_penalty = 1.0;
  kernel::Millis full_pause{200};        ///< No work after a refusal.
  kernel::Millis initial_ejection{500};  ///< No work after a failure.
  kernel::Millis max_ejection{4'000};
  /// An endpoint whose address another one had is tried again after this, if
  /// the list still names it.
  kernel::Millis replaced_pause{10'000};
  /// Refusals in a row, of any endpoints of a service, after which the service
  /// counts as closed: a group that has lost a rank refuses everything until it
  /// has formed anew. One request at a time then tries whether it is open.
  int refusals_until_unavailable = 3;
  kernel::Millis probe_interval{200};
  /// A service whose streams are all silent for this long stands: its ranks
  /// wait for one that can't go on. Many times the pause between two events.
  kernel::Millis service_stall_timeout{600};
  /// Silent endpoints that it takes to say so of a service.
  int min_stalled_endpoints = 3;
  /// Failures in a row after which an endpoint is left alone for a while.
  int failures_to_eject = 2;
};

/// The endpoints of all services, with what this gateway has seen of them.
/// I/O-free; each service under a lock of its own.
class EndpointPool {
 public:
  /// Returns the requests that other gateways have at an endpoint.
  using InFlightFromPeers = std::function<std::int64_t(const std::string&)>;

  /// Returns the time that the work of the endpoint at an address takes,
  /// against the usual.
  using SlowdownOf = std::function<double(const std::string&)>;

  EndpointPool(std::string failure_domain, const PoolLimits& limits,
               std::uint64_t seed, InFlightFromPeers in_flight_from_peers,
               SlowdownOf slowdown_of);

  /// Takes over a new list. Counts of endpoints that stay are kept.
  void OnInstances(const membership::InstanceList& list);

  /// Returns the endpoint of `service` with the most room, and counts a request
  /// there. @param avoid ids of endpoints that were tried before.
  std::optional<EndpointChoice> Choose(const std::string& service,
                                       const std::set<std::string>& excluded,
                                       kernel::TimePoint now);

  /// Returns whether Choose would find an endpoint.
  bool HasCapacity(const std::string& service, kernel::TimePoint now);

  /// Returns whether all endpoints of `service` refuse what they are sent, or
  /// are silent.
  bool IsUnavailable(const std::string& service);

  /// Returns whether all streams of `service` are silent.
  bool IsStalled(const std::string& service);

  /// Returns whether `service` has any endpoint besides those in `avoid` that
  /// takes work, if not now.
  bool HasEndpoints(const std::string& service,
                    const std::set<std::string>& excluded,
                    kernel::TimePoint now);

  /// Notes that an endpoint answers.
  void OnProgress(const EndpointChoice& choice, kernel::TimePoint now);

  /// Returns whether any other endpoint of the service has answered since
  /// `since`.
  bool HaveOthersProgressed(const EndpointChoice& choice,
                            kernel::TimePoint since);

  /// Ends a request that Choose counted.
  void Release(const EndpointChoice& choice, AttemptResult result,
               kernel::TimePoint now);

  /// Returns the requests of this gateway at each endpoint that has some.
  std::vector<std::pair<std::string, std::int64_t>> InFlight();

  /// Returns one line for each endpoint.
  std::vector<std::string> Describe(kernel::TimePoint now);

 private:
  struct Endpoint {
    membership::Instance instance;
    bool listed = false;  ///< In the newest list.
    kernel::TimePoint progressed_at;
    std::int64_t in_flight = 0;
    double failure_rate = 0;  ///< Moving share of failures.
    int consecutive_failures = 0;
    kernel::TimePoint full_until;
    kernel::TimePoint ejected_until;
    /// Another endpoint has its address, and the list does not say so yet.
    kernel::TimePoint replaced_until;
  };
  struct Service {
    std::mutex mutex;
    std::map<std::string, Endpoint> endpoints;  ///< By id.
    std::minstd_rand random;
    int consecutive_refusals = 0;
    std::int64_t in_flight = 0;
    bool has_streams = false;
    bool is_stalled = false;  ///< Until an event comes.
    kernel::TimePoint
        last_progress_at;  ///< Last event, or begin of the first request.
    kernel::TimePoint next_probe_at;
  };

  std::shared_ptr<Service> Find(const std::string& service);
  std::shared_ptr<Service> FindOrAdd(const std::string& service);
  static bool IsUsable(const Endpoint& endpoint, kernel::TimePoint now);
  std::int64_t SlotsOf(const Endpoint& endpoint) const;
  /// Returns the load as a part of the slots, or nothing when it has no room.
  std::optional<double> LoadOf(const Endpoint& endpoint,
                               kernel::TimePoint now) const;
  Endpoint* Best(Service& service, const std::set<std::string>& excluded,
                 kernel::TimePoint now) const;
  bool IsUnavailable(const Service& service) const;
  /// Notes whether the service stands.
  void UpdateStalled(Service& service, kernel::TimePoint now) const;
  void CountRefusal(Service& service, kernel::TimePoint now) const;
  void OnFailure(Endpoint& endpoint, kernel::TimePoint now) const;

  std::string failure_domain;
  PoolLimits limits;
  std::uint64_t seed;
  InFlightFromPeers in_flight_from_peers;
  SlowdownOf slowdown_of;
  std::mutex mutex;  ///< Of `services`, not of what they hold.
  std::map<std::string, std::shared_ptr<Service>> services;
};

}  // namespace banyanlane::direct
