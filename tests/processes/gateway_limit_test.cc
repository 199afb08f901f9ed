#include <criterion/criterion.h>

#include <algorithm>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr const char* kLimitText = "2";
constexpr double kLimit = 2;
constexpr int kRequests = 240;
constexpr int kBatch = 30;
/// Part of a batch that an unlimited server must get at least.
constexpr int kUnlimitedRuns = 8;
/// Bound of the users: a span of this length, a factor, and extra requests.
constexpr double kWindowSeconds = 4;
constexpr double kExcess = 1.5;
constexpr int kExtra = 5;
const std::vector<std::string> kGateways = {"g1", "g2", "g3"};

/// Sends `count` requests to the gateways in turn.
/// @return how many of them were served.
int SendInTurn(GatewayFleet& fleet, int count) {
  int served = 0;
  for (int i = 0; i < count; ++i) {
    const std::string& gateway = kGateways[i % kGateways.size()];
    if (fleet.Post(gateway, "/plain/a", "").status == kOk) ++served;
  }
  return served;
}

/// Returns how many requests a limited server may get in the time since
/// `since`.
double Allowed(kernel::TimePoint since) {
  const std::chrono::duration<double> elapsed = kernel::Clock::now() - since;
  return kExcess * kLimit * std::max(kWindowSeconds, elapsed.count()) + kExtra;
}

}  // namespace

Test(gateway_limit, holds_over_all_gateways_and_starves_nobody) {
  GatewayFleet fleet;
  fleet.StartAll({"s1", "s2"}, kGateways);
  fleet.NameLimit("s1", kLimitText);
  // Each gateway gets responses that name the limit.
  SendInTurn(fleet, 2 * kBatch);
  const int before = fleet.RunCount("s1");
  const auto since = kernel::Clock::now();
  cr_assert_eq(SendInTurn(fleet, kRequests), kRequests,
               "the other server has capacity");
  cr_assert_leq(fleet.RunCount("s1") - before, Allowed(since));
  const int enough = static_cast<int>(kLimit * kWindowSeconds);
  cr_assert(Fleet::Await([&] {
              SendInTurn(fleet, kBatch);
              return fleet.RunCount("s1") - before >= enough;
            }),
            "the server gets requests under its limit");
  cr_assert_leq(fleet.RunCount("s1") - before, Allowed(since));
}

Test(gateway_limit, ends_when_the_server_names_it_no_longer) {
  GatewayFleet fleet;
  fleet.StartAll({"s1", "s2"}, kGateways);
  fleet.NameLimit("s1", kLimitText);
  SendInTurn(fleet, 2 * kBatch);
  const int before = fleet.RunCount("s1");
  SendInTurn(fleet, kBatch);
  cr_assert_lt(fleet.RunCount("s1") - before, kUnlimitedRuns);
  fleet.NameLimit("s1", "");
  cr_assert(Fleet::Await([&] {
    const int runs = fleet.RunCount("s1");
    SendInTurn(fleet, kBatch);
    return fleet.RunCount("s1") - runs >= kUnlimitedRuns;
  }));
}

}  // namespace banyanlane::processes
