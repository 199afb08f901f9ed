// A gateway is stopped as planned. A client that could not obtain other
// addresses sends a request on its open connection.

#include <csignal>

#include "harness.h"

namespace review {
namespace {

constexpr int kDeadlineMillis = 8'000;
/// A stream of 30 events with pauses of 200 ms lasts 6 s.
constexpr char kEarlyWork[] = "30*200";
/// A stream of 20 events with pauses of 200 ms lasts 4 s.
constexpr char kLateWork[] = "20*200";
/// Time from SIGTERM to the late request. The rule excuses the end of requests
/// that were sent up to 3 s after it.
constexpr double kLateRequestSeconds = 4.0;
constexpr double kGraceSeconds = 8;

std::string Resolve(const Gateway& gateway) {
  const Response response =
      Fetch(gateway.Directory(),
            {"GET",
             "/banyanlane/resolve?name=h.example&region=region-a&zone=zone-a",
             {{"host", "r"}},
             ""});
  return std::to_string(response.status) + " " + response.body;
}

int RunCase(const Paths& paths) {
  Record record(paths.record);
  Store store;
  RunLog runs;
  const std::vector<Route> routes = {
      {"r-stream", "/stream/", "streaming", "model", kDeadlineMillis, 2, true}};
  store.Put("op/config", ConfigText(7, routes));
  Server model("i-model", "model", store, runs);
  Gateway gateway(paths.root, paths.folder, "edge-a-1", store.Address(), {});
  gateway.Start();
  if (!gateway.AwaitReady(20)) {
    record.Line("the gateway did not become ready");
    return kCouldNotRun;
  }
  record.Line("the gateway is ready; resolve: " + Resolve(gateway));

  // The client keeps this connection open.
  const auto kept = Connection::Open(gateway.Frontend());
  if (!kept) return kCouldNotRun;
  const Response first = Exchange(
      *kept,
      MakeRequest("POST", "/stream/a", "first", kDeadlineMillis, "2*20"));
  record.Line("first: status " + std::to_string(first.status) +
              (first.complete ? ", complete answer" : ", cut"));
  if (!first.complete) return kCouldNotRun;

  Response early;
  std::thread early_client([&] {
    early = Fetch(gateway.Frontend(), MakeRequest("POST", "/stream/a", "early",
                                                  kDeadlineMillis, kEarlyWork));
  });
  const double stop_at = Seconds() + 0.5;
  SleepUntil(stop_at);
  if (HasTrouble()) {
    gateway.Signal(SIGTERM);
    record.Line("SIGTERM to the gateway");
  }
  for (int second = 1; second < kLateRequestSeconds; ++second) {
    SleepUntil(stop_at + second);
    record.Line("resolve: " + Resolve(gateway));
  }
  SleepUntil(stop_at + kLateRequestSeconds);
  const double late_sent_at = Seconds();
  record.Line("sent late on the connection that was kept");
  const Response late = Exchange(
      *kept,
      MakeRequest("POST", "/stream/a", "late", kDeadlineMillis, kLateWork));
  const auto late_runs = runs.Of("late");
  record.Line("late: reached a server " + std::to_string(late_runs.size()) +
              " time(s); status " + std::to_string(late.status) +
              (late.complete ? ", complete answer"
                             : ", connection ended without a complete answer") +
              " " + std::to_string(late.ended_at - late_sent_at) +
              " s after it was sent, " +
              std::to_string(late.ended_at - stop_at) + " s after SIGTERM");
  early_client.join();
  record.Line(std::string("early: ") +
              (early.complete ? "complete answer" : "cut") + " " +
              std::to_string(early.ended_at - stop_at) + " s after SIGTERM");
  // Requests that end more than 1 s after the grace period do not count.
  const bool is_lost = !late_runs.empty() && !late.complete &&
                       late.ended_at - stop_at < kGraceSeconds + 1;
  record.Line(is_lost ? "a request was passed on and lost" : "no request lost");
  return is_lost ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::_Exit(review::RunCase(review::ReadPaths(argc, argv)));
}
