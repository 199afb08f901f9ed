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

#include "direct/internal/batch_limit.h"
#include "direct/internal/endpoint_rests.h"
#include "direct/internal/leaving_endpoints.h"
#include "direct/internal/outage_estimator.h"
#include "kernel/time.h"
#include "limits/i_rate_limits.h"
#include "membership/instances.h"

namespace banyanlane::direct {

/// An endpoint chosen for one attempt.
struct EndpointChoice {
  std::string id;
  std::string address;
  std::string service;
  std::int64_t incarnation = 0;  ///< See membership::Instance.
};

/// Result of one attempt at an endpoint.
enum class AttemptResult {
  /// The response is complete and reports no failure of the endpoint.
  kCompleted,
  /// The caller disconnected or the deadline passed. The attempt counts neither
  /// as a success nor as a failure of the endpoint.
  kCancelled,
  /// The endpoint refused without running the request.
  kFull,
  /// The response came from another endpoint that now has the address.
  kReplaced,
  /// No connection could be opened.
  kUnreachable,
  /// The request may have been sent, but the response is missing, truncated or
  /// malformed, or it stopped for too long and the request is retried.
  kBroken,
  /// The response is complete and reports a failure of the endpoint.
  kFailed,
};

/// Returns the stable name of `result`.
std::string_view AttemptResultName(AttemptResult result);

/// Limits and penalties in the choice of endpoints, and parameters for the
/// detection of failed endpoints and unavailable services.
struct PoolLimits {
  /// Number of requests that an endpoint may have beyond its slots, as a
  /// fraction of the slots. A slot is one request that the endpoint runs at
  /// once. The excess waits at the endpoint, so that it starts the next request
  /// without a pause.
  double queue_fraction = 0.2;
  /// Number of slots of endpoints for which the instance list gives none.
  std::int64_t default_slots = 8;
  /// Added to the load of endpoints in another failure domain, as a fraction of
  /// their slots.
  double distance_penalty = 0.15;
  /// Multiplied by the failure rate of an endpoint and added to its load.
  double failure_penalty = 1.0;
  /// Time without requests to an endpoint after it has refused one.
  kernel::Millis full_pause{200};
  /// Duration of the first ejection of an endpoint. It doubles with each
  /// further consecutive failure, up to max_ejection. An ejected endpoint is
  /// chosen only if no other one has capacity.
  kernel::Millis initial_ejection{500};
  kernel::Millis max_ejection{4'000};
  /// An endpoint is not used for this time after another endpoint has responded
  /// at its address. A new address in the instance list ends the pause early.
  kernel::Millis replaced_pause{10'000};
  /// Number of refusals by any endpoints of a service, with no progress in
  /// between, after which the service counts as unavailable. A group that has
  /// lost a rank refuses everything until it has formed again. Meanwhile single
  /// requests probe whether the service accepts requests.
  int refusals_until_unavailable = 3;
  /// Minimum time between two probes, which begins anew with each refusal. A
  /// probe does not wait for the result of the previous one.
  kernel::Millis probe_interval{200};
  /// A service is stalled if for longer than this no event of any stream has
  /// arrived and no response has completed, and at least min_stalled_endpoints
  /// endpoints have requests in flight: its ranks wait for one that can't
  /// continue. The value is many times the pause between two events.
  kernel::Millis service_stall_timeout{600};
  /// Minimum number of endpoints with requests in flight in a stalled service.
  int min_stalled_endpoints = 3;
  /// Expected duration of an outage of a service before any has ended.
  kernel::Millis initial_outage{1'600};
  /// Number of consecutive failures after which an endpoint is ejected. Only
  /// unreachable, broken and replaced attempts count as failures here.
  int failures_to_eject = 2;
};

/// The endpoints of all services, and what this gateway has observed of them.
/// Does no I/O. Thread-safe; each service has its own mutex.
class EndpointPool {
 public:
  /// Returns the number of requests that other gateways have in flight at the
  /// endpoint with this id.
  using InFlightFromPeers = std::function<std::int64_t(const std::string&)>;

  /// Returns the slowdown of the endpoint at an address: its time per unit of
  /// work relative to normal, where 2 is twice as slow.
  using SlowdownOf = std::function<double(const std::string&)>;

  /// @param rate_limits permits for endpoints with a limit of requests a
  /// second; null if there are none. Outlives this object.
  EndpointPool(std::string failure_domain, const PoolLimits& limits,
               std::uint64_t seed, InFlightFromPeers in_flight_from_peers,
               SlowdownOf slowdown_of,
               limits::IRateLimits* rate_limits = nullptr);

  /// Replaces the instance list. The state of an endpoint is kept while it is
  /// listed or has requests in flight.
  void OnInstances(const membership::InstanceList& list);

  /// Chooses the endpoint with the lowest load, penalties included, of a few
  /// random ones of `service`, and counts a request there. Returns nothing if
  /// no endpoint has capacity, or if the service is unavailable and no probe is
  /// due.
  /// @param excluded ids of endpoints that were tried before.
  std::optional<EndpointChoice> Choose(const std::string& service,
                                       const std::set<std::string>& excluded,
                                       kernel::TimePoint now);

  /// Returns whether Choose would find an endpoint if none was excluded.
  bool HasCapacity(const std::string& service, kernel::TimePoint now);

  /// Returns whether `service` is stalled, or its endpoints have refused
  /// PoolLimits::refusals_until_unavailable requests with no progress in
  /// between.
  bool IsUnavailable(const std::string& service);

  /// Returns the time for which `service` is expected to remain unavailable, or
  /// 0 if it is available.
  kernel::Millis ExpectedOutage(const std::string& service);

  /// Returns the requests a second that the rate limits of the endpoints of
  /// `service` permit to all gateways together, or nothing if a usable endpoint
  /// has no limit.
  std::optional<double> PermittedRate(const std::string& service,
                                      kernel::TimePoint now);

  /// Returns whether `service` has an endpoint outside of `excluded` that is
  /// listed as live and not in its replaced_pause. It may have no capacity now.
  bool HasEndpoints(const std::string& service,
                    const std::set<std::string>& excluded,
                    kernel::TimePoint now);

  /// Records that an endpoint wants no requests from this gateway for `rest`.
  void OnRestAsked(const EndpointChoice& choice, kernel::Millis rest,
                   kernel::TimePoint now);

  /// Records that a response of an endpoint says that it leaves. It gets no
  /// further requests.
  /// @return whether this is news.
  bool OnLeaving(const EndpointChoice& choice, kernel::TimePoint now);

  /// Returns when the first rest ends if all endpoints outside of `excluded`
  /// that could be used have asked for one, or nothing.
  std::optional<kernel::TimePoint> RestingUntil(
      const std::string& service, const std::set<std::string>& excluded,
      kernel::TimePoint now);

  /// Records that an endpoint has sent an event.
  void OnProgress(const EndpointChoice& choice, kernel::TimePoint now);

  /// Records a pause between two events of a stream of `service`.
  /// @param goal longest pause that is on time.
  void OnPause(const std::string& service, kernel::Millis pause,
               kernel::Millis goal, kernel::TimePoint now);

  /// Records the time from the beginning of an attempt to its first event.
  void OnFirstEvent(const EndpointChoice& choice, kernel::Millis elapsed,
                    kernel::TimePoint now);

  /// Returns the mean time from the beginning of an attempt to its first event,
  /// over recent attempts at all endpoints of `service`, or 0 if none is known.
  kernel::Millis MeanFirstEventTime(const std::string& service);

  /// Returns whether any other endpoint of the service has sent an event at or
  /// after `since`.
  bool HasAnotherProgressed(const EndpointChoice& choice,
                            kernel::TimePoint since);

  /// Ends a request that Choose counted, and records its result.
  void Release(const EndpointChoice& choice, AttemptResult result,
               kernel::TimePoint now);

  /// Returns the number of this gateway's requests at each endpoint that has
  /// any, to be sent to the other gateways now.
  /// @param gateways number of gateways, this one included.
  std::vector<std::pair<std::string, std::int64_t>> InFlight(
      std::size_t gateways);

  /// Returns one status line for each endpoint.
  std::vector<std::string> Describe(kernel::TimePoint now);

 private:
  struct Endpoint {
    membership::Instance instance;
    bool listed = false;              ///< The endpoint is in the newest list.
    kernel::TimePoint progressed_at;  ///< Time of the last event.
    std::int64_t in_flight = 0;
    double failure_rate = 0;  ///< Moving average of failures, between 0 and 1.
    int consecutive_failures = 0;
    /// Time until which the endpoint gets no requests after a refusal.
    kernel::TimePoint full_until;
    /// Time until which the endpoint is ejected.
    kernel::TimePoint ejected_until;
    /// Time until which the endpoint is not used because another one responded
    /// at its address.
    kernel::TimePoint replaced_until;
  };
  struct Load {
    /// Requests of all gateways as a fraction of the slots, plus penalties. The
    /// slots are divided by the endpoint's slowdown if that is above 1.
    double value = 0;
    bool has_room = false;  ///< The endpoint may have one more request.
  };
  /// Endpoint that may be sent to, and its load.
  struct Candidate {
    Endpoint* endpoint = nullptr;
    Load load;
  };
  /// Requests of all gateways at the usable endpoints of a service.
  struct Usage {
    double requests = 0;
    double running = 0;  ///< Those that fit in the slots.
    double slots = 0;
    double endpoints = 0;
    std::int64_t own_requests = 0;  ///< This gateway's part of `requests`.
    kernel::TimePoint counted_at;
  };
  struct Service {
    explicit Service(kernel::Millis initial_outage) : outages(initial_outage) {}

    std::mutex mutex;                           ///< Guards all members below.
    std::map<std::string, Endpoint> endpoints;  ///< Endpoints by id.
    EndpointRests rests;
    LeavingEndpoints leaving;
    std::minstd_rand random;
    /// Refusals since the last event or completed response.
    int consecutive_refusals = 0;
    std::int64_t in_flight = 0;
    /// An endpoint has sent an event since the service was added. Services that
    /// never send any are not monitored for stalls.
    bool has_sent_events = false;
    /// Set until the next event or completed response.
    bool is_stalled = false;
    /// Time of the last event or completed response, or of the first request
    /// after the service had none in flight.
    kernel::TimePoint last_progress_at;
    double mean_first_event_ms = 0;  ///< Moving mean; 0 before the first event.
    /// Time before which an unavailable service gets no further request.
    kernel::TimePoint next_probe_at;
    OutageEstimator outages;
    BatchLimit batch_limit;
    Usage usage;  ///< See UpdateUsage.
    /// This gateway's requests as last sent to the others, and the number of
    /// gateways at that time.
    std::int64_t published_in_flight = 0;
    std::size_t gateways = 1;
  };

  std::shared_ptr<Service> Find(const std::string& service);
  std::shared_ptr<Service> FindOrAdd(const std::string& service);

  // Callers of the functions below hold the mutex of the service.

  /// Returns whether the endpoint is listed as live and not in its
  /// replaced_pause.
  static bool IsUsable(const Service& service, const Endpoint& endpoint,
                       kernel::TimePoint now);
  std::int64_t SlotsOf(const Endpoint& endpoint) const;
  Load LoadOf(const Endpoint& endpoint) const;
  /// Returns the number of requests that all gateways have at the endpoint.
  double RequestsAt(const Endpoint& endpoint) const;
  /// Counts the requests of all gateways anew if the last count is old.
  void UpdateUsage(Service& service, kernel::TimePoint now) const;
  /// Returns whether another request would make the pauses of the service's
  /// streams too long.
  bool IsBatchLimitReached(Service& service, kernel::TimePoint now) const;
  /// Returns whether the rate limit of the endpoint, if any, permits a request.
  bool IsPermitted(const std::string& id, kernel::TimePoint now) const {
    return this->rate_limits == nullptr || this->rate_limits->MaySend(id, now);
  }
  bool IsLocal(const membership::Instance& instance) const {
    return instance.failure_domain == this->failure_domain;
  }
  /// Keeps a few random elements of `candidates`.
  static void KeepSample(std::vector<Candidate>& candidates,
                         std::minstd_rand& random);
  /// Returns the least loaded endpoint of those with room, or null.
  static Endpoint* LeastLoaded(const std::vector<Candidate>& candidates);
  /// Returns the endpoint that Choose would choose, or null.
  Endpoint* FindBest(Service& service, const std::set<std::string>& excluded,
                     kernel::TimePoint now) const;
  bool IsUnavailable(const Service& service) const;
  /// Sets `is_stalled` if the service has stalled. OnProgress and Release reset
  /// it.
  void UpdateStalled(Service& service, kernel::TimePoint now) const;
  void CountRefusal(Service& service, kernel::TimePoint now) const;
  /// Records an event or a complete response.
  static void CountProgress(Service& service, kernel::TimePoint now);
  void OnFailure(Endpoint& endpoint, kernel::TimePoint now) const;

  std::string failure_domain;
  PoolLimits limits;
  std::uint64_t seed;
  InFlightFromPeers in_flight_from_peers;
  SlowdownOf slowdown_of;
  limits::IRateLimits* rate_limits;
  std::mutex mutex;  ///< Guards `services`, but not the services themselves.
  std::map<std::string, std::shared_ptr<Service>> services;
};

}  // namespace banyanlane::direct
