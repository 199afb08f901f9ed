#include "limits/tests/simulated_gateways.h"

#include <algorithm>

#include "kernel/hash.h"

namespace banyanlane::limits {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Millis kStep{10};
constexpr Millis kTick{100};
constexpr Millis kLinkDelay{10};
/// Time from a request to the response that names the limit.
constexpr Millis kResponseTime{50};
constexpr Millis kDownTime{2'000};
constexpr std::size_t kLinksEachSide = 48;
constexpr double kSecond = 1'000;
constexpr const char* kServer = "s";

}  // namespace

struct SimulatedGateways::Gateway {
  std::unique_ptr<SharedRateLimits> limits;
  double per_second = 0;
  bool is_running = true;
  bool is_cut = false;
  TimePoint starts_at;
  /// Requests in progress: when they were sent.
  std::deque<TimePoint> sent;
  int starts = 0;
};

struct SimulatedGateways::Delivery {
  std::size_t from = 0;
  std::size_t to = 0;
  link::Message message;
  TimePoint at;
};

SimulatedGateways::SimulatedGateways(std::size_t size,
                                     const std::vector<double>& per_second,
                                     std::uint64_t seed)
    : now(kStart), random(seed + 1) {
  for (std::size_t i = 0; i < size; ++i) {
    this->gateways.push_back(std::make_unique<Gateway>());
    this->gateways.back()->per_second = per_second[i % per_second.size()];
    this->gateways.back()->starts_at = kStart;
  }
  this->links.assign(size, std::vector<bool>(size, false));
}

SimulatedGateways::~SimulatedGateways() = default;

bool SimulatedGateways::IsNear(std::size_t left, std::size_t right) const {
  const std::size_t distance = left > right ? left - right : right - left;
  return distance != 0 &&
         std::min(distance, this->gateways.size() - distance) <= kLinksEachSide;
}

void SimulatedGateways::SetLink(std::size_t left, std::size_t right,
                                bool is_up) {
  if (this->links[left][right] == is_up) return;
  for (const auto& [near, far] :
       {std::pair(left, right), std::pair(right, left)}) {
    this->links[near][far] = is_up;
    SharedRateLimits* limits = this->gateways[near]->limits.get();
    if (limits == nullptr) continue;
    if (is_up) limits->OnLinkUp(far, this->now);
    if (!is_up) limits->OnLinkDown(far, this->now);
  }
}

void SimulatedGateways::ConnectAll() {
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const auto is_up = [this](const Gateway& gateway) {
        return gateway.limits != nullptr && !gateway.is_cut;
      };
      const std::size_t half = this->gateways.size() / 2;
      const bool is_divided = this->is_split && (i < half) != (j < half);
      this->SetLink(i, j,
                    !is_divided && this->IsNear(i, j) &&
                        is_up(*this->gateways[i]) && is_up(*this->gateways[j]));
    }
  }
}

void SimulatedGateways::Restart(std::size_t gateway) {
  this->gateways[gateway]->limits.reset();
  this->gateways[gateway]->sent.clear();
  this->gateways[gateway]->starts_at = this->now + kDownTime;
  this->ConnectAll();
}

void SimulatedGateways::SetCut(std::size_t gateway, bool is_cut) {
  this->gateways[gateway]->is_cut = is_cut;
  this->ConnectAll();
}

void SimulatedGateways::SetSplit(bool split) {
  this->is_split = split;
  this->ConnectAll();
}

void SimulatedGateways::SetRunning(std::size_t first, bool is_running) {
  for (std::size_t i = first; i < this->gateways.size(); ++i) {
    this->gateways[i]->is_running = is_running;
    if (!is_running) this->gateways[i]->limits.reset();
  }
  this->ConnectAll();
}

double SimulatedGateways::ReachOf(std::size_t gateway) const {
  double known = 1;
  double live = 1;
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    if (!this->IsNear(gateway, i) || !this->gateways[i]->is_running) continue;
    ++known;
    if (this->links[gateway][i]) ++live;
  }
  return live / known;
}

