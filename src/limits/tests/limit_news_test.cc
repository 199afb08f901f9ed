#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <variant>
#include <vector>

#include "limits/internal/shared_rate_limits.h"

namespace banyanlane::limits {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr const char* kServer = "s";
constexpr Millis kSettleTime{1'000};

/// Gateways that are all linked, with delays of 1 to 5 ms that differ between
/// messages. Only news of limits is delivered.
class NewsNetwork {
 public:
  explicit NewsNetwork(std::size_t size, int seed = 1)
      : random(static_cast<std::minstd_rand::result_type>(seed)) {
    for (std::size_t i = 0; i < size; ++i) {
      this->gateways.push_back(
          std::make_unique<SharedRateLimits>(i + 1, PermitLimits{}));
      for (std::size_t other = 0; other < size; ++other) {
        if (other != i) this->gateways[i]->OnLinkUp(other, this->now);
      }
    }
  }

  /// Lets a gateway get a response that names a limit, or none.
  void Respond(std::size_t gateway, std::optional<double> per_second) {
    this->gateways[gateway]->OnResponse(kServer, per_second, this->now,
                                        this->now);
    this->SendFrom(gateway);
  }

  void Run(Millis span) {
    const TimePoint end = this->now + span;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = end;
  }

  std::size_t CountLimited() const {
    std::size_t count = 0;
    for (const auto& gateway : this->gateways)
      count += gateway->IsLimited(kServer) ? 1 : 0;
    return count;
  }

  int delivered = 0;

 private:
  void SendFrom(std::size_t from) {
    for (const auto& outgoing : this->gateways[from]->TakeMessages()) {
      const auto* news = std::get_if<link::RateLimit>(&outgoing.message);
      if (news == nullptr) continue;
      std::uniform_int_distribution<int> delay(1, 5);
      this->events.emplace(this->now + Millis(delay(this->random)),
                           [this, from, to = outgoing.link, news = *news] {
                             ++this->delivered;
                             this->gateways[to]->OnMessage(from, news,
                                                           this->now);
                             this->SendFrom(to);
                           });
    }
  }

  TimePoint now = kStart;
  std::minstd_rand random;
  std::vector<std::unique_ptr<SharedRateLimits>> gateways;
  std::multimap<TimePoint, std::function<void()>> events;
};

}  // namespace

Test(limit_news, of_a_limit_and_its_end_do_not_follow_each_other_forever) {
  for (const std::size_t size : {3, 9, 32}) {
    for (int seed = 1; seed <= 20; ++seed) {
      const int pause_ms = 1 + seed % 6;
      NewsNetwork network(size, seed);
      network.Respond(0, 2);
      network.Run(Millis(pause_ms));
      network.Respond(size / 2, std::nullopt);
      network.Run(kSettleTime);
      const std::size_t limited = network.CountLimited();
      cr_expect(limited == 0 || limited == size, "%zu of %zu, seed %d", limited,
                size, seed);
      // Each gateway forwards each of the two news once.
      cr_expect_leq(network.delivered, static_cast<int>(2 * size * size),
                    "%zu gateways, seed %d", size, seed);
    }
  }
}

Test(limit_news, that_is_newer_wins_also_after_a_long_time_without_a_limit) {
  NewsNetwork network(9);
  for (int round = 0; round < 5; ++round) {
    network.Respond(round, 2);
    network.Run(kSettleTime);
    cr_assert_eq(network.CountLimited(), 9);
    network.Respond(8 - round, std::nullopt);
    network.Run(Millis(60'000));
    cr_assert_eq(network.CountLimited(), 0);
  }
}

Test(limit_news, that_contradict_each_other_at_once_have_one_result) {
  for (const std::size_t size : {3, 9, 32}) {
    NewsNetwork network(size);
    for (std::size_t i = 0; i < size; ++i)
      network.Respond(i, 1 + static_cast<double>(i) / 3);
    network.Run(kSettleTime);
    cr_assert_eq(network.CountLimited(), size);
    cr_assert_leq(network.delivered, static_cast<int>(size * size * size));
  }
}

}  // namespace banyanlane::limits
