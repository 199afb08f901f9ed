#include <criterion/criterion.h>
#include <poll.h>

#include <csignal>

#include "processes/gateway_fleet.h"
#include "processes/stop_traffic.h"

namespace banyanlane::processes {
namespace {

constexpr kernel::Millis kFreezeEnd{3'000};
/// A disruption excuses what happens this long after it.
constexpr kernel::Millis kContactTime{3'000};
/// So many that one of them always waits for a response.
constexpr int kCallers = 16;
constexpr int kWorkMillis = 700;
constexpr int kDeadlineMillis = 1'500;
constexpr int kPaceMillis = 10;

void WaitUntil(kernel::TimePoint until) {
  while (kernel::Clock::now() < until) poll(nullptr, 0, kPaceMillis);
}

/// When a gateway is frozen, in time from its SIGTERM.
struct Freeze {
  kernel::Millis begin{0};
  kernel::Millis end{0};
};

/// Stops a gateway as the platform does, with one freeze and under load, and
/// expects that no request from after the freeze loses its answer.
/// @param earlier signals that are sent before SIGTERM.
void ExpectNothingLost(const Freeze& freeze, const std::vector<int>& earlier) {
  GatewayFleet fleet;
  fleet.StartAll({}, {});
  WorkServer server(fleet.AddOwnServer("s1"));
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/0"));
  TrafficForm form;
  form.callers = kCallers;
  form.work_millis = kWorkMillis;
  form.deadline_millis = kDeadlineMillis;
  StopTraffic traffic(fleet.Address("g1"), form);
  cr_assert(Fleet::Await([&] { return traffic.AnswerCount() > 0; }));
  PlannedStop stop;
  const bool is_frozen_before = freeze.begin <= kernel::Millis(0);
  if (is_frozen_before) fleet.Signal("g1", SIGSTOP);
  for (const int signal : earlier) fleet.Signal("g1", signal);
  stop.signalled_at = kernel::Clock::now();
  stop.calm_since = stop.signalled_at + freeze.end + kContactTime;
  fleet.Signal("g1", SIGTERM);
  WaitUntil(stop.signalled_at + freeze.begin);
  if (!is_frozen_before) fleet.Signal("g1", SIGSTOP);
  WaitUntil(stop.signalled_at + freeze.end);
  fleet.Signal("g1", SIGCONT);
  while (fleet.IsRunning("g1") &&
         kernel::Clock::now() < stop.signalled_at + stop.grace_period)
    poll(nullptr, 0, kPaceMillis);
  if (fleet.IsRunning("g1")) fleet.Kill("g1");
  const auto records = traffic.Finish();
  const auto lost = LostRequests(records, server, stop);
  cr_expect(lost.empty(), "%zu of %zu lost, the first is %s", lost.size(),
            records.size(), lost.empty() ? "" : lost.front().c_str());
}

}  // namespace

// Guards against a stop that counts its time from the end of a freeze, and so
// accepts requests that the end of the grace period cuts off.
Test(gateway_frozen_stop, loses_no_request_when_it_is_frozen_at_the_signal) {
  ExpectNothingLost({kernel::Millis(0), kFreezeEnd}, {});
}

// The same, when the process handles another signal first.
Test(gateway_frozen_stop, loses_no_request_when_a_reload_comes_before_it) {
  ExpectNothingLost({kernel::Millis(0), kFreezeEnd}, {SIGHUP});
}

Test(gateway_frozen_stop, loses_no_request_when_it_is_frozen_later) {
  ExpectNothingLost({kernel::Millis(500), kFreezeEnd}, {});
}

}  // namespace banyanlane::processes
