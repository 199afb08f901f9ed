#include "direct/internal/endpoint_pool.h"

#include <algorithm>
#include <cmath>

#include "kernel/enum_names.h"

namespace banyanlane::direct {
namespace {

constexpr kernel::EnumNames<AttemptResult, 7> kResultNames = {{
    {AttemptResult::kCompleted, "answered"},
    {AttemptResult::kCancelled, "cancelled"},
    {AttemptResult::kFull, "full"},
    {AttemptResult::kReplaced, "replaced"},
    {AttemptResult::kUnreachable, "unreachable"},
    {AttemptResult::kBroken, "broken"},
    {AttemptResult::kFailed, "failed"},
}};

/// Weight of the newest attempt in the moving average of failures.
constexpr double kFailureRateWeight = 0.2;
/// Weight of the newest attempt in the moving mean of first event times.
constexpr double kFirstEventWeight = 0.1;
/// Maximum number of doublings of an ejection's duration, so that the shift
/// can't overflow. The duration reaches PoolLimits::max_ejection earlier.
constexpr int kMaxDoublings = 6;
/// Number of endpoints with capacity that are drawn at random from those in the
/// own failure domain, and from all others. The least loaded of these is
/// chosen. The counts of other gateways are a few hundred milliseconds old, so
/// that all gateways would send to the same endpoints if each chose the least
/// loaded of all.
constexpr std::size_t kSampledEndpoints = 3;
/// Time after which the requests of all gateways are counted again. The counts
/// of the others are older than that.
constexpr kernel::Millis kUsagePeriod{50};

}  // namespace

std::string_view AttemptResultName(AttemptResult result) {
  return kernel::NameOf(kResultNames, result);
}

EndpointPool::EndpointPool(std::string failure_domain, const PoolLimits& limits,
                           std::uint64_t seed,
                           InFlightFromPeers in_flight_from_peers,
                           SlowdownOf slowdown_of,
                           limits::IRateLimits* rate_limits)
    : failure_domain(std::move(failure_domain)),
      limits(limits),
      seed(seed),
      in_flight_from_peers(std::move(in_flight_from_peers)),
      slowdown_of(std::move(slowdown_of)),
      rate_limits(rate_limits) {}

std::shared_ptr<EndpointPool::Service> EndpointPool::Find(
    const std::string& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second;
}

std::shared_ptr<EndpointPool::Service> EndpointPool::FindOrAdd(
    const std::string& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  auto& found = this->services[service];
  if (!found) {
    found = std::make_shared<Service>(this->limits.initial_outage);
    found->random.seed(this->seed + this->services.size());
  }
  return found;
}

void EndpointPool::OnInstances(const membership::InstanceList& list) {
  std::map<std::string, std::vector<membership::Instance>> by_service;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& entry : this->services) by_service[entry.first];
  }
  for (membership::Instance& endpoint :
       list.OfRole(membership::InstanceRole::kEndpoint)) {
    by_service[endpoint.service].push_back(std::move(endpoint));
  }
  for (auto& [name, endpoints] : by_service) {
    const auto service = this->FindOrAdd(name);
    const std::lock_guard<std::mutex> lock(service->mutex);
    for (auto& entry : service->endpoints) entry.second.listed = false;
    for (membership::Instance& instance : endpoints) {
      Endpoint& known = service->endpoints[instance.id];
      const bool address_changed = known.instance.address != instance.address;
      if (address_changed) known.replaced_until = kernel::TimePoint{};
      known.listed = true;
      known.instance = std::move(instance);
    }
    for (auto it = service->endpoints.begin();
         it != service->endpoints.end();) {
      const bool is_removable = !it->second.listed && it->second.in_flight == 0;
      it = is_removable ? service->endpoints.erase(it) : std::next(it);
    }
  }
}

