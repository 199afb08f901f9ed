#include <criterion/criterion.h>
#include <poll.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "processes/gateway_fleet.h"
#include "processes/stop_traffic.h"

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr int kPaceMillis = 300;
constexpr int kWorkMillis = 200;
constexpr int kShortTimeoutMillis = 2'000;
constexpr int kLongTimeoutMillis = 20'000;
/// The second gateway is stopped while callers of the first move to it.
constexpr kernel::Millis kBetweenStops{2'000};

/// Returns a configuration whose time limits, keys and limits of connections
/// change with each version.
std::string ConfigOf(int version) {
  const bool is_even = version % 2 == 0;
  json route = {
      {"name", "a"},
      {"host", "h.example"},
      {"pathPrefix", "/plain/"},
      {"type", is_even ? "idempotent" : "non_idempotent"},
      {"timeoutMs", is_even ? kShortTimeoutMillis : kLongTimeoutMillis},
      {"maxAttempts", 2},
      {"public", true},
      {"service", "model"}};
  json tenants = json::array();
  if (is_even)
    tenants.push_back({{"name", "t"}, {"apiKeys", json::array({"k"})}});
  return json{{"version", version},
              {"routeList", json::array({std::move(route)})},
              {"tenants", std::move(tenants)},
              {"limits", {{"idleTimeoutMs", is_even ? 1'500 : 30'000}}},
              {"services", {{{"name", "model"}}}}}
      .dump();
}

}  // namespace

Test(gateway_changed_stop, loses_no_request_beside_new_configurations) {
  GatewayFleet fleet;
  fleet.StartStore();
  WorkServer server(fleet.AddOwnServer("s1"));
  int version = 1;
  fleet.Write("op/config", ConfigOf(version));
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  TrafficForm form;
  form.work_millis = kWorkMillis;
  StopTraffic traffic(fleet.Address("g1"), form);
  cr_assert(Fleet::Await([&] { return traffic.AnswerCount() > 0; }));
  PlannedStop stop;
  stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g1", SIGTERM);
  while (fleet.IsRunning("g1")) {
    fleet.Write("op/config", ConfigOf(++version));
    fleet.Signal("g1", SIGHUP);
    poll(nullptr, 0, kPaceMillis);
  }
  const std::string log = fleet.ReadLog("g1");
  const std::size_t stopped = log.find("stop_requested");
  cr_expect_neq(log.find("config_adopted", stopped), std::string::npos);
  cr_expect_neq(log.find("settings_reloaded", stopped), std::string::npos);
  const auto records = traffic.Finish();
  const auto lost = LostRequests(records, server, stop);
  cr_expect(lost.empty(), "%zu of %zu lost", lost.size(), records.size());
}

Test(gateway_changed_stop, loses_no_request_when_two_stop_one_after_another) {
  GatewayFleet fleet;
  fleet.StartAll({}, {});
  WorkServer server(fleet.AddOwnServer("s1"));
  for (const char* name : {"g1", "g2"}) {
    fleet.AddGateway(name);
    cr_assert(fleet.AwaitServed(name, "/plain/0"));
  }
  TrafficForm form;
  form.work_millis = kWorkMillis;
  StopTraffic first(fleet.Address("g1"), form);
  form.path = "/plain/b/";
  StopTraffic second(fleet.Address("g2"), form);
  cr_assert(Fleet::Await([&] { return first.AnswerCount() > 0; }));
  PlannedStop stop;
  stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g1", SIGTERM);
  while (kernel::Clock::now() < stop.signalled_at + kBetweenStops)
    poll(nullptr, 0, kPaceMillis);
  form.path = "/plain/moved/";
  StopTraffic moved(fleet.Address("g2"), form);
  PlannedStop second_stop;
  second_stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g2", SIGTERM);
  cr_expect(LostRequests(first.Finish(), server, stop).empty());
  cr_expect(LostRequests(second.Finish(), server, second_stop).empty());
  cr_expect(LostRequests(moved.Finish(), server, second_stop).empty());
  for (const char* name : {"g1", "g2"})
    cr_expect_eq(fleet.WaitForExit(name), 0);
}

}  // namespace banyanlane::processes