void SimulatedGateways::SendRequests(Gateway& gateway) {
  std::uniform_real_distribution<double> chance(0, 1);
  const double per_step = gateway.per_second * this->traffic *
                          static_cast<double>(kStep.count()) / kSecond;
  for (double left = per_step; left > 0; left -= 1) {
    if (chance(this->random) >= left) continue;
    if (!gateway.limits->MaySend(kServer, this->now)) continue;
    gateway.limits->OnSent(kServer, this->now);
    gateway.sent.push_back(this->now);
    this->arrivals.push_back(this->now);
  }
}

void SimulatedGateways::ReceiveResponses(Gateway& gateway) {
  const auto named =
      this->limit > 0 ? std::optional(this->limit) : std::nullopt;
  while (!gateway.sent.empty() &&
         this->now - gateway.sent.front() >= kResponseTime) {
    gateway.limits->OnResponse(kServer, named, gateway.sent.front(), this->now);
    gateway.sent.pop_front();
  }
}

void SimulatedGateways::StartProcesses() {
  bool has_started = false;
  for (auto& gateway : this->gateways) {
    const bool starts = gateway->is_running && !gateway->limits &&
                        this->now >= gateway->starts_at;
    if (!starts) continue;
    gateway->limits =
        std::make_unique<SharedRateLimits>(this->random(), PermitLimits{});
    has_started = true;
  }
  if (has_started) this->ConnectAll();
}

void SimulatedGateways::DeliverMessages() {
  while (!this->deliveries.empty() &&
         this->deliveries.front().at <= this->now) {
    const Delivery delivery = std::move(this->deliveries.front());
    this->deliveries.pop_front();
    if (!this->links[delivery.from][delivery.to]) continue;
    SharedRateLimits& limits = *this->gateways[delivery.to]->limits;
    const auto pass = [&](const auto* message) {
      if (message != nullptr)
        limits.OnMessage(delivery.from, *message, this->now);
    };
    pass(std::get_if<link::RateLimit>(&delivery.message));
    pass(std::get_if<link::Coordinator>(&delivery.message));
    pass(std::get_if<link::PermitRequest>(&delivery.message));
    pass(std::get_if<link::PermitGrant>(&delivery.message));
    limits.Step(this->now);
  }
}

void SimulatedGateways::Step(std::size_t index) {
  Gateway& gateway = *this->gateways[index];
  this->SendRequests(gateway);
  this->ReceiveResponses(gateway);
  const auto elapsed = std::chrono::duration_cast<Millis>(this->now - kStart);
  const Millis phase = kStep * static_cast<std::int64_t>(index);
  if ((elapsed + phase) % kTick == Millis{0}) {
    gateway.limits->SetReach(this->ReachOf(index));
    gateway.limits->Step(this->now);
  }
  for (SharedRateLimits::Outgoing& outgoing : gateway.limits->TakeMessages()) {
    this->deliveries.push_back({index, outgoing.link,
                                std::move(outgoing.message),
                                this->now + kLinkDelay});
  }
}

void SimulatedGateways::Run(Millis span) {
  const TimePoint end = this->now + span;
  for (; this->now < end; this->now += kStep) {
    this->StartProcesses();
    this->DeliverMessages();
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      if (this->gateways[i]->limits) this->Step(i);
    }
  }
}

int SimulatedGateways::CountSince(TimePoint since) const {
  return static_cast<int>(
      std::count_if(this->arrivals.begin(), this->arrivals.end(),
                    [since](TimePoint at) { return at >= since; }));
}

int SimulatedGateways::MostInFourSeconds(TimePoint since) const {
  constexpr Millis kWindow{4'000};
  int most = 0;
  auto first =
      std::lower_bound(this->arrivals.begin(), this->arrivals.end(), since);
  for (auto last = first; last != this->arrivals.end(); ++last) {
    while (*last - *first >= kWindow) ++first;
    most = std::max(most, static_cast<int>(last - first) + 1);
  }
  return most;
}

}  // namespace banyanlane::limits
