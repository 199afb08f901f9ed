#include "direct/tests/lockstep_service.h"

#include <algorithm>
#include <set>

namespace banyanlane::direct {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr Millis kTick{5};
constexpr Millis kTimerPeriod{20};
constexpr Millis kPublishPeriod{500};
/// Time without events after which callers give up.
constexpr Millis kCallerPatience{2'000};
/// Duration of a pass without requests, and what each request of an endpoint
/// adds to it.
constexpr double kEmptyPassMillis = 22.75;
constexpr double kPassMillisPerRequest = 5.45;
/// What the prompts that an endpoint reads in a pass add to it.
constexpr double kReadMillisPerPrompt = 12;
/// Part of the work of a pass that depends on the map.
constexpr double kExpertShare = 0.85;
constexpr std::size_t kDomains = 4;
/// Time after an outage in which streams may still be late.
constexpr Millis kRecoveryTime{2'000};
constexpr int kOrganisations = 5;
constexpr double kLargePromptRatio = 0.2;

std::string DomainOf(std::size_t index) {
  return "zone-" + std::to_string(index % kDomains);
}

}  // namespace

struct LockstepService::Gateway {
  Gateway(LockstepService& service, std::size_t index,
          const membership::InstanceList& list)
      : pool(
            DomainOf(index), PoolLimits{}, index + 1,
            [&service, index](const std::string& id) {
              std::int64_t count = 0;
              for (std::size_t i = 0; i < service.gateways.size(); ++i) {
                if (i == index) continue;
                const auto& published = service.gateways[i]->published;
                const auto found = published.find(id);
                if (found != published.end()) count += found->second;
              }
              return count;
            },
            [](const std::string&) { return 1.0; }),
        retries({0.2, Millis(10'000), 216, 0.75}, TimePoint{}) {
    this->pool.OnInstances(list);
  }

  EndpointPool pool;
  RetryAllowance retries;
  RequestQueue queue;
  evidence::CrashAttribution attribution{"g", evidence::AttributionLimits{}};
  /// Requests at each endpoint, as last sent to the other gateways.
  std::map<std::string, std::int64_t> published;
};

struct LockstepService::Stream {
  std::uint64_t number = 0;
  std::size_t gateway = 0;
  std::unique_ptr<DirectFlow> flow;
  std::string organisation;
  bool is_large = false;
  int events_left = 0;
  int events_sent = 0;
  TimePoint arrived_at;
  TimePoint last_event_at;
  bool has_first_event = false;
  bool is_on_time = true;
  bool is_read = false;
  std::string endpoint;  ///< Endpoint that has the current attempt, or "".
  std::uint64_t attempt = 0;
};

std::vector<std::string> LockstepService::GroupsOf(const Stream& stream) {
  return {"organisation " + stream.organisation,
          stream.is_large ? "large prompts" : "small prompts"};
}

LockstepService::LockstepService(const LockstepShape& shape, std::uint64_t seed)
    : shape(shape),
      random(seed),
      started_at(TimePoint{} + std::chrono::hours(1)),
      now(this->started_at),
      pass_ends_at(this->now) {
  auto snapshot = std::make_shared<config::ConfigSnapshot>();
  config::Profile profile;
  profile.name = "p";
  profile.service = "model";
  profile.streaming = true;
  profile.resumable = true;
  profile.attempts = 2;
  profile.deadline_ms = 8'000;
  profile.latency_goal_ms = shape.latency_goal_ms;
  profile.pause_goal_ms = shape.pause_goal_ms;
  snapshot->profiles["p"] = profile;
  this->config = snapshot;
  membership::InstanceList list;
  for (std::size_t i = 0; i < shape.endpoints; ++i) {
    membership::Instance instance;
    instance.id = "e" + std::to_string(i);
    instance.role = membership::InstanceRole::kEndpoint;
    instance.address = "10.0.0.1:" + std::to_string(i + 1);
    instance.failure_domain = DomainOf(i);
    instance.service = "model";
    instance.slots = shape.slots;
    list.instances.push_back(instance);
    this->endpoints[instance.id];
  }
  for (std::size_t i = 0; i < shape.gateways; ++i)
    this->gateways.push_back(std::make_unique<Gateway>(*this, i, list));
}

LockstepService::~LockstepService() = default;

LockstepResults LockstepService::Play(Millis duration) {
  const TimePoint end = this->now + duration;
  std::poisson_distribution<int> arrivals(
      this->shape.streams_per_second *
      std::chrono::duration<double>(kTick).count());
  TimePoint timers_at = this->now;
  for (; this->now < end || !this->streams.empty(); this->now += kTick) {
    if (this->IsDown() && !this->has_lost_streams) this->LoseStreams();
    if (this->now >= this->pass_ends_at && !this->IsDown()) {
      this->EndPass();
      this->BeginPass();
    }
    this->Publish();
    if (this->now < end) {
      for (int i = arrivals(this->random); i > 0; --i) this->Arrive();
    }
    if (this->now < timers_at) continue;
    timers_at = this->now + kTimerPeriod;
    this->CheckTimers();
  }
  this->results.pass_millis /= std::max(1, this->passes);
  this->results.running /= std::max(1, this->passes);
  return this->results;
}

void LockstepService::Publish() {
  // Gateways publish one after the other within the period.
  const auto elapsed =
      std::chrono::duration_cast<Millis>(this->now - this->started_at);
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    const Millis offset(static_cast<std::int64_t>(i) * kPublishPeriod.count() /
                        static_cast<std::int64_t>(this->gateways.size()));
    const bool is_due =
        (elapsed - offset) % kPublishPeriod < kTick && elapsed >= offset;
    if (!is_due) continue;
    Gateway& gateway = *this->gateways[i];
    gateway.published.clear();
    for (const auto& [id, count] : gateway.pool.InFlight(this->gateways.size()))
      gateway.published[id] = count;
    this->SendQueued(gateway);
  }
}

bool LockstepService::IsDown() const {
  const auto elapsed = this->now - this->started_at;
  return this->shape.down_time.count() > 0 && elapsed >= this->shape.down_at &&
         elapsed < this->shape.down_at + this->shape.down_time;
}

bool LockstepService::IsAfterOutage(TimePoint at) const {
  return this->shape.down_time.count() > 0 &&
         at - this->started_at >
             this->shape.down_at + this->shape.down_time + kRecoveryTime;
}

void LockstepService::LoseStreams() {
  this->has_lost_streams = true;
  const auto active = this->streams;
  for (const auto& [number, stream] : active) {
    if (stream->endpoint.empty()) continue;
    this->Remove(*stream);
    stream->endpoint.clear();
    this->Apply(stream,
                stream->flow->OnFailed(stream->attempt,
                                       http::SendState::kMaybeSent, this->now));
  }
}

void LockstepService::Arrive() {
  auto stream = std::make_shared<Stream>();
  stream->number = ++this->last_number;
  stream->gateway = this->random() % this->gateways.size();
  stream->organisation = std::to_string(this->random() % kOrganisations);
  stream->is_large =
      std::bernoulli_distribution(kLargePromptRatio)(this->random);
  stream->events_left =
      1 + std::poisson_distribution<int>(this->shape.events_per_stream -
                                         1)(this->random);
  stream->arrived_at = this->now;
  stream->last_event_at = this->now;
  Gateway& gateway = *this->gateways[stream->gateway];
  DirectRequest request;
  request.config = this->config;
  request.profile = &this->config->profiles.at("p");
  request.service = "model";
  request.request_id = std::to_string(stream->number);
  request.organisation = stream->organisation;
  request.deadline_ms = 8'000;
  request.work_keys = {request.request_id};
  stream->flow = std::make_unique<DirectFlow>(
      DirectContext{gateway.pool, gateway.retries, gateway.queue,
                    gateway.attribution, this->gateways.size(), DirectLimits{},
                    nullptr},
      std::move(request), stream->number);
  this->streams[stream->number] = stream;
  ++this->results.requests;
  if (this->IsAfterOutage(this->now)) ++this->results.requests_after_outage;
  for (const std::string& group : GroupsOf(*stream))
    ++this->results.completed_by_group[group].first;
  this->Apply(stream, stream->flow->Start(this->now));
}

void LockstepService::Apply(const std::shared_ptr<Stream>& stream,
                            DirectActions actions) {
  bool has_capacity = false;
  for (DirectAction& action : actions) {
    if (const auto* call = std::get_if<CallEndpoint>(&action)) {
      this->Call(stream, *call);
    } else if (std::holds_alternative<CancelCall>(action)) {
      this->Remove(*stream);
    } else if (const auto* release = std::get_if<ReleaseEndpoint>(&action)) {
      this->gateways[stream->gateway]->pool.Release(release->endpoint,
                                                    release->result, this->now);
      has_capacity = true;
    } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
      const auto held =
          std::chrono::duration_cast<Millis>(this->now - stream->arrived_at);
      this->results.longest_refusal =
          std::max(this->results.longest_refusal, held);
      ++(refusal->status == 503 ? this->results.refused : this->results.failed);
    } else if (std::holds_alternative<SendStreamEnd>(action)) {
      ++(stream->is_on_time ? this->results.on_time : this->results.late);
      this->Finish(*stream);
    } else if (std::holds_alternative<AbortResponse>(action)) {
      ++this->results.failed;
    }
  }
  if (stream->flow->IsDone()) this->streams.erase(stream->number);
  if (has_capacity) this->SendQueued(*this->gateways[stream->gateway]);
}

void LockstepService::Finish(const Stream& stream) {
  if (stream.is_on_time && this->IsAfterOutage(stream.arrived_at))
    ++this->results.on_time_after_outage;
  for (const std::string& group : GroupsOf(stream))
    ++this->results.completed_by_group[group].second;
}

void LockstepService::Call(const std::shared_ptr<Stream>& stream,
                           const CallEndpoint& call) {
  stream->endpoint = call.endpoint.id;
  stream->attempt = call.attempt;
  stream->is_read = false;
  Endpoint& endpoint = this->endpoints.at(call.endpoint.id);
  const bool has_room = endpoint.queued.size() < this->shape.endpoint_queue;
  if (has_room && !this->IsDown()) {
    endpoint.queued.push_back(stream);
    return;
  }
  ++this->results.rejected;
  stream->endpoint.clear();
  ResponseHead full;
  full.status = 503;
  full.not_run = true;
  full.request_id = std::to_string(stream->number);
  this->Apply(stream, stream->flow->OnHead(call.attempt, full, this->now));
}

void LockstepService::Remove(const Stream& stream) {
  const auto found = this->endpoints.find(stream.endpoint);
  if (found == this->endpoints.end()) return;
  const auto is_same = [&stream](const std::shared_ptr<Stream>& other) {
    return other.get() == &stream;
  };
  auto& running = found->second.running;
  running.erase(std::remove_if(running.begin(), running.end(), is_same),
                running.end());
  auto& queued = found->second.queued;
  queued.erase(std::remove_if(queued.begin(), queued.end(), is_same),
               queued.end());
}

void LockstepService::SendQueued(Gateway& gateway) {
  std::set<std::uint64_t> tried;
  while (gateway.pool.HasCapacity("model", this->now)) {
    const auto next = gateway.queue.NextRequest("model", tried, this->now);
    if (!next) return;
    tried.insert(*next);
    const auto found = this->streams.find(*next);
    if (found == this->streams.end()) continue;
    const auto stream = found->second;
    this->Apply(stream, stream->flow->OnCapacity(this->now));
  }
}

void LockstepService::CheckTimers() {
  const auto active = this->streams;
  for (const auto& [number, stream] : active) {
    if (this->now >= stream->flow->NextTimer())
      this->Apply(stream, stream->flow->OnTimer(this->now));
    const bool gives_up = !stream->flow->IsDone() &&
                          this->now - stream->last_event_at > kCallerPatience;
    if (!gives_up) continue;
    ++this->results.gave_up;
    this->Apply(stream, stream->flow->OnCallerDisconnected(this->now));
  }
}

double LockstepService::Skew() const {
  if (this->shape.shift_interval.count() == 0) return this->shape.fit_skew;
  const auto since_shift =
      (this->now - this->started_at) % this->shape.shift_interval;
  return since_shift < this->shape.unfit_time ? this->shape.unfit_skew
                                              : this->shape.fit_skew;
}

void LockstepService::BeginPass() {
  double total = 0;
  double prompts = 0;
  std::size_t largest = 0;
  for (auto& [id, endpoint] : this->endpoints) {
    while (endpoint.running.size() <
               static_cast<std::size_t>(this->shape.slots) &&
           !endpoint.queued.empty()) {
      endpoint.running.push_back(endpoint.queued.front());
      endpoint.queued.pop_front();
      prompts += endpoint.running.back()->is_large ? 3 : 0.5;
    }
    total += static_cast<double>(endpoint.running.size());
    largest = std::max(largest, endpoint.running.size());
  }
  const auto count = static_cast<double>(this->endpoints.size());
  const double expert_work =
      (kPassMillisPerRequest * total + kReadMillisPerPrompt * prompts) / count;
  const double own_work = kPassMillisPerRequest * static_cast<double>(largest);
  const double millis = kEmptyPassMillis + (1 - kExpertShare) * own_work +
                        kExpertShare * this->Skew() * expert_work;
  this->pass_ends_at =
      this->now + std::chrono::duration_cast<kernel::Clock::duration>(
                      std::chrono::duration<double, std::milli>(millis));
  ++this->passes;
  this->results.pass_millis += millis;
  this->results.running += total / count;
}

void LockstepService::EndPass() {
  std::vector<std::shared_ptr<Stream>> writing;
  for (auto& entry : this->endpoints) {
    for (const auto& stream : entry.second.running) writing.push_back(stream);
  }
  for (const auto& stream : writing) {
    if (stream->endpoint.empty()) continue;
    if (!stream->is_read) {
      stream->is_read = true;
      ResponseHead head;
      head.status = 200;
      head.is_signed = true;
      head.request_id = std::to_string(stream->number);
      this->Apply(stream,
                  stream->flow->OnHead(stream->attempt, head, this->now));
    }
    const Millis goal(stream->has_first_event ? this->shape.pause_goal_ms
                                              : this->shape.latency_goal_ms);
    const TimePoint since =
        stream->has_first_event ? stream->last_event_at : stream->arrived_at;
    stream->is_on_time = stream->is_on_time && this->now - since <= goal;
    stream->has_first_event = true;
    stream->last_event_at = this->now;
    ++stream->events_sent;
    const std::string event =
        "id: " + std::to_string(stream->events_sent) + "\n\n";
    this->Apply(stream,
                stream->flow->OnData(stream->attempt, event, this->now));
    if (stream->events_sent < stream->events_left) continue;
    this->Remove(*stream);
    stream->endpoint.clear();
    this->Apply(stream, stream->flow->OnEnd(stream->attempt, this->now));
  }
}

}  // namespace banyanlane::direct
