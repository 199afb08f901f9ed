// The operator withdraws a key. Later the store turns the gateway away for some
// seconds, and the gateway's process is killed and started again meanwhile.

#include <signal.h>

#include <atomic>
#include <memory>

#include "harness.h"

namespace review {
namespace {

constexpr double kContactSeconds = 3.0;  ///< contactMs
constexpr double kConfigSeconds = 2.0;   ///< configMs
constexpr double kOuterSeconds = 5.0;    ///< outerMs
constexpr int kDeadlineMillis = 1'000;
constexpr int kRequestPauseMillis = 100;

constexpr double kWithdrawAt = 66.0;
constexpr double kTurnAwayAt = 76.0;
constexpr double kTurnAwayFor = 9.0;
constexpr double kKillAt = 76.5;
constexpr double kStartAt = 76.8;
constexpr double kEndAt = 87.0;

std::atomic<int> runs{0};

void SleepUntil(double time) {
  while (Elapsed() < time) SleepMillis(2);
}

void Serve(Server& server, Connection& connection, const Message& request) {
  ++runs;
  Record::Line(server.id() + " runs " + request.Header("x-request-id") +
               " for tenant " + request.Header("x-tenant"));
  server.Answer(connection, request, 200, "balance");
}

/// Sends a request with the withdrawn key.
/// @return the status, or 0 without an answer.
int CallWithKey(const Gateway& gateway, int number) {
  const int socket = Connection::Connect(gateway.front());
  if (socket < 0) return 0;
  Connection connection(socket);
  Message answer;
  connection.Send(Request("GET", "/view/1", "view-" + std::to_string(number),
                          kDeadlineMillis,
                          "Authorization: Bearer withdrawn\r\n"
                          "Connection: close\r\n"));
  if (!connection.ReadHead(answer, kDeadlineMillis)) return 0;
  return std::atoi(answer.Word(1).c_str());
}

void Run() {
  const std::vector<Route> routes = {
      {"view", "/view/", "idempotent", "core", 1'000, 2}};
  Store store;
  store.Put("op/config",
            Configuration(1, routes, {"core"}, {"kept", "withdrawn"}));
  Server server(store, "i-1", "core", Serve);
  const int link = FreePort();
  Gateway gateway("edge-1", store.AddPort(), link, {link});
  if (!gateway.AwaitReady()) Finish(2);
  Server engine(store, "i-2", "core", Serve);
  const RankAgent rank("side-1", store.port(), engine, {link});

  int status = 0;
  Record::Line("the key is valid: status " +
               std::to_string(CallWithKey(gateway, 0)));
  SleepUntil(kWithdrawAt);
  store.Put("op/config", Configuration(2, routes, {"core"}, {"kept"}));
  const double withdrawn_at = Elapsed();
  Record::Line("the store acknowledges version 2, without the key");
  SleepUntil(withdrawn_at + kConfigSeconds);
  status = CallWithKey(gateway, 1);
  Record::Line("the key is withdrawn: status " + std::to_string(status));
  if (status != 401) Finish(2);
  SleepUntil(kTurnAwayAt);
  if (HasTrouble()) {
    Record::Line("the store answers the gateway 503");
    store.TurnAway(true);
    SleepUntil(kKillAt);
    gateway.Signal(SIGKILL);
    gateway.AwaitExit(1'000);
    Record::Line("the gateway is killed");
    SleepUntil(kStartAt);
    gateway.Start();
  }
  const double started_at = Elapsed();
  Record::Line("the gateway runs");
  int late_runs = 0;
  int last_status = -1;
  for (int i = 2; Elapsed() < kEndAt; ++i) {
    if (Elapsed() > kTurnAwayAt + kTurnAwayFor) store.TurnAway(false);
    const double sent_at = Elapsed();
    const int runs_before = runs;
    status = CallWithKey(gateway, i);
    if (status != last_status)
      Record::Line("caller: view-" + std::to_string(i) + " got status " +
                   std::to_string(status));
    last_status = status;
    const bool is_counted =
        sent_at > withdrawn_at + kConfigSeconds + kOuterSeconds &&
        sent_at > started_at + kContactSeconds;
    if (is_counted && runs > runs_before) ++late_runs;
    SleepMillis(kRequestPauseMillis);
  }
  Record::Line("requests with the withdrawn key that ran: " +
               std::to_string(late_runs));
  Record::Line(late_runs > 0 ? "CONFIG broken" : "the rule held");
  Finish(late_runs > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  review::Record::Open(argv[1]);
  review::Run();
}
