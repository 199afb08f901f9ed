#include <criterion/criterion.h>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kRestText = "3";
constexpr kernel::Millis kRest{3'000};
/// Requests that the users allow in the time of a rest.
constexpr int kMaxInRest = 2;
const std::vector<std::string> kServers = {"s1", "s2"};

/// Sends requests to a gateway until a server has turned one away.
/// @return a time before that.
kernel::TimePoint AwaitRefusal(GatewayFleet& fleet, const std::string& gateway,
                               const std::string& server) {
  const int before = fleet.ArrivalCount(server);
  kernel::TimePoint since;
  cr_assert(Fleet::Await([&] {
    since = kernel::Clock::now();
    fleet.Post(gateway, "/plain/a", "");
    return fleet.ArrivalCount(server) > before;
  }));
  return since;
}

/// Sends plain requests and streams to a gateway until nine tenths of the rest
/// have passed. All of them must be served.
void SendDuringRest(GatewayFleet& fleet, const std::string& gateway,
                    kernel::TimePoint since) {
  while (kernel::Clock::now() < since + kRest * 9 / 10) {
    cr_assert_eq(fleet.Post(gateway, "/plain/a", "").status, kOk);
    cr_assert_eq(fleet.Post(gateway, "/stream/a", "").status, kOk);
  }
}

}  // namespace

Test(gateway_rest,
     a_resting_server_gets_nothing_from_the_gateway_that_it_asked) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1", "g2"});
  fleet.Refuse("s1", kRestText);
  const auto since = AwaitRefusal(fleet, "g1", "s1");
  fleet.Refuse("s1", "");
  const int arrivals = fleet.ArrivalCount("s1");
  SendDuringRest(fleet, "g1", since);
  cr_assert_leq(fleet.ArrivalCount("s1") - arrivals, kMaxInRest);
  cr_assert(Fleet::Await([&] {
              fleet.Post("g1", "/plain/a", "");
              return fleet.ArrivalCount("s1") > arrivals + kMaxInRest;
            }),
            "it is used again after its rest");
}

Test(gateway_rest, holds_after_a_refusal_without_proof_that_nothing_has_run) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1", "g2"});
  fleet.Refuse("s1", kRestText, false);
  const auto since = AwaitRefusal(fleet, "g1", "s1");
  fleet.Refuse("s1", "");
  const int arrivals = fleet.ArrivalCount("s1");
  SendDuringRest(fleet, "g1", since);
  cr_assert_leq(fleet.ArrivalCount("s1") - arrivals, kMaxInRest);
}

Test(gateway_rest, does_not_bind_gateways_that_were_not_asked) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1", "g2"});
  fleet.Refuse("s1", "3600");
  AwaitRefusal(fleet, "g1", "s1");
  fleet.Refuse("s1", "");
  cr_assert(Fleet::Await([&] {
    const int runs = fleet.RunCount("s1");
    fleet.Post("g2", "/plain/a", "");
    return fleet.RunCount("s1") > runs;
  }));
}

Test(gateway_rest, requests_are_refused_with_its_end_while_all_servers_rest) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1", "g2"});
  for (const std::string& server : kServers) fleet.Refuse(server, "3600");
  const int first = fleet.ArrivalCount("s1");
  const int second = fleet.ArrivalCount("s2");
  cr_assert(Fleet::Await([&] {
    fleet.Post("g1", "/plain/a", "");
    return fleet.ArrivalCount("s1") > first &&
           fleet.ArrivalCount("s2") > second;
  }));
  const auto response = fleet.Post("g1", "/plain/a", "");
  cr_assert_eq(response.status, kUnavailable);
  constexpr double kLeast = 3'000;
  cr_assert_geq(
      std::stod("0" + http::HeaderOf(response.headers, "retry-after")), kLeast);
}

Test(gateway_rest, a_server_that_starts_again_owes_no_rest) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1", "g2"});
  fleet.Refuse("s1", "3600");
  AwaitRefusal(fleet, "g1", "s1");
  fleet.Kill("s1");
  fleet.StartServer("s1");
  fleet.Register("s1", "ready");
  cr_assert(Fleet::Await([&] {
    fleet.Post("g1", "/plain/a", "");
    return fleet.RunCount("s1") > 0;
  }));
}

}  // namespace banyanlane::processes
