// A client that keeps its connection open asks with HEAD, and then with GET.

#include "harness.h"

namespace review {
namespace {

constexpr int kDeadlineMillis = 2'000;
constexpr int kRounds = 5;

std::string Format(const Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers)
    text += name + ": " + value + "\r\n";
  return text + "\r\n";
}

/// Sends a request without a body, and reads the response as HTTP requires: a
/// response to HEAD ends with its header.
/// @return the first line of the response, or "" if the connection ended.
std::string Ask(Connection& connection, const Request& request) {
  std::string first_line;
  Headers headers;
  if (!connection.Write(Format(request)) ||
      !connection.ReadHead(first_line, headers))
    return "";
  const auto length = headers.find("content-length");
  if (request.method != "HEAD" && length != headers.end())
    connection.ReadBytes(std::stoul(length->second));
  return first_line;
}

int RunCase(const Paths& paths) {
  Record record(paths.record);
  Store store;
  RunLog runs;
  store.Put("op/config", ConfigText(7, {{"r-lookup", "/lookup/", "idempotent",
                                         "desk", kDeadlineMillis, 2, false}}));
  Server first_desk("i-desk-1", "desk", store, runs);
  Server second_desk("i-desk-2", "desk", store, runs);
  Gateway gateway(paths.root, paths.folder, "edge-a-1", store.Address(), {});
  gateway.Start();
  if (!gateway.AwaitReady(20)) {
    record.Line("the gateway did not become ready");
    return kCouldNotRun;
  }
  record.Line("the gateway is ready");
  const std::string method = HasTrouble() ? "HEAD" : "GET";
  int broken = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto connection = Connection::Open(gateway.Frontend());
    if (!connection) return kCouldNotRun;
    for (const std::string& asked : {method, std::string("GET")}) {
      const std::string id = "lookup-" + std::to_string(round) + "-" +
                             (asked == "HEAD" ? "head" : "get");
      const std::string line =
          Ask(*connection,
              MakeRequest(asked, "/lookup/a", id, kDeadlineMillis, "5"));
      record.Line(
          asked + " " + id + ": runs " + std::to_string(runs.Of(id).size()) +
          "; answer: " + (line.empty() ? "none, connection closed" : line));
      const bool is_answer = line.empty() || line.rfind("HTTP/1.1 ", 0) == 0;
      if (!is_answer) ++broken;
    }
  }
  record.Line("answers that are no answer in the protocol: " +
              std::to_string(broken));
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::_Exit(review::RunCase(review::ReadPaths(argc, argv)));
}
