// Just after a change of settings, a server preempts the newest of its streams
// and is silent on it for a while. The other server has no memory left for new
// work, and other requests wait.

#include <signal.h>

#include <atomic>
#include <memory>

#include "harness.h"

namespace review {
namespace {

constexpr int kDeadlineMillis = 30'000;
constexpr int kEventPauseMillis = 100;
/// Places that a gateway has at a server with 12 slots: a fifth more than that.
constexpr int kPlaces = 15;
constexpr int kFirstStreams = 3;
/// Events of the streams that fill the servers, and of the one that is watched.
constexpr int kLongEvents = 220;
constexpr int kEvents = 30;
/// Event after which the stream is preempted, and for how long.
constexpr int kPreemptedAfter = 5;
constexpr int kPreemptedMillis = 2'500;
constexpr int kNewRequestPauseMillis = 500;
/// Callers leave a stream after a gap of four times its objective.
constexpr int kGoalMillis = 1'000;
constexpr int kPatienceMillis = 4 * kGoalMillis;

const std::string kWatched = "watched";
std::atomic<bool> is_full{false};

std::string Event(int number) {
  const std::string event = "id: " + std::to_string(number) + "\ndata: part" +
                            std::to_string(number) + "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

/// @param has_memory whether the server takes new work once the other is full.
Server::Handler Serve(bool has_memory) {
  return [has_memory](Server& server, Connection& connection,
                      const Message& request) {
    const std::string id = request.Header("x-request-id");
    const bool is_watched = id == kWatched;
    if (is_full && !has_memory) {
      Record::Line(server.id() + " has no memory for " + id);
      connection.Send("HTTP/1.1 503 Full\r\nX-Request-Id: " + id +
                      "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    const int last = std::atoi(request.Header("last-event-id").c_str());
    Record::Line(server.id() + " runs " + id + " after event " +
                 std::to_string(last));
    connection.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n" +
        server.AnswerFields(request) + "\r\n");
    const int events = is_watched ? kEvents : kLongEvents;
    for (int i = last + 1; i <= events; ++i) {
      if (!connection.Send(Event(i)) || connection.IsClosedByPeer()) {
        Record::Line(server.id() + ": the connection of " + id +
                     " is closed after event " + std::to_string(i));
        return;
      }
      SleepMillis(kEventPauseMillis);
      if (HasTrouble() && is_watched && i == kPreemptedAfter && last == 0) {
        Record::Line(server.id() + " preempts " + id);
        for (int waited = 0; waited < kPreemptedMillis; waited += 20) {
          if (connection.IsClosedByPeer()) {
            Record::Line(server.id() + ": the connection of " + id +
                         " is closed while it is preempted");
            return;
          }
          SleepMillis(20);
        }
        Record::Line(server.id() + " goes on with " + id);
      }
    }
    connection.Send("0\r\n\r\n");
  };
}

struct Result {
  int status = 0;
  int last_event = 0;
  bool is_complete = false;
  bool caller_left = false;
};

Result CallStream(const Gateway& gateway, const std::string& id) {
  Result result;
  Connection connection(Connection::Connect(gateway.front()));
  connection.Send(Request("POST", "/note/" + id, id, kDeadlineMillis));
  Message answer;
  if (!connection.ReadHead(answer, kDeadlineMillis)) return result;
  result.status = std::atoi(answer.Word(1).c_str());
  if (result.status != 200) return result;
  while (true) {
    const double waits_since = Elapsed();
    const std::string line = connection.ReadLine(kPatienceMillis);
    if (line.empty()) {
      result.caller_left = Elapsed() - waits_since >= kPatienceMillis / 1'000.0;
      return result;
    }
    const std::size_t size = std::stoul(line, nullptr, 16);
    std::string chunk;
    if (!connection.ReadExactly(size + 2, chunk, kPatienceMillis))
      return result;
    if (size == 0) {
      result.is_complete = true;
      return result;
    }
    const auto at = chunk.rfind("id: ");
    if (at != std::string::npos)
      result.last_event = std::atoi(chunk.c_str() + at + 4);
  }
}

void Run() {
  Store store;
  std::string configuration = Configuration(
      1, {{"note", "/note/", "streaming", "model", 40'000, 3, true}},
      {"model"});
  configuration.replace(configuration.find("\"goalMs\":500"), 12,
                        "\"goalMs\":" + std::to_string(kGoalMillis));
  store.Put("op/config", configuration);
  Server full(store, "i-full", "model", Serve(false));
  const int link = FreePort();
  Gateway gateway("edge-1", store.port(), link, {link});
  if (!gateway.AwaitReady()) Finish(2);

  std::vector<std::thread> callers;
  const auto start = [&](const std::string& id) {
    callers.emplace_back([&gateway, id] {
      const Result result = CallStream(gateway, id);
      Record::Line("caller: " + id + " ends with status " +
                   std::to_string(result.status));
    });
  };
  for (int i = 0; i < kFirstStreams; ++i) start("first-" + std::to_string(i));
  // The allowance for retries grows over the first ten seconds.
  SleepMillis(6'000);
  is_full = true;
  Server sound(store, "i-sound", "model", Serve(true));
  SleepMillis(300);
  for (int i = 0; i + 2 < kPlaces; ++i) {
    start("long-" + std::to_string(i));
    SleepMillis(60);
  }
  SleepMillis(500);
  Record::Line("SIGHUP to the gateway");
  const double reloaded_at = Elapsed();
  gateway.Signal(SIGHUP);
  SleepMillis(500);
  // The gateway sends nothing to a server for 200 ms after a refusal, so that
  // the watched stream begins at the sound one.
  start("long-last");
  SleepMillis(60);
  const double sent_at = Elapsed();
  Result watched;
  std::atomic<bool> is_over{false};
  std::thread caller([&] {
    watched = CallStream(gateway, kWatched);
    is_over = true;
  });
  for (int i = 0; !is_over; ++i) {
    SleepMillis(kNewRequestPauseMillis);
    if (!is_over) start("new-" + std::to_string(i));
  }
  caller.join();
  Record::Line("caller: " + kWatched + ", sent " +
               std::to_string(sent_at - reloaded_at) +
               " s after SIGHUP, got status " + std::to_string(watched.status) +
               ", events up to " + std::to_string(watched.last_event) + " of " +
               std::to_string(kEvents) + ", " +
               (watched.is_complete   ? "complete"
                : watched.caller_left ? "left by the caller"
                                      : "connection closed"));
  const bool is_lost =
      watched.status == 200 && !watched.is_complete && !watched.caller_left;
  Record::Line(is_lost ? "LOST broken" : "the rule held");
  Record::Close();
  Finish(watched.status != 200 ? 2 : is_lost ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  review::Record::Open(argv[1]);
  review::Run();
}
