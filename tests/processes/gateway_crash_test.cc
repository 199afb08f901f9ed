#include <criterion/criterion.h>
#include <signal.h>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kServers = 4;
/// Endpoints that one request, or one prompt part, may end before and after it
/// is known to crash them.
constexpr int kMaxEnds = 6;
constexpr int kSoundRequests = 20;

std::string ServerName(int number) { return "s" + std::to_string(number); }

void StartFleet(GatewayFleet& fleet) {
  fleet.StartStore();
  for (int i = 1; i <= kServers; ++i) fleet.AddServer(ServerName(i));
  fleet.PublishRoutes(1, {});
  fleet.AddGateway("g1");
  fleet.AddGateway("g2");
  cr_assert(fleet.AwaitServed("g1", "/plain/a"));
  cr_assert(fleet.AwaitServed("g2", "/plain/a"));
}

/// Starts the servers that have ended again.
/// @return their number.
int RestartEnded(GatewayFleet& fleet) {
  int ended = 0;
  for (int i = 1; i <= kServers; ++i) {
    if (fleet.IsRunning(ServerName(i))) continue;
    ++ended;
    fleet.StartServer(ServerName(i));
    fleet.Register(ServerName(i), "ready");
  }
  return ended;
}

/// Returns whether each server has begun to run a request since its start.
bool AllServersRun(GatewayFleet& fleet) {
  for (int i = 1; i <= kServers; ++i) {
    if (fleet.RunCount(ServerName(i)) == 0) return false;
  }
  return true;
}

}  // namespace

Test(gateway_crash,
     a_request_that_crashes_endpoints_is_refused_by_all_gateways) {
  GatewayFleet fleet;
  StartFleet(fleet);
  int ends = 0;
  http::HttpResponse last;
  for (int i = 0; i < 12; ++i) {
    const std::string gateway = i % 2 == 0 ? "g1" : "g2";
    last = fleet.Post(gateway, "/plain/a", "CRASH");
    ends += RestartEnded(fleet);
    cr_assert(fleet.AwaitServed(gateway, "/plain/a"));
  }
  cr_assert_leq(ends, kMaxEnds);
  cr_assert_eq(last.status, kUnavailable);
  cr_assert_not(http::HeaderOf(last.headers, "retry-after").empty());
  for (const char* gateway : {"g1", "g2"}) {
    cr_assert_eq(fleet.Post(gateway, "/plain/a", "sound").status, kOk);
    cr_assert_eq(fleet.Post(gateway, "/plain/b", "").status, kOk);
  }
}

Test(
    gateway_crash,
    a_request_that_was_popular_and_sound_is_refused_once_it_crashes_endpoints) {
  GatewayFleet fleet;
  StartFleet(fleet);
  const std::vector<std::string> gateways = {"g1", "g2"};
  for (int i = 0; i < kSoundRequests; ++i)
    cr_assert_eq(fleet.Post(gateways[i % 2], "/plain/popular", "").status, kOk);
  int ends = 0;
  http::HttpResponse last;
  for (int i = 0; i < 12; ++i) {
    for (int k = 1; k <= kServers; ++k)
      fleet.CrashOn(ServerName(k), "/plain/popular");
    last = fleet.Post(gateways[i % 2], "/plain/popular", "");
    ends += RestartEnded(fleet);
    cr_assert(fleet.AwaitServed(gateways[i % 2], "/plain/a"));
  }
  cr_assert_leq(ends, kMaxEnds);
  cr_assert_eq(last.status, kUnavailable);
}

Test(gateway_crash,
     sound_requests_are_served_after_all_endpoints_have_crashed) {
  GatewayFleet fleet;
  StartFleet(fleet);
  for (int round = 0; round < 4; ++round) {
    std::vector<std::shared_ptr<ResponseRecorder>> pending;
    cr_assert(Fleet::Await([&] {
                const bool is_even = pending.size() % 2 == 0;
                pending.push_back(fleet.StartPost(is_even ? "g1" : "g2",
                                                  "/stream/popular", "SLOW"));
                return AllServersRun(fleet);
              }),
              "round %d", round);
    for (int k = 1; k <= kServers; ++k)
      ::kill(fleet.Pid(ServerName(k)), SIGKILL);
    for (int k = 1; k <= kServers; ++k) fleet.Kill(ServerName(k));
    cr_assert_eq(RestartEnded(fleet), kServers);
    for (const char* gateway : {"g1", "g2"}) {
      cr_assert(Fleet::Await([&] {
        const auto response = fleet.Post(gateway, "/stream/popular", "SLOW");
        cr_assert_eq(response.body.find("quarantined"), std::string::npos,
                     "round %d", round);
        return response.status == kOk;
      }));
    }
  }
}

Test(gateway_crash, a_gateway_that_starts_again_learns_what_crashes_endpoints) {
  GatewayFleet fleet;
  StartFleet(fleet);
  for (int i = 0; i < 3; ++i) {
    fleet.Post("g1", "/plain/a", "CRASH");
    RestartEnded(fleet);
    cr_assert(fleet.AwaitServed("g1", "/plain/a"));
  }
  fleet.Kill("g2");
  const std::size_t log_size = fleet.ReadLog("g2").size();
  fleet.StartGateway("g2");
  cr_assert(Fleet::Await([&] {
    return fleet.ReadLog("g2").find("work_quarantined", log_size) !=
           std::string::npos;
  }));
  cr_assert(fleet.AwaitServed("g2", "/plain/a"));
  cr_assert_eq(fleet.Post("g2", "/plain/a", "CRASH").status, kUnavailable);
  cr_assert_eq(RestartEnded(fleet), 0);
}

Test(gateway_crash,
     a_prompt_part_that_crashes_endpoints_is_refused_in_any_request) {
  GatewayFleet fleet;
  StartFleet(fleet);
  const auto send = [&fleet](const std::string& gateway,
                             const std::string& parts,
                             const std::string& body) {
    return fleet.Post(gateway, "/stream/a", body, {{"x-prefix-hash", parts}});
  };
  int ends = 0;
  http::HttpResponse last;
  for (int i = 0; i < 12; ++i) {
    const std::string gateway = i % 2 == 0 ? "g1" : "g2";
    const std::string own = std::to_string(i);
    last = send(gateway, "5a:40,dead01:300,b" + own + ":9", "r" + own);
    ends += RestartEnded(fleet);
    cr_assert(Fleet::Await([&] {
      return send(gateway, "5a:40,c" + own + ":9", "s" + own).status == kOk;
    }));
  }
  cr_assert_leq(ends, kMaxEnds);
  cr_assert_eq(last.status, kUnavailable);
  for (const char* gateway : {"g1", "g2"}) {
    cr_assert_eq(send(gateway, "dead01:300,d:9", "").status, kUnavailable);
    cr_assert_eq(send(gateway, "5a:40,d:9", "").status, kOk);
    cr_assert_eq(send(gateway, "5a:40,7c:300,d:9", "").status, kOk);
  }
}

}  // namespace banyanlane::processes
