#include "evidence/tests/simulated_service.h"

#include <algorithm>
#include <type_traits>

#include "limits/i_rate_limits.h"

namespace banyanlane::evidence {
namespace {

using kernel::Millis;
using kernel::TimePoint;

const char* const kWork = "work";
const std::string kWorkResource = limits::WorkResource(kWork);
constexpr std::size_t kMaxLinks = 96;
constexpr int kMaxAttempts = 2;
constexpr int kMaxCallerAttempts = 2;
constexpr int kMinRunMillis = 30;
constexpr int kMaxRunMillis = 120;
/// Time until a gateway knows that an endpoint has crashed.
constexpr Millis kCheckTime{6};
constexpr Millis kRestartTime{3'000};
constexpr int kRestartSpreadMillis = 400;
/// Longest wait of a request while no endpoint is up.
constexpr Millis kMaxWait{375};
constexpr Millis kRetryInterval{10};
constexpr Millis kExpirePeriod{10'000};
constexpr double kMillisPerSecond = 1'000;
constexpr Millis kPermitPeriod{100};

}  // namespace

SimulatedService::SimulatedService(std::size_t gateway_count,
                                   std::size_t endpoint_count,
                                   double per_second, std::uint64_t seed)
    : now(TimePoint{} + std::chrono::hours(1)),
      random(static_cast<std::minstd_rand::result_type>(seed)),
      per_second(per_second),
      endpoints(endpoint_count) {
  for (std::size_t i = 0; i < gateway_count; ++i) {
    this->gateways.push_back(std::make_unique<CrashAttribution>(
        "g" + std::to_string(i), AttributionLimits{}));
  }
  for (std::size_t i = 0; i < gateway_count; ++i) {
    this->permits.push_back(std::make_unique<limits::SharedRateLimits>(
        i + 1, limits::PermitLimits{}));
    for (std::size_t to = 0; to < gateway_count; ++to) {
      if (this->AreLinked(i, to)) this->permits[i]->OnLinkUp(to, this->now);
    }
  }
  this->ScheduleArrival();
  this->ExpireEvidence();
  this->StepAllPermits();
}

void SimulatedService::At(TimePoint time, std::function<void()> event) {
  this->events.emplace(time, std::move(event));
}

Millis SimulatedService::Draw(int least, int most) {
  return Millis(std::uniform_int_distribution<int>(least, most)(this->random));
}

void SimulatedService::Run(Millis span) {
  const TimePoint end = this->now + span;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto next = this->events.extract(this->events.begin());
    this->now = std::max(this->now, next.key());
    next.mapped()();
  }
  this->now = end;
}

void SimulatedService::ExpireEvidence() {
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    this->gateways[i]->Expire(this->now);
    this->ApplyChanges(i);
  }
  this->At(this->now + kExpirePeriod, [this] { this->ExpireEvidence(); });
}

void SimulatedService::ScheduleArrival() {
  std::exponential_distribution<double> pause(this->per_second);
  const Millis wait(
      static_cast<std::int64_t>(pause(this->random) * kMillisPerSecond));
  this->At(this->now + wait, [this] {
    this->Arrive(Request{});
    this->ScheduleArrival();
  });
}

void SimulatedService::Arrive(Request request) {
  request.gateway = this->random() % this->gateways.size();
  request.attempts = 0;
  request.wait_until = this->now + kMaxWait;
  ++request.caller_attempts;
  this->Dispatch(request);
}

void SimulatedService::Dispatch(Request request) {
  CrashAttribution& gateway = *this->gateways[request.gateway];
  if (gateway.QuarantinedUntil({kWork}, this->now)) {
    ++this->refused;
    return;
  }
  std::vector<std::size_t> up;
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    if (this->endpoints[i].is_up) up.push_back(i);
  }
  limits::SharedRateLimits& permits_here = *this->permits[request.gateway];
  const bool needs_permit = gateway.DoubtfulKey({kWork}, this->now).has_value();
  if (up.empty() ||
      (needs_permit && !permits_here.MaySend(kWorkResource, this->now))) {
    if (this->now >= request.wait_until) {
      if (!up.empty()) ++this->refused;
      return;
    }
    this->At(this->now + kRetryInterval,
             [this, request] { this->Dispatch(request); });
    return;
  }
  if (needs_permit) permits_here.OnSent(kWorkResource, this->now);
  gateway.TryProbe({kWork}, this->now);
  const std::size_t endpoint = up[this->random() % up.size()];
  ++request.attempts;
  request.sent_at = this->now;
  this->attempt_times.push_back(this->now);
  this->endpoints[endpoint].running.push_back(request);
  const int incarnation = this->endpoints[endpoint].incarnation;
  this->At(this->now + this->Draw(kMinRunMillis, kMaxRunMillis),
           [this, endpoint, incarnation, request] {
             this->Finish(endpoint, incarnation, request);
           });
}

void SimulatedService::Finish(std::size_t number, int incarnation,
                              const Request& request) {
  Endpoint& endpoint = this->endpoints[number];
  if (!endpoint.is_up || endpoint.incarnation != incarnation) return;
  if (this->is_crashing) {
    this->crash_times.push_back(this->now);
    this->Crash(number);
    return;
  }
  auto& running = endpoint.running;
  running.erase(std::find_if(running.begin(), running.end(),
                             [&request](const Request& other) {
                               return other.sent_at == request.sent_at &&
                                      other.gateway == request.gateway;
                             }));
  this->Send(request.gateway,
             this->gateways[request.gateway]->RecordSurvival(
                 {kWork}, request.sent_at, this->now),
             request.gateway);
}

