#include <criterion/criterion.h>

#include "evidence/tests/simulated_service.h"

namespace banyanlane::evidence {
namespace {

using kernel::Millis;

constexpr std::size_t kGatewayCounts[] = {3, 32, 390};
constexpr Millis kSoundTime{25'000};
constexpr Millis kCrashingTime{60'000};
/// Attempts that the users allow later than this after the third crash.
constexpr Millis kGrace{3'000};
constexpr int kMaxLateAttempts = 3;

}  // namespace

Test(crash_spread, work_that_was_sound_is_bounded_after_its_third_crash) {
  for (const std::size_t gateways : kGatewayCounts) {
    for (const double per_second : {0.05, 0.4, 1.0, 3.0, 10.0}) {
      for (const std::uint64_t seed : {1, 2, 3}) {
        SimulatedService service(gateways, 3, per_second, seed);
        service.Run(kSoundTime);
        service.SetCrashing(true);
        service.Run(kCrashingTime);
        cr_expect_leq(service.AttemptsAfterThirdCrash(kGrace), kMaxLateAttempts,
                      "%zu gateways, %.2f a second, seed %d: %d, %d crashes",
                      gateways, per_second, static_cast<int>(seed),
                      service.AttemptsAfterThirdCrash(kGrace),
                      service.Crashes());
      }
    }
  }
}

Test(crash_spread, sound_work_is_not_refused_when_all_endpoints_lose_power) {
  for (const std::size_t gateways : kGatewayCounts) {
    for (const double per_second : {0.5, 5.0}) {
      for (const std::uint64_t seed : {1, 2}) {
        SimulatedService service(gateways, 3, per_second, seed);
        for (int i = 0; i < 6; ++i) {
          service.Run(Millis(12'000));
          service.LosePower(3);
        }
        service.Run(Millis(12'000));
        cr_expect_eq(service.Refused(), 0,
                     "%zu gateways, %.2f a second, seed %d: %d refused",
                     gateways, per_second, static_cast<int>(seed),
                     service.Refused());
      }
    }
  }
}

Test(crash_spread, sound_work_is_not_refused_when_part_of_the_endpoints_crash) {
  constexpr std::size_t kEndpoints = 16;
  for (const std::size_t gateways : kGatewayCounts) {
    for (const std::size_t lost : {3, 10}) {
      for (const double per_second : {1.0, 20.0}) {
        SimulatedService service(gateways, kEndpoints, per_second, lost);
        for (int i = 0; i < 6; ++i) {
          service.Run(Millis(5'000));
          service.LosePower(lost);
        }
        service.Run(Millis(5'000));
        cr_expect_eq(service.Refused(), 0,
                     "%zu gateways, %zu lost, %.2f a second: %d refused",
                     gateways, lost, per_second, service.Refused());
      }
    }
  }
}

}  // namespace banyanlane::evidence
