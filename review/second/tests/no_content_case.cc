// A caller's connection is reset after the last event of a stream. It resumes
// the stream, the server has nothing left to send and says so, and the caller
// sends its next request on the same connection.

#include <poll.h>

#include <atomic>
#include <memory>

#include "harness.h"

namespace review {
namespace {

constexpr int kEvents = 5;
constexpr int kDeadlineMillis = 4'000;
/// Time from the last event to the end of the answer.
constexpr int kEndDelayMillis = 400;

std::atomic<int> payments{0};

void ServeStream(Server& server, Connection& connection,
                 const Message& request) {
  const int last = std::atoi(request.Header("last-event-id").c_str());
  Record::Line(server.id() + " runs " + request.Header("x-request-id") +
               " after event " + std::to_string(last));
  if (last >= kEvents) {
    connection.Send("HTTP/1.1 204 No Content\r\n" +
                    server.AnswerFields(request) + "\r\n");
    return;
  }
  connection.Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n" +
      server.AnswerFields(request) + "\r\n");
  for (int i = last + 1; i <= kEvents; ++i) {
    const std::string event = "id: " + std::to_string(i) + "\ndata: part" +
                              std::to_string(i) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!connection.Send(size + event + "\r\n")) return;
    SleepMillis(20);
  }
  SleepMillis(kEndDelayMillis);
  connection.Send("0\r\n\r\n");
}

void Serve(Server& server, Connection& connection, const Message& request) {
  if (request.Word(1).compare(0, 8, "/letter/") == 0)
    return ServeStream(server, connection, request);
  ++payments;
  Record::Line(server.id() + " runs " + request.Header("x-request-id"));
  server.Answer(connection, request, 200, "paid");
}

/// Forwards bytes both ways until `reset` is set, and then resets both
/// connections.
void Relay(Connection& caller, int port, const std::atomic<bool>& reset) {
  const int socket = Connection::Connect(port);
  if (socket < 0) return;
  Connection gateway(socket);
  while (!reset) {
    const std::string request = caller.ReadSome(65'536, 5);
    if (!request.empty()) gateway.Send(request);
    const std::string answer = gateway.ReadSome(65'536, 5);
    if (!answer.empty()) caller.Send(answer);
    if (caller.IsClosedByPeer() || gateway.IsClosedByPeer()) return;
  }
  caller.Reset();
  gateway.Reset();
}

/// Reads the events of a stream until its end, or until the connection ends.
/// @return the id of the last event.
int ReadEvents(Connection& connection, bool& is_complete) {
  int last = 0;
  is_complete = false;
  while (true) {
    const std::string line = connection.ReadLine(kDeadlineMillis);
    if (line.empty()) return last;
    const std::size_t size = std::stoul(line, nullptr, 16);
    std::string chunk;
    if (!connection.ReadExactly(size + 2, chunk, kDeadlineMillis)) return last;
    if (size == 0) {
      is_complete = true;
      return last;
    }
    const auto at = chunk.rfind("id: ");
    if (at != std::string::npos) last = std::atoi(chunk.c_str() + at + 4);
  }
}

void Run() {
  Store store;
  store.Put("op/config",
            Configuration(
                1,
                {{"letter", "/letter/", "streaming", "model", 8'000, 2, true},
                 {"pay", "/pay/", "non_idempotent", "model"}},
                {"model"}));
  std::vector<std::unique_ptr<Server>> servers;
  for (const char* id : {"i-1", "i-2"})
    servers.push_back(std::make_unique<Server>(store, id, "model", Serve));
  const int link = FreePort();
  Gateway gateway("edge-1", store.port(), link, {link});
  if (!gateway.AwaitReady()) Finish(2);

  std::atomic<bool> reset{false};
  Listener relay(
      0, [&](Connection& caller) { Relay(caller, gateway.front(), reset); });
  auto connection =
      std::make_unique<Connection>(Connection::Connect(relay.port()));
  Message answer;
  connection->Send(Request("POST", "/letter/1", "letter-1", kDeadlineMillis));
  if (!connection->ReadHead(answer, kDeadlineMillis)) Finish(2);
  Record::Line("caller: letter-1 " + answer.first_line);
  std::thread trouble([&] {
    if (!HasTrouble()) return;
    SleepMillis(20 * kEvents + kEndDelayMillis / 2);
    Record::Line("connections of the caller are reset");
    reset = true;
  });
  bool is_complete = false;
  const int last = ReadEvents(*connection, is_complete);
  trouble.join();
  Record::Line("caller: letter-1 got events up to " + std::to_string(last) +
               (is_complete ? ", complete" : ", connection broken"));
  if (!is_complete) {
    connection =
        std::make_unique<Connection>(Connection::Connect(gateway.front()));
    connection->Send(
        Request("POST", "/letter/1", "letter-2", kDeadlineMillis,
                "Last-Event-Id: " + std::to_string(last) + "\r\n"));
    if (!connection->ReadHead(answer, kDeadlineMillis)) Finish(2);
    Record::Line("caller: letter-2 " + answer.first_line);
    for (const auto& [name, value] : answer.headers)
      Record::Line("caller:   " + name + ": " + value);
    // An answer with status 204 ends with its header.
    if (answer.Word(1) == "200") ReadEvents(*connection, is_complete);
  }
  connection->Send(Request("POST", "/pay/1", "pay-1", kDeadlineMillis));
  const std::string line = connection->ReadLine(kDeadlineMillis);
  Record::Line("caller: the answer to pay-1 begins with '" +
               line.substr(0, line.find_first_of("\r\n")) + "'");
  SleepMillis(200);
  Record::Line("pay-1 has run " + std::to_string(payments) + " times");
  const bool is_broken = line.compare(0, 9, "HTTP/1.1 ") != 0;
  Record::Line(is_broken ? "MIXED broken: bytes that are no answer"
                         : "the rule held");
  Finish(is_broken ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  review::Record::Open(argv[1]);
  review::Run();
}
