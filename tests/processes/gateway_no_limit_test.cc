#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

#include "processes/gateway_fleet.h"
#include "processes/stop_traffic.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr const char* kUnlimitedRoutes = R"({"version":1,"routeList":[
    {"name":"a","host":"h.example","pathPrefix":"/plain/",
     "type":"non_idempotent","service":"model"}],
    "services":[{"name":"model"}]})";

}  // namespace

// Guards against requests that fail at once, in calm or in a stop, because
// neither the caller nor the route limits their time.
Test(gateway_no_limit, serves_requests_without_a_time_limit) {
  GatewayFleet fleet;
  fleet.StartStore();
  WorkServer server(fleet.AddOwnServer("s1"));
  fleet.Write("op/config", kUnlimitedRoutes);
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  TrafficForm form;
  form.deadline_millis = 0;
  StopTraffic traffic(fleet.Address("g1"), form);
  cr_assert(Fleet::Await([&] { return traffic.AnswerCount() > 0; }));
  PlannedStop stop;
  stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g1", SIGTERM);
  const auto records = traffic.Finish();
  const auto lost = LostRequests(records, server, stop);
  cr_expect(lost.empty(), "%zu of %zu lost", lost.size(), records.size());
  const auto is_served = [&](bool in_stop) {
    return std::any_of(records.begin(), records.end(),
                       [&](const CallerRecord& record) {
                         return record.status == kOk &&
                                (record.sent_at > stop.signalled_at) == in_stop;
                       });
  };
  cr_expect(is_served(false));
  cr_expect(is_served(true));
}

}  // namespace banyanlane::processes