bool EndpointPool::IsUsable(const Service& service, const Endpoint& endpoint,
                            kernel::TimePoint now) {
  const membership::Instance& instance = endpoint.instance;
  return !service.leaving.Contains(instance.id, instance.incarnation) &&
         endpoint.listed && now >= endpoint.replaced_until &&
         endpoint.instance.state == membership::InstanceState::kLive;
}

std::int64_t EndpointPool::SlotsOf(const Endpoint& endpoint) const {
  return endpoint.instance.slots > 0 ? endpoint.instance.slots
                                     : this->limits.default_slots;
}

double EndpointPool::RequestsAt(const Endpoint& endpoint) const {
  return static_cast<double>(endpoint.in_flight +
                             this->in_flight_from_peers(endpoint.instance.id));
}

void EndpointPool::UpdateUsage(Service& service, kernel::TimePoint now) const {
  if (now - service.usage.counted_at < kUsagePeriod) return;
  Usage usage;
  usage.counted_at = now;
  usage.own_requests = service.in_flight;
  for (const auto& entry : service.endpoints) {
    if (!IsUsable(service, entry.second, now)) continue;
    const auto slots = static_cast<double>(this->SlotsOf(entry.second));
    const double requests = this->RequestsAt(entry.second);
    usage.requests += requests;
    usage.running += std::min(requests, slots);
    usage.slots += slots;
    ++usage.endpoints;
  }
  service.usage = usage;
}

bool EndpointPool::IsBatchLimitReached(Service& service,
                                       kernel::TimePoint now) const {
  if (!service.has_sent_events) return false;
  this->UpdateUsage(service, now);
  const Usage& usage = service.usage;
  if (usage.endpoints == 0) return false;
  const auto limit =
      service.batch_limit.Limit(usage.slots / usage.endpoints, now);
  if (!limit) return false;
  const double free = *limit * usage.endpoints - usage.requests;
  const auto used = static_cast<double>(service.in_flight - usage.own_requests);
  // The other gateways see the same free places and don't know yet what this
  // one has sent since its last update, so that each takes its part of them.
  const double part =
      std::max(1.0, free / static_cast<double>(service.gateways));
  const auto growth =
      static_cast<double>(service.in_flight - service.published_in_flight);
  return free - used <= 0 || growth >= part;
}

EndpointPool::Load EndpointPool::LoadOf(const Endpoint& endpoint) const {
  // A slow endpoint counts as one with fewer slots. Where endpoints run in
  // lock-step, it would delay all others if it had as many requests as they.
  const double slots =
      static_cast<double>(this->SlotsOf(endpoint)) /
      std::max(1.0, this->slowdown_of(endpoint.instance.address));
  const double used = this->RequestsAt(endpoint);
  const double limit = std::ceil(slots * (1 + this->limits.queue_fraction));
  const double penalty =
      (this->IsLocal(endpoint.instance) ? 0 : this->limits.distance_penalty) +
      this->limits.failure_penalty * endpoint.failure_rate;
  return {used / slots + penalty, used < limit};
}

EndpointPool::Endpoint* EndpointPool::FindBest(
    Service& service, const std::set<std::string>& excluded,
    kernel::TimePoint now) const {
  // The streams in flight show when the service continues, so that no probe is
  // needed.
  if (service.is_stalled && service.in_flight > 0) return nullptr;
  if (this->IsUnavailable(service) && now < service.next_probe_at)
    return nullptr;
  if (this->IsBatchLimitReached(service, now)) return nullptr;
  std::vector<Candidate> local;
  std::vector<Candidate> remote;
  std::vector<Candidate> ejected;
  bool any_has_room = false;
  for (auto& [id, endpoint] : service.endpoints) {
    const bool may_send =
        IsUsable(service, endpoint, now) && excluded.count(id) == 0 &&
        service.rests.MaySend(id, endpoint.instance.incarnation,
                              endpoint.in_flight, now) &&
        now >= endpoint.full_until && this->IsPermitted(id, now);
    if (!may_send) continue;
    const Candidate candidate{&endpoint, this->LoadOf(endpoint)};
    if (now < endpoint.ejected_until) {
      ejected.push_back(candidate);
      continue;
    }
    any_has_room = any_has_room || candidate.load.has_room;
    (this->IsLocal(endpoint.instance) ? local : remote).push_back(candidate);
  }
  // Ejected endpoints are used if no other one has capacity: when all of them
  // fail at once, the network path to them is the likely cause.
  if (!any_has_room) {
    KeepSample(ejected, service.random);
    return LeastLoaded(ejected);
  }
  // The sample is drawn from all endpoints, also from those that have no room.
  // If only the few with room were drawn, all gateways would send to these.
  KeepSample(local, service.random);
  KeepSample(remote, service.random);
  local.insert(local.end(), remote.begin(), remote.end());
  return LeastLoaded(local);
}

