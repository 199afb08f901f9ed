#include <criterion/criterion.h>

#include <csignal>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// Longer than Fleet::Await waits, so that no test passes because a watch has
/// ended by itself.
constexpr int kLongWatchMillis = 60'000;
constexpr int kRequests = 10;

/// Starts two gateways and one server, with version 10 of the routes.
void StartFleet(GatewayFleet& fleet) {
  fleet.StartStore();
  fleet.AddServer("s1");
  fleet.PublishRoutes(10, {});
  fleet.AddGateway("g1");
  fleet.AddGateway("g2");
  cr_assert(fleet.AwaitServed("g1", "/plain/a"));
  cr_assert(fleet.AwaitServed("g2", "/plain/a"));
}

}  // namespace

Test(gateway_store, serves_what_is_written_again_after_the_store_was_restored) {
  GatewayFleet fleet;
  StartFleet(fleet);
  fleet.CommandStore("copy");
  fleet.PublishRoutes(12, {"/lost/"});
  fleet.Write("servers/other", "{}");
  fleet.Write("servers/other", "");
  cr_assert(fleet.AwaitServed("g1", "/lost/a"));
  cr_assert(fleet.AwaitServed("g2", "/lost/a"));
  fleet.CommandStore("restore");
  fleet.PublishRoutes(12, {"/again/"});
  fleet.AddServer("s2");
  for (const char* gateway : {"g1", "g2"}) {
    cr_assert(fleet.AwaitServed(gateway, "/again/a"), "%s", gateway);
    cr_assert_eq(fleet.Post(gateway, "/lost/a", "").status, kNotFound);
    cr_assert(Fleet::Await([&] {
      return fleet.AdminPage(gateway, "/status").find("s2") !=
             std::string::npos;
    }));
  }
}

Test(gateway_store, keeps_the_last_configuration_until_it_is_written_again) {
  GatewayFleet fleet;
  StartFleet(fleet);
  fleet.CommandStore("copy");
  fleet.PublishRoutes(12, {"/added/"});
  cr_assert(fleet.AwaitServed("g1", "/added/a"));
  fleet.CommandStore("restore");
  // A server that registers itself shows that the gateway has read the restored
  // store.
  fleet.AddServer("s2");
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("g1", "/status").find("s2") != std::string::npos;
  }));
  cr_assert_eq(fleet.Post("g1", "/added/a", "").status, kOk);
  fleet.Kill("g2");
  fleet.StartGateway("g2");
  cr_assert(fleet.AwaitServed("g2", "/added/a"),
            "a gateway that starts meanwhile adopts it from its peer");
  fleet.PublishRoutes(12, {"/added/"});
  fleet.PublishRoutes(13, {"/next/"});
  cr_assert(fleet.AwaitServed("g1", "/next/a"));
  cr_assert(fleet.AwaitServed("g2", "/next/a"));
}

Test(gateway_store, serves_on_while_the_store_is_away_and_after_its_return) {
  GatewayFleet fleet;
  StartFleet(fleet);
  fleet.CommandStore("copy");
  fleet.PublishRoutes(12, {"/lost/"});
  cr_assert(fleet.AwaitServed("g1", "/lost/a"));
  fleet.CommandStore("mode", "down");
  fleet.CommandStore("restore");
  cr_assert(Fleet::Await([&] {
    return fleet.ReadLog("g1").find("platform_unreachable") !=
           std::string::npos;
  }));
  cr_assert_eq(fleet.Post("g1", "/lost/a", "").status, kOk);
  fleet.CommandStore("mode", "ok");
  cr_assert(Fleet::Await([&] {
    return fleet.ReadLog("g1").find("platform_restored") != std::string::npos;
  }));
  cr_assert_eq(fleet.Post("g1", "/lost/a", "").status, kOk);
  fleet.PublishRoutes(13, {"/next/"});
  cr_assert(fleet.AwaitServed("g1", "/next/a"));
  cr_assert_eq(fleet.Post("g1", "/lost/a", "").status, kNotFound);
}

Test(gateway_store, leaves_a_server_although_all_watches_were_silenced) {
  GatewayFleet fleet;
  fleet.SetWatchMillis(kLongWatchMillis);
  StartFleet(fleet);
  fleet.AddServer("s2");
  for (const char* gateway : {"g1", "g2"}) {
    cr_assert(
        Fleet::Await([&] { return fleet.ListsServer(gateway, "s2", "live"); }));
  }
  fleet.CommandStore("mode", "silent");
  // Both watches end at these changes, and their responses are lost.
  fleet.Register("s2", "ready");
  fleet.PublishRoutes(12, {"/added/"});
  fleet.CommandStore("mode", "ok");
  fleet.Register("s1", "draining");
  for (const char* gateway : {"g1", "g2"}) {
    cr_assert(Fleet::Await(
        [&] { return fleet.ListsServer(gateway, "s1", "leaving"); }));
    cr_assert(fleet.AwaitServed(gateway, "/added/a"));
  }
  const int runs = fleet.RunCount("s1");
  for (int i = 0; i < kRequests; ++i) {
    for (const char* gateway : {"g1", "g2"})
      cr_assert_eq(fleet.Post(gateway, "/plain/a", "").status, kOk);
  }
  cr_assert_eq(fleet.RunCount("s1"), runs);
}

Test(gateway_store, one_working_watch_informs_all_gateways) {
  GatewayFleet fleet;
  fleet.SetWatchMillis(kLongWatchMillis);
  StartFleet(fleet);
  fleet.CommandStore("mode", "silent");
  fleet.Register("s1", "ready");
  fleet.CommandStore("mode", "ok");
  // This gateway has a working watch, unlike the others.
  fleet.AddGateway("g3");
  cr_assert(fleet.AwaitServed("g3", "/plain/a"));
  fleet.Register("s1", "draining");
  for (const char* gateway : {"g1", "g2", "g3"}) {
    cr_assert(Fleet::Await(
        [&] { return fleet.ListsServer(gateway, "s1", "leaving"); }));
  }
}

}  // namespace banyanlane::processes