void SimulatedService::Crash(std::size_t number) {
  Endpoint& endpoint = this->endpoints[number];
  const std::string crash =
      std::to_string(number) + "/" + std::to_string(endpoint.incarnation);
  endpoint.is_up = false;
  ++endpoint.incarnation;
  std::vector<Request> lost;
  lost.swap(endpoint.running);
  for (const Request& request : lost) {
    this->At(this->now, [this, request] { this->Retry(request); });
    this->At(this->now + kCheckTime,
             [this, request, crash, lost_at = this->now] {
               this->Report(request, crash, lost_at);
             });
  }
  this->At(this->now + kRestartTime + this->Draw(0, kRestartSpreadMillis),
           [this, number] { this->endpoints[number].is_up = true; });
}

void SimulatedService::Report(const Request& request, const std::string& crash,
                              TimePoint lost_at) {
  this->Send(request.gateway,
             this->gateways[request.gateway]->RecordCrash(
                 {kWork}, crash, {request.sent_at, lost_at}, this->now),
             request.gateway);
}

void SimulatedService::Retry(const Request& request) {
  if (request.attempts < kMaxAttempts) {
    this->Dispatch(request);
    return;
  }
  if (request.caller_attempts >= kMaxCallerAttempts) return;
  this->At(this->now + this->Draw(kMinRunMillis, kMaxRunMillis),
           [this, request] { this->Arrive(request); });
}

void SimulatedService::LosePower(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    if (!this->endpoints[i].is_up) continue;
    Request request;
    request.gateway = this->random() % this->gateways.size();
    request.attempts = 1;
    request.caller_attempts = 1;
    request.sent_at = this->now - Millis(kMinRunMillis);
    this->endpoints[i].running.push_back(request);
    this->Crash(i);
  }
}

bool SimulatedService::AreLinked(std::size_t left, std::size_t right) const {
  const std::size_t size = this->gateways.size();
  const std::size_t distance =
      std::min((left + size - right) % size, (right + size - left) % size);
  return distance > 0 && distance <= kMaxLinks / 2;
}

void SimulatedService::Send(std::size_t from,
                            const CrashAttribution::Reports& reports,
                            std::size_t except) {
  this->ApplyChanges(from);
  for (const link::WorkReport& report : reports) {
    for (std::size_t to = 0; to < this->gateways.size(); ++to) {
      if (to == except || !this->AreLinked(from, to)) continue;
      this->At(this->now + this->Draw(1, 5),
               [this, from, to, report] { this->Deliver(from, to, report); });
    }
  }
}

void SimulatedService::Deliver(std::size_t from, std::size_t to,
                               const link::WorkReport& report) {
  const bool is_new = this->gateways[to]->Merge(report, this->now);
  this->ApplyChanges(to);
  const bool must_forward = this->gateways.size() > kMaxLinks + 1;
  if (is_new && must_forward) this->Send(to, {report}, from);
}

void SimulatedService::ApplyChanges(std::size_t gateway) {
  for (const auto& change : this->gateways[gateway]->TakeChanges()) {
    const bool is_doubtful = change.status == WorkStatus::kDoubtful;
    this->permits[gateway]->SetLimit(
        kWorkResource,
        is_doubtful ? std::optional(AttributionLimits{}.permits_per_second)
                    : std::nullopt,
        this->now);
    this->StepPermits(gateway);
  }
}

void SimulatedService::StepPermits(std::size_t gateway) {
  limits::SharedRateLimits& own = *this->permits[gateway];
  own.Step(this->now);
  for (const auto& outgoing : own.TakeMessages()) {
    this->At(this->now + this->Draw(1, 5), [this, gateway, outgoing] {
      std::visit(
          [this, gateway, &outgoing](const auto& message) {
            using Message = std::decay_t<decltype(message)>;
            constexpr bool kIsHandled =
                std::is_same_v<Message, link::RateLimit> ||
                std::is_same_v<Message, link::Coordinator> ||
                std::is_same_v<Message, link::PermitRequest> ||
                std::is_same_v<Message, link::PermitGrant>;
            if constexpr (kIsHandled) {
              this->permits[outgoing.link]->OnMessage(gateway, message,
                                                      this->now);
            }
          },
          outgoing.message);
      this->StepPermits(outgoing.link);
    });
  }
}

void SimulatedService::StepAllPermits() {
  for (std::size_t i = 0; i < this->permits.size(); ++i) {
    if (this->permits[i]->IsActive()) this->StepPermits(i);
  }
  this->At(this->now + kPermitPeriod, [this] { this->StepAllPermits(); });
}

int SimulatedService::AttemptsAfterThirdCrash(Millis span) const {
  constexpr std::size_t kThird = 2;
  if (this->crash_times.size() <= kThird) return 0;
  const TimePoint since = this->crash_times[kThird] + span;
  return static_cast<int>(
      std::count_if(this->attempt_times.begin(), this->attempt_times.end(),
                    [since](TimePoint time) { return time > since; }));
}

}  // namespace banyanlane::evidence