EndpointPool::Endpoint* EndpointPool::LeastLoaded(
    const std::vector<Candidate>& candidates) {
  Endpoint* best = nullptr;
  double lowest = 0;
  for (const Candidate& candidate : candidates) {
    const bool is_better = best == nullptr || candidate.load.value < lowest;
    if (!candidate.load.has_room || !is_better) continue;
    best = candidate.endpoint;
    lowest = candidate.load.value;
  }
  return best;
}

void EndpointPool::KeepSample(std::vector<Candidate>& candidates,
                              std::minstd_rand& random) {
  const std::size_t count = std::min(candidates.size(), kSampledEndpoints);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t other = i + random() % (candidates.size() - i);
    std::swap(candidates[i], candidates[other]);
  }
  candidates.resize(count);
}

std::optional<EndpointChoice> EndpointPool::Choose(
    const std::string& service, const std::set<std::string>& excluded,
    kernel::TimePoint now) {
  const auto found = this->Find(service);
  if (!found) return std::nullopt;
  const std::lock_guard<std::mutex> lock(found->mutex);
  this->UpdateStalled(*found, now);
  Endpoint* best = this->FindBest(*found, excluded, now);
  if (best == nullptr) return std::nullopt;
  if (found->in_flight == 0) found->last_progress_at = now;
  ++found->in_flight;
  ++best->in_flight;
  if (this->rate_limits != nullptr)
    this->rate_limits->OnSent(best->instance.id, now);
  // This request probes whether the service accepts requests. Until it does,
  // the next one is sent after probe_interval at the earliest.
  if (this->IsUnavailable(*found))
    found->next_probe_at = now + this->limits.probe_interval;
  return EndpointChoice{best->instance.id, best->instance.address, service,
                        best->instance.incarnation};
}

bool EndpointPool::HasCapacity(const std::string& service,
                               kernel::TimePoint now) {
  const auto found = this->Find(service);
  if (!found) return false;
  const std::lock_guard<std::mutex> lock(found->mutex);
  this->UpdateStalled(*found, now);
  return this->FindBest(*found, {}, now) != nullptr;
}

std::optional<double> EndpointPool::PermittedRate(const std::string& service,
                                                  kernel::TimePoint now) {
  const auto found = this->Find(service);
  if (!found || this->rate_limits == nullptr) return std::nullopt;
  const std::lock_guard<std::mutex> lock(found->mutex);
  double rate = 0;
  for (const auto& [id, endpoint] : found->endpoints) {
    const bool is_resting =
        found->rests.RestingUntil(id, endpoint.instance.incarnation, now)
            .has_value();
    if (!IsUsable(*found, endpoint, now) || is_resting) continue;
    const auto limit = this->rate_limits->LimitOf(id, now);
    if (!limit) return std::nullopt;
    rate += *limit;
  }
  return rate > 0 ? std::optional(rate) : std::nullopt;
}

bool EndpointPool::HasEndpoints(const std::string& service,
                                const std::set<std::string>& excluded,
                                kernel::TimePoint now) {
  const auto found = this->Find(service);
  if (!found) return false;
  const std::lock_guard<std::mutex> lock(found->mutex);
  return std::any_of(found->endpoints.begin(), found->endpoints.end(),
                     [&found, &excluded, now](const auto& entry) {
                       return excluded.count(entry.first) == 0 &&
                              IsUsable(*found, entry.second, now);
                     });
}

