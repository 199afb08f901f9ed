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

/// An endpoint chosen for one attempt.
struct EndpointChoice {
  std::string id;
  std::string address;
  std::string service;
};

/// Result of one attempt at an endpoint.
enum class AttemptResult {
  kCompleted,  ///< The response is complete, whatever its status.
  /// The gateway ended the attempt; this says nothing about the endpoint.
  kCancelled,
  kFull,         ///< The endpoint refused without running the request.
  kReplaced,     ///< Another endpoint has the address.
  kUnreachable,  ///< No connection could be opened.
  kBroken,       ///< The response was truncated, malformed or silent.
  kFailed,  ///< The response is complete and reports a failure of the endpoint.
};

/// Returns the stable name of `result`.
std::string_view AttemptResultName(AttemptResult result);

/// Limits and penalties in the choice of endpoints.
struct PoolLimits {
  /// Number of requests that an endpoint may have beyond its slots, as a
  /// fraction of the slots. A few requests must be queued there so that the
  /// next one starts without a pause.
  double queue_fraction = 0.2;
  /// Number of slots assumed where the platform lists none.
  std::int64_t default_slots = 8;
  /// Added to the load of endpoints in another failure domain, as a fraction of
  /// their slots.
  double distance_penalty = 0.15;
  /// Added to the load of an endpoint whose recent responses were all failures.
  double failure_penalty = 1.0;
  kernel::Millis full_pause{200};        ///< Pause in requests after a refusal.
  kernel::Millis initial_ejection{500};  ///< Pause after the first failures.
  kernel::Millis max_ejection{4'000};
  /// An endpoint whose address belonged to another one is tried again after
  /// this time if the list still contains it.
  kernel::Millis replaced_pause{10'000};
  /// Number of consecutive refusals by any endpoints of a service after which
  /// the service counts as unavailable. A group that has lost a rank refuses
  /// everything until it has formed again. One request at a time then probes
  /// whether the service accepts requests.
  int refusals_until_unavailable = 3;
  kernel::Millis probe_interval{200};
  /// A service whose streams are all silent for this long is stalled: its ranks
  /// wait for one that can't continue. The value is many times the pause
  /// between two events.
  kernel::Millis service_stall_timeout{600};
  /// Minimum number of endpoints with requests in flight for a silent service
  /// to count as stalled.
  int min_stalled_endpoints = 3;
  /// Number of consecutive failures after which an endpoint is ejected for some
  /// time.
  int failures_to_eject = 2;
};

/// The endpoints of all services, and what this gateway has observed of them.
/// I/O-free; each service has its own lock.
class EndpointPool {
 public:
  /// Returns the number of requests that other gateways have in flight at the
  /// endpoint with this id.
  using InFlightFromPeers = std::function<std::int64_t(const std::string&)>;

  /// Returns the slowdown of the endpoint at an address: its time per unit of
  /// work relative to normal, where 2 is twice as slow.
  using SlowdownOf = std::function<double(const std::string&)>;

  EndpointPool(std::string failure_domain, const PoolLimits& limits,
               std::uint64_t seed, InFlightFromPeers in_flight_from_peers,
               SlowdownOf slowdown_of);

  /// Replaces the instance list. Counts of endpoints that remain listed are
  /// kept.
  void OnInstances(const membership::InstanceList& list);

  /// Returns the endpoint of `service` with the most free capacity, and counts
  /// a request there.
  /// @param excluded ids of endpoints that were tried before.
  std::optional<EndpointChoice> Choose(const std::string& service,
                                       const std::set<std::string>& excluded,
                                       kernel::TimePoint now);

  /// Returns whether Choose would find an endpoint.
  bool HasCapacity(const std::string& service, kernel::TimePoint now);

  /// Returns whether all endpoints of `service` refuse their requests or are
  /// silent.
  bool IsUnavailable(const std::string& service);

  /// Returns whether all streams of `service` are silent.
  bool IsStalled(const std::string& service);

  /// Returns whether `service` has an endpoint outside of `excluded` that
  /// accepts requests in principle, even if it has no capacity now.
  bool HasEndpoints(const std::string& service,
                    const std::set<std::string>& excluded,
                    kernel::TimePoint now);

  /// Records that an endpoint has sent an event.
  void OnProgress(const EndpointChoice& choice, kernel::TimePoint now);

  /// Returns whether any other endpoint of the service has sent an event since
  /// `since`.
  bool HaveOthersProgressed(const EndpointChoice& choice,
                            kernel::TimePoint since);

  /// Ends a request that Choose counted.
  void Release(const EndpointChoice& choice, AttemptResult result,
               kernel::TimePoint now);

  /// Returns the number of this gateway's requests at each endpoint that has
  /// any.
  std::vector<std::pair<std::string, std::int64_t>> InFlight();

  /// Returns one status line for each endpoint.
  std::vector<std::string> Describe(kernel::TimePoint now);

 private:
  struct Endpoint {
    membership::Instance instance;
    bool listed = false;  ///< The endpoint is in the newest list.
    kernel::TimePoint progressed_at;
    std::int64_t in_flight = 0;
    double failure_rate = 0;  ///< Moving average of failures, between 0 and 1.
    int consecutive_failures = 0;
    kernel::TimePoint full_until;
    kernel::TimePoint ejected_until;
    /// Another endpoint has the address, and the list does not show it yet.
    kernel::TimePoint replaced_until;
  };
  struct Service {
    std::mutex mutex;
    std::map<std::string, Endpoint> endpoints;  ///< Endpoints by id.
    std::minstd_rand random;
    int consecutive_refusals = 0;
    std::int64_t in_flight = 0;
    bool has_streams = false;
    bool is_stalled = false;  ///< Set until the next event.
    /// Time of the last event, or of the first request after the service was
    /// idle.
    kernel::TimePoint last_progress_at;
    kernel::TimePoint next_probe_at;
  };

  std::shared_ptr<Service> Find(const std::string& service);
  std::shared_ptr<Service> FindOrAdd(const std::string& service);
  static bool IsUsable(const Endpoint& endpoint, kernel::TimePoint now);
  std::int64_t SlotsOf(const Endpoint& endpoint) const;
  /// Returns the load as a fraction of the slots, or nothing when the endpoint
  /// has no capacity.
  std::optional<double> LoadOf(const Endpoint& endpoint,
                               kernel::TimePoint now) const;
  Endpoint* Best(Service& service, const std::set<std::string>& excluded,
                 kernel::TimePoint now) const;
  bool IsUnavailable(const Service& service) const;
  /// Updates whether the service is stalled.
  void UpdateStalled(Service& service, kernel::TimePoint now) const;
  void CountRefusal(Service& service, kernel::TimePoint now) const;
  void OnFailure(Endpoint& endpoint, kernel::TimePoint now) const;

  std::string failure_domain;
  PoolLimits limits;
  std::uint64_t seed;
  InFlightFromPeers in_flight_from_peers;
  SlowdownOf slowdown_of;
  std::mutex mutex;  ///< Guards `services`, but not the services themselves.
  std::map<std::string, std::shared_ptr<Service>> services;
};

}  // namespace banyanlane::direct
