#include <criterion/criterion.h>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kBatch = 40;
const std::vector<std::string> kServers = {"s1", "s2"};

/// Lets s1 say that it leaves, and sends requests until a response has said so.
void AwaitLeaving(GatewayFleet& fleet) {
  fleet.SetLeaving("s1", true);
  const int before = fleet.ArrivalCount("s1");
  cr_assert(Fleet::Await([&] {
    fleet.Post("g1", "/plain/a", "");
    return fleet.ArrivalCount("s1") > before;
  }));
}

/// Sends a batch of requests, all of which must be served, none by s1.
void ExpectUnused(GatewayFleet& fleet) {
  const int before = fleet.ArrivalCount("s1");
  for (int i = 0; i < kBatch; ++i) {
    cr_assert_eq(fleet.Post("g1", "/plain/a", "").status, kOk);
    cr_assert_eq(fleet.Post("g1", "/stream/a", "").status, kOk);
  }
  cr_assert_eq(fleet.ArrivalCount("s1"), before);
}

}  // namespace

Test(gateway_leaving, a_server_that_says_so_is_left_while_the_store_lists_it) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1"});
  AwaitLeaving(fleet);
  ExpectUnused(fleet);
  fleet.Register("s1", "ready");
  fleet.Register("s2", "ready");
  ExpectUnused(fleet);
}

Test(gateway_leaving, a_server_that_says_so_in_a_refusal_is_left) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1"});
  fleet.Refuse("s1", "0");
  AwaitLeaving(fleet);
  fleet.Refuse("s1", "");
  ExpectUnused(fleet);
}

Test(gateway_leaving, a_server_stays_left_after_a_restore_of_the_store) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1"});
  fleet.CommandStore("copy");
  AwaitLeaving(fleet);
  fleet.Write("servers/s1", "");
  cr_assert(
      Fleet::Await([&] { return !fleet.ListsServer("g1", "s1", "live"); }));
  fleet.CommandStore("restore");
  fleet.Register("s2", "ready");
  cr_assert(
      Fleet::Await([&] { return fleet.ListsServer("g1", "s1", "live"); }));
  ExpectUnused(fleet);
}

Test(gateway_leaving, a_server_that_starts_again_under_its_id_is_used) {
  GatewayFleet fleet;
  fleet.StartAll(kServers, {"g1"});
  AwaitLeaving(fleet);
  fleet.Kill("s1");
  fleet.StartServer("s1");
  fleet.Register("s1", "ready");
  cr_assert(Fleet::Await([&] {
    fleet.Post("g1", "/plain/a", "");
    return fleet.RunCount("s1") > 0;
  }));
}

}  // namespace banyanlane::processes