void EndpointPool::OnRestAsked(const EndpointChoice& choice,
                               kernel::Millis rest, kernel::TimePoint now) {
  const auto found = this->Find(choice.service);
  if (!found) return;
  const std::lock_guard<std::mutex> lock(found->mutex);
  found->rests.OnAsked(choice.id, choice.incarnation, rest, found->random, now);
}

bool EndpointPool::OnLeaving(const EndpointChoice& choice,
                             kernel::TimePoint now) {
  const auto found = this->Find(choice.service);
  if (!found) return false;
  const std::lock_guard<std::mutex> lock(found->mutex);
  return found->leaving.Add(choice.id, choice.incarnation, now);
}

std::optional<kernel::TimePoint> EndpointPool::RestingUntil(
    const std::string& service, const std::set<std::string>& excluded,
    kernel::TimePoint now) {
  const auto found = this->Find(service);
  if (!found) return std::nullopt;
  const std::lock_guard<std::mutex> lock(found->mutex);
  std::optional<kernel::TimePoint> first;
  for (const auto& [id, endpoint] : found->endpoints) {
    if (!IsUsable(*found, endpoint, now) || excluded.count(id) != 0) continue;
    const auto until =
        found->rests.RestingUntil(id, endpoint.instance.incarnation, now);
    if (!until) return std::nullopt;
    first = std::min(first.value_or(*until), *until);
  }
  return first;
}

bool EndpointPool::IsUnavailable(const Service& service) const {
  return service.is_stalled || service.consecutive_refusals >=
                                   this->limits.refusals_until_unavailable;
}

void EndpointPool::UpdateStalled(Service& service,
                                 kernel::TimePoint now) const {
  const bool is_silent =
      service.has_sent_events && service.in_flight > 0 &&
      now - service.last_progress_at > this->limits.service_stall_timeout;
  if (!is_silent || service.is_stalled) return;
  const auto busy = std::count_if(
      service.endpoints.begin(), service.endpoints.end(),
      [](const auto& entry) { return entry.second.in_flight > 0; });
  service.is_stalled = busy >= this->limits.min_stalled_endpoints;
  if (service.is_stalled)
    service.outages.OnUnavailable(service.last_progress_at);
}

bool EndpointPool::IsUnavailable(const std::string& service) {
  const auto found = this->Find(service);
  if (!found) return false;
  const std::lock_guard<std::mutex> lock(found->mutex);
  return this->IsUnavailable(*found);
}

kernel::Millis EndpointPool::ExpectedOutage(const std::string& service) {
  const auto found = this->Find(service);
  if (!found) return kernel::Millis{0};
  const std::lock_guard<std::mutex> lock(found->mutex);
  return this->IsUnavailable(*found) ? found->outages.ExpectedDuration()
                                     : kernel::Millis{0};
}

void EndpointPool::CountProgress(Service& service, kernel::TimePoint now) {
  service.consecutive_refusals = 0;
  service.is_stalled = false;
  service.last_progress_at = now;
  service.outages.OnAvailable(now);
}

void EndpointPool::CountRefusal(Service& service, kernel::TimePoint now) const {
  ++service.consecutive_refusals;
  if (!this->IsUnavailable(service)) return;
  service.next_probe_at = now + this->limits.probe_interval;
  service.outages.OnUnavailable(now);
}

void EndpointPool::OnFailure(Endpoint& endpoint, kernel::TimePoint now) const {
  ++endpoint.consecutive_failures;
  const int excess =
      endpoint.consecutive_failures - this->limits.failures_to_eject;
  if (excess < 0) return;
  endpoint.ejected_until =
      now + std::min(this->limits.max_ejection,
                     this->limits.initial_ejection *
                         (1 << std::min(excess, kMaxDoublings)));
}

