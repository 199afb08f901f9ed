#include <criterion/criterion.h>
#include <poll.h>

#include <csignal>

#include "processes/gateway_fleet.h"
#include "processes/stop_traffic.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kPaceMillis = 10;
/// Longer than a stop lasts when it waits for callers alone.
constexpr kernel::Millis kUploadTime{4'500};
/// Work that lasts longer than a stop.
constexpr int kLongWorkMillis = 9'000;
/// More callers than the server runs requests at once.
constexpr int kCallers = 40;
/// Requests with this time limit may wait longer than a stop lasts.
constexpr int kLongDeadlineMillis = 40'000;
constexpr const char* kLongRoutes = R"({"version":1,"routeList":[
    {"name":"a","host":"h.example","pathPrefix":"/plain/","type":"idempotent",
     "timeoutMs":40000,"maxAttempts":2,"service":"model"},
    {"name":"b","host":"h.example","pathPrefix":"/once/",
     "type":"non_idempotent","timeoutMs":40000,"service":"model"}],
    "services":[{"name":"model"}]})";

/// Waits until a stopping gateway has ended, and kills it at the end of the
/// grace period.
/// @return whether it ended by itself.
bool AwaitEnd(GatewayFleet& fleet, const std::string& gateway,
              const PlannedStop& stop) {
  while (fleet.IsRunning(gateway) &&
         kernel::Clock::now() < stop.signalled_at + stop.grace_period)
    poll(nullptr, 0, kPaceMillis);
  if (!fleet.IsRunning(gateway)) return true;
  fleet.Kill(gateway);
  return false;
}

/// Returns the number of requests that wait for capacity.
int WaitingCount(GatewayFleet& fleet, const std::string& gateway) {
  const std::string gauge = "\nbanyanlane_requests_waiting ";
  const std::string page = fleet.AdminPage(gateway, "/metrics");
  const std::size_t at = page.find(gauge);
  return at == std::string::npos ? 0
                                 : std::stoi(page.substr(at + gauge.size()));
}

}  // namespace

// Guards against requests that wait for capacity when a stop ends, and lose
// their connections without an answer.
Test(gateway_stop_end, answers_the_requests_that_wait_for_capacity) {
  GatewayFleet fleet;
  fleet.StartStore();
  WorkServer server(fleet.AddOwnServer("s1"));
  fleet.Write("op/config", kLongRoutes);
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  TrafficForm form;
  form.path = "/once/a/";
  form.callers = kCallers;
  form.work_millis = kLongWorkMillis;
  form.deadline_millis = kLongDeadlineMillis;
  StopTraffic traffic(fleet.Address("g1"), form);
  cr_assert(Fleet::Await([&] { return WaitingCount(fleet, "g1") > 0; }));
  PlannedStop stop;
  stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g1", SIGTERM);
  AwaitEnd(fleet, "g1", stop);
  const auto records = traffic.Finish();
  const auto lost = LostRequests(records, server, stop);
  cr_expect(lost.empty(), "%zu of %zu lost", lost.size(), records.size());
  for (const CallerRecord& record : records) {
    cr_expect(record.is_complete || record.sent_at > stop.signalled_at, "%s",
              record.id.c_str());
    const bool has_run = server.WorkedUntil(record.id).has_value();
    if (record.is_complete && !has_run)
      cr_expect_eq(record.status, kUnavailable, "%s", record.id.c_str());
  }
}

// Guards against an exit that waits for a reader of the log while it holds the
// connections of callers.
Test(gateway_stop_end, leaves_no_caller_waiting_when_nobody_reads_its_log) {
  GatewayFleet fleet;
  fleet.StartAll({}, {});
  WorkServer server(fleet.AddOwnServer("s1"));
  fleet.BlockOutput();
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  StopTraffic traffic(fleet.Address("g1"), TrafficForm{});
  cr_assert(Fleet::Await([&] { return traffic.AnswerCount() > 0; }));
  KeptCaller idle(fleet.Address("g1"));
  idle.Send(MakeRequest("/plain/a/0", "first", "x-deadline-ms: 5000\r\n", ""));
  cr_assert(idle.Receive("first", kernel::Clock::now()).is_complete);
  PlannedStop stop;
  stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g1", SIGTERM);
  auto records = traffic.Finish();
  idle.Send(MakeRequest("/plain/a/0", "late", "x-deadline-ms: 5000\r\n", ""));
  const auto sent_at = kernel::Clock::now();
  cr_expect(AwaitEnd(fleet, "g1", stop));
  records.push_back(idle.Receive("late", sent_at));
  const auto lost = LostRequests(records, server, stop);
  cr_expect(lost.empty(), "%zu of %zu lost", lost.size(), records.size());
}

// Guards against requests that were received behind another one on the same
// connection, and are dropped when a stop closes it.
Test(gateway_stop_end, answers_the_requests_received_behind_another_one) {
  GatewayFleet fleet;
  fleet.StartAll({}, {});
  WorkServer server(fleet.AddOwnServer("s1"));
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  KeptCaller caller(fleet.Address("g1"));
  const std::string fields = "x-deadline-ms: 5000\r\n";
  std::string requests;
  for (const char* id : {"p1", "p2", "p3"})
    requests += MakeRequest("/plain/a/600", id, fields, "");
  caller.Send(requests);
  const auto sent_at = kernel::Clock::now();
  cr_assert(Fleet::Await([&] { return server.WorkedUntil("p1").has_value(); }));
  fleet.Signal("g1", SIGTERM);
  for (const char* id : {"p1", "p2", "p3"})
    cr_expect_eq(caller.Receive(id, sent_at).status, kOk, "%s", id);
}

// Guards against a stop that ends while a request still arrives.
Test(gateway_stop_end, waits_for_the_rest_of_a_request) {
  GatewayFleet fleet;
  fleet.StartAll({}, {});
  WorkServer server(fleet.AddOwnServer("s1"));
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  KeptCaller caller(fleet.Address("g1"));
  const std::string request = MakeRequest(
      "/plain/a/0", "slow", "x-deadline-ms: 1000\r\n", std::string(100, 'x'));
  caller.Send(request.substr(0, request.size() - 1));
  PlannedStop stop;
  stop.signalled_at = kernel::Clock::now();
  fleet.Signal("g1", SIGTERM);
  while (fleet.IsRunning("g1") &&
         kernel::Clock::now() < stop.signalled_at + kUploadTime)
    poll(nullptr, 0, kPaceMillis);
  caller.Send(request.substr(request.size() - 1));
  cr_expect_eq(caller.Receive("slow", kernel::Clock::now()).status, kOk);
}

}  // namespace banyanlane::processes
