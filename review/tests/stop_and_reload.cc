// A gateway is stopped as planned while it answers requests. Its settings file
// changes before they are done.

#include <csignal>

#include "harness.h"

namespace review {
namespace {

constexpr int kStreams = 4;
constexpr int kBookings = 4;
/// A stream of 20 events with pauses of 150 ms lasts 3 s.
constexpr char kStreamWork[] = "20*150";
constexpr char kBookingWork[] = "2500";
constexpr int kDeadlineMillis = 8'000;

struct Call {
  Request request;
  Response response;
  std::thread thread;
};

int RunCase(const Paths& paths) {
  Record record(paths.record);
  Store store;
  RunLog runs;
  const std::vector<Route> routes = {
      {"r-stream", "/stream/", "streaming", "model", kDeadlineMillis, 2, true},
      {"r-book", "/book/", "non_idempotent", "desk", kDeadlineMillis, 1,
       false}};
  store.Put("op/config", ConfigText(7, routes));
  Server model("i-model", "model", store, runs);
  Server desk("i-desk", "desk", store, runs);
  Gateway gateway(paths.root, paths.folder, "edge-a-1", store.Address(), {});
  gateway.Start();
  if (!gateway.AwaitReady(20)) {
    record.Line("the gateway did not become ready");
    return kCouldNotRun;
  }
  record.Line("the gateway is ready");

  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < kStreams + kBookings; ++i) {
    auto call = std::make_unique<Call>();
    const bool is_stream = i < kStreams;
    call->request =
        MakeRequest("POST", is_stream ? "/stream/a" : "/book/a",
                    (is_stream ? "stream-" : "booking-") + std::to_string(i),
                    kDeadlineMillis, is_stream ? kStreamWork : kBookingWork);
    record.Line("sent " + call->request.headers["x-request-id"]);
    call->thread = std::thread([&gateway, call = call.get()] {
      call->response = Fetch(gateway.Frontend(), call->request);
    });
    calls.push_back(std::move(call));
  }
  const double stop_at = Seconds() + 0.5;
  SleepUntil(stop_at);
  gateway.Signal(SIGTERM);
  record.Line("SIGTERM to the gateway");
  SleepUntil(stop_at + 0.7);
  if (HasTrouble()) {
    gateway.ChangeSettings({"127.0.0.1:9"});
    gateway.Signal(SIGHUP);
    record.Line("the settings file has changed; SIGHUP to the gateway");
  }
  for (const auto& call : calls) call->thread.join();
  const double until = stop_at + 9;
  while (!gateway.HasExited() && Seconds() < until) SleepUntil(Seconds() + 0.1);
  record.Line("the gateway " + gateway.ExitText());

  int lost = 0;
  for (const auto& call : calls) {
    const std::string id = call->request.headers["x-request-id"];
    const auto ran = runs.Of(id);
    const bool is_answered = call->response.complete;
    const bool was_passed_on = !ran.empty();
    record.Line(id + ": reached a server " + std::to_string(ran.size()) +
                " time(s); status " + std::to_string(call->response.status) +
                (is_answered ? ", complete answer"
                             : ", connection ended without a "
                               "complete answer") +
                " " + std::to_string(call->response.ended_at - stop_at) +
                " s after SIGTERM");
    if (was_passed_on && !is_answered) ++lost;
  }
  record.Line("requests that were passed on and lost: " + std::to_string(lost));
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::_Exit(review::RunCase(review::ReadPaths(argc, argv)));
}