void EndpointPool::Release(const EndpointChoice& choice, AttemptResult result,
                           kernel::TimePoint now) {
  const auto found = this->Find(choice.service);
  if (!found) return;
  const std::lock_guard<std::mutex> lock(found->mutex);
  --found->in_flight;
  const auto known = found->endpoints.find(choice.id);
  if (known == found->endpoints.end()) return;
  Endpoint& endpoint = known->second;
  --endpoint.in_flight;
  const bool is_failure = result == AttemptResult::kUnreachable ||
                          result == AttemptResult::kBroken ||
                          result == AttemptResult::kFailed ||
                          result == AttemptResult::kReplaced;
  if (is_failure || result == AttemptResult::kCompleted) {
    endpoint.failure_rate +=
        kFailureRateWeight * ((is_failure ? 1.0 : 0.0) - endpoint.failure_rate);
  }
  if (is_failure && result != AttemptResult::kFailed)
    this->OnFailure(endpoint, now);
  if (result == AttemptResult::kCompleted) {
    endpoint.consecutive_failures = 0;
    found->rests.OnResponse(choice.id, now);
    CountProgress(*found, now);
  }
  // A rest says nothing about the other endpoints of the service.
  const bool is_resting =
      found->rests.RestingUntil(choice.id, choice.incarnation, now).has_value();
  if (result == AttemptResult::kFull && !is_resting) {
    this->CountRefusal(*found, now);
    endpoint.full_until = now + this->limits.full_pause;
  }
  if (result == AttemptResult::kReplaced)
    endpoint.replaced_until = now + this->limits.replaced_pause;
}

void EndpointPool::OnProgress(const EndpointChoice& choice,
                              kernel::TimePoint now) {
  const auto found = this->Find(choice.service);
  if (!found) return;
  const std::lock_guard<std::mutex> lock(found->mutex);
  const auto known = found->endpoints.find(choice.id);
  if (known != found->endpoints.end()) known->second.progressed_at = now;
  found->has_sent_events = true;
  CountProgress(*found, now);
}

void EndpointPool::OnPause(const std::string& service, kernel::Millis pause,
                           kernel::Millis goal, kernel::TimePoint now) {
  const auto found = this->Find(service);
  if (!found) return;
  const std::lock_guard<std::mutex> lock(found->mutex);
  this->UpdateUsage(*found, now);
  const Usage& usage = found->usage;
  if (usage.endpoints == 0) return;
  found->batch_limit.OnPause(pause, goal, usage.running / usage.endpoints, now);
}

void EndpointPool::OnFirstEvent(const EndpointChoice& choice,
                                kernel::Millis elapsed, kernel::TimePoint now) {
  const auto found = this->Find(choice.service);
  if (!found) return;
  const std::lock_guard<std::mutex> lock(found->mutex);
  found->rests.OnResponse(choice.id, now);
  double& mean = found->mean_first_event_ms;
  const auto millis = static_cast<double>(elapsed.count());
  mean = mean > 0 ? mean + kFirstEventWeight * (millis - mean) : millis;
}

kernel::Millis EndpointPool::MeanFirstEventTime(const std::string& service) {
  const auto found = this->Find(service);
  if (!found) return kernel::Millis{0};
  const std::lock_guard<std::mutex> lock(found->mutex);
  return kernel::Millis(static_cast<std::int64_t>(found->mean_first_event_ms));
}

bool EndpointPool::HasAnotherProgressed(const EndpointChoice& choice,
                                        kernel::TimePoint since) {
  const auto found = this->Find(choice.service);
  if (!found) return false;
  const std::lock_guard<std::mutex> lock(found->mutex);
  return std::any_of(found->endpoints.begin(), found->endpoints.end(),
                     [&choice, since](const auto& entry) {
                       return entry.first != choice.id &&
                              entry.second.progressed_at >= since;
                     });
}

}  // namespace banyanlane::direct
