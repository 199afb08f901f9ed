// A server leaves without reporting it: its entry is removed, and it goes on
// serving for a while. The store then comes back from a copy that still has the
// entry.

#include <atomic>
#include <memory>

#include "harness.h"

namespace review {
namespace {

constexpr double kDrainSeconds = 2.0;    ///< drainMs
constexpr double kContactSeconds = 3.0;  ///< contactMs
constexpr int kHeartbeatMillis = 1'200;  ///< heartbeatMs
/// Heartbeat intervals of silence after which the store removes an entry.
constexpr int kSilentHeartbeats = 3;
constexpr int kDeadlineMillis = 1'000;
constexpr int kRequestPauseMillis = 20;

constexpr double kCopyAt = 4.0;
constexpr double kLeaveAt = 4.5;
constexpr double kAwayAt = 7.0;
constexpr double kBackAt = 7.6;
/// The leaving server serves for this long after its entry was removed.
constexpr double kServesFor = 12.0;
constexpr double kEndAt = 15.0;

const std::string kLeaving = "i-leaving";
std::atomic<double> removed_at{0};
std::atomic<double> back_at{0};
std::atomic<int> late_arrivals{0};
std::atomic<int> excused_arrivals{0};

void SleepUntil(double time) {
  while (Elapsed() < time) SleepMillis(2);
}

void Serve(Server& server, Connection& connection, const Message& request) {
  const double now = Elapsed();
  if (server.id() == kLeaving && removed_at > 0) {
    // Callers write the time of sending to the path.
    const std::string path = request.Word(1);
    const double sent_at = std::atof(path.substr(path.rfind('/') + 1).c_str());
    const bool is_late = sent_at > removed_at + kDrainSeconds;
    // With the drill, the gateway is in touch again contactMs after it.
    const bool is_in_touch =
        back_at == 0 ? sent_at < kAwayAt : sent_at > back_at + kContactSeconds;
    if (is_late) {
      ++(is_in_touch ? late_arrivals : excused_arrivals);
      Record::Line(server.id() + " gets " + request.Header("x-request-id") +
                   ", sent " + std::to_string(sent_at - removed_at) +
                   " s after the removal of its entry was acknowledged" +
                   (is_in_touch ? "" : " (not in touch)"));
    }
  }
  if (now - removed_at > kServesFor && removed_at > 0 &&
      server.id() == kLeaving)
    return connection.Reset();
  SleepMillis(10);
  server.Answer(connection, request, 200, "balance");
}

void Call(const Gateway& gateway, int number, std::map<int, int>& answers,
          std::mutex& mutex) {
  Connection connection(Connection::Connect(gateway.front()));
  Message answer;
  connection.Send(Request("GET", "/view/" + std::to_string(Elapsed()),
                          "view-" + std::to_string(number), kDeadlineMillis,
                          "Connection: close\r\n"));
  const bool answered = connection.ReadHead(answer, 2 * kDeadlineMillis);
  const std::lock_guard<std::mutex> lock(mutex);
  ++answers[answered ? std::atoi(answer.Word(1).c_str()) : 0];
}

void Run() {
  Store store;
  const std::string configuration = Configuration(
      1, {{"view", "/view/", "idempotent", "core", 1'000, 2}}, {"core"});
  store.Put("op/config", configuration);
  std::vector<std::unique_ptr<Server>> servers;
  for (const std::string& id :
       {std::string("i-1"), std::string("i-2"), kLeaving})
    servers.push_back(std::make_unique<Server>(store, id, "core", Serve));
  const std::vector<int> links = {FreePort(), FreePort()};
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const int link : links) {
    gateways.push_back(
        std::make_unique<Gateway>("edge-" + std::to_string(gateways.size() + 1),
                                  store.port(), link, links));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady()) Finish(2);
  }

  std::map<int, int> answers;
  std::mutex mutex;
  std::atomic<int> calls{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      while (Elapsed() < kEndAt) {
        Call(*gateways[static_cast<std::size_t>(i % 2)], ++calls, answers,
             mutex);
        SleepMillis(kRequestPauseMillis);
      }
    });
  }

  SleepUntil(kCopyAt);
  store.TakeCopy();
  SleepUntil(kLeaveAt);
  servers.back()->Unregister();
  removed_at = Elapsed();
  Record::Line("the store acknowledges the removal of " + kLeaving);
  if (HasTrouble()) {
    SleepUntil(kAwayAt);
    store.GoAway();
    Record::Line("the store is away");
    SleepUntil(kBackAt);
    store.Restore();
    back_at = Elapsed();
    Record::Line("the store is back from a copy that is " +
                 std::to_string(back_at - kCopyAt) + " s old");
    // What the operator and the servers wrote is written again.
    store.Put("op/config", configuration);
    for (const auto& server : servers) {
      if (server->id() == kLeaving) continue;
      SleepMillis(kHeartbeatMillis / 3);
      server->Register("ready");
    }
    SleepUntil(back_at + kSilentHeartbeats * kHeartbeatMillis / 1'000.0);
    store.Remove("servers/" + kLeaving);
    Record::Line("the store removes the entry of " + kLeaving +
                 " after its silence");
  }
  for (std::thread& caller : callers) caller.join();
  for (const auto& [status, count] : answers)
    Record::Line("answers with status " + std::to_string(status) + ": " +
                 std::to_string(count));
  Record::Line("requests that reached it later than drainMs: " +
               std::to_string(late_arrivals) + ", and " +
               std::to_string(excused_arrivals) +
               " of a gateway that was not in touch");
  Record::Line(late_arrivals > 0 ? "DRAIN broken" : "the rule held");
  Finish(late_arrivals > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  review::Record::Open(argv[1]);
  review::Run();
}
