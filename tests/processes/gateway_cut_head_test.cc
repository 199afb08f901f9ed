#include <criterion/criterion.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

#include "processes/cut_server.h"
#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/// Length of an event of the streams.
constexpr std::size_t kEventBytes = 15;

/// Response of the server as it is when nothing cuts it.
struct WholeResponse {
  const char* name;
  std::string head;  ///< All up to the body, with interim responses.
  std::string body;  ///< As it is sent.
  std::string text;  ///< As callers receive it.
  bool ends_with_connection = false;
};

const std::string kStatusLine = "HTTP/1.1 200 OK\r\nx-server-stamp: s\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const std::string kChunked = "transfer-encoding: chunked\r\n\r\n";
const std::string kText = "hello, world";

std::vector<WholeResponse> PlainResponses() {
  return {{"length", kStatusLine + "content-length: 12\r\n\r\n", kText, kText},
          {"chunks", kStatusLine + kChunked,
           "5;a=b\r\nhello\r\n007\r\n, world\r\n0\r\nx-t: 1\r\n\r\n", kText},
          {"interim response",
           kInterim + "HTTP/1.1 200 OK\r\ncontent-length:12\r\n" +
               "x-server-stamp: s\r\n\r\n",
           kText, kText},
          {"end of connection", kStatusLine + "\r\n", kText, kText, true}};
}

std::vector<WholeResponse> HeadResponses() {
  return {{"HEAD", kStatusLine + "content-length: 12\r\n\r\n", "", ""},
          {"HEAD with chunks", kStatusLine + kChunked, "", ""},
          {"HEAD without length", kStatusLine + "\r\n", "", ""}};
}

std::vector<WholeResponse> StreamResponses() {
  const std::string head = kStatusLine + "content-type: text/event-stream\r\n";
  const std::string first = "id: 0\ndata: a\n\n";
  const std::string second = "id: 1\ndata: b\n\n";
  const std::string events = first + second;
  return {{"stream in chunks", head + kChunked,
           "f\r\n" + first + "\r\nf\r\n" + second + "\r\n0\r\n\r\n", events},
          {"stream with length", head + "content-length: 30\r\n\r\n", events,
           events},
          {"stream to the end of the connection", head + "\r\n", events, events,
           true}};
}

http::HttpRequest MakeRequest(const std::string& method,
                              const std::string& path, const std::string& id) {
  http::HttpRequest request{
      method, path, {{"x-request-id", id}, {"x-deadline-ms", "5000"}}, "", ""};
  request.authority = "h.example";
  return request;
}

/// A gateway whose only server cuts its responses.
class CutFleet {
 public:
  CutFleet() {
    this->fleet.StartAll({"s1"}, {"g1"});
    const std::string address = this->fleet.AddOwnServer("cut");
    this->server = std::make_unique<CutServer>(
        address,
        [this](const std::string& head, int) { return this->Respond(head); });
    cr_assert(Fleet::Await(
        [&] { return this->fleet.ListsServer("g1", "cut", "live"); }));
    this->fleet.Register("s1", "draining");
    cr_assert(Fleet::Await(
        [&] { return this->fleet.ListsServer("g1", "s1", "leaving"); }));
    this->PublishRoutes();
  }

  /// Sends a request whose response is `cut`.
  std::shared_ptr<ResponseRecorder> Request(const std::string& id,
                                            const std::string& method,
                                            const std::string& path,
                                            CutResponse cut) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->cuts[id] = std::move(cut);
    }
    return this->fleet.StartRequest("g1", MakeRequest(method, path, id));
  }

  /// Returns how often the request `id` ran.
  int Runs(const std::string& id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs[id];
  }

  /// Returns an id for a request.
  std::string NextId() { return "r" + std::to_string(++this->requests); }

 private:
  void PublishRoutes() {
    json routes;
    for (const char* type : {"idempotent", "non_idempotent", "streaming"}) {
      routes.push_back({{"name", type},
                        {"host", "h.example"},
                        {"pathPrefix", std::string("/") + type + "/"},
                        {"type", type},
                        {"timeoutMs", 5'000},
                        {"goalMs", 500},
                        {"maxAttempts", 2},
                        {"service", "model"},
                        {"priority", 0}});
    }
    this->fleet.Write("op/config", json{{"version", 2},
                                        {"routeList", std::move(routes)},
                                        {"services", {{{"name", "model"}}}}}
                                       .dump());
    cr_assert(Fleet::Await([&] {
      const auto request = MakeRequest("GET", "/idempotent/a", "first");
      return this->fleet.SendRequest("g1", request).status == kOk;
    }));
  }

  CutResponse Respond(const std::string& head) {
    const std::string id = RawConnection::FieldOf(head, "x-request-id");
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->runs[id];
    const auto found = this->cuts.find(id);
    if (found != this->cuts.end()) return found->second;
    return {kStatusLine + "content-length: 0\r\n\r\n"};
  }

  GatewayFleet fleet;
  std::mutex mutex;
  std::map<std::string, CutResponse> cuts;  ///< By request.
  std::map<std::string, int> runs;          ///< By request.
  int requests = 0;
  std::unique_ptr<CutServer> server;  ///< Last, its thread uses the others.
};

/// One response that is cut, and what the caller receives.
struct Cut {
  WholeResponse whole;
  std::size_t sent = 0;
  CloseKind close = CloseKind::kEnd;
  std::string id;
  std::shared_ptr<ResponseRecorder> received;
};

std::string Describe(const Cut& cut) {
  return std::string(cut.whole.name) + ", " + std::to_string(cut.sent) +
         " of " + std::to_string(cut.whole.head.size()) + " + " +
         std::to_string(cut.whole.body.size()) + " bytes, " +
         NameOf(cut.close) + ": status " +
         std::to_string(cut.received->status()) + ", complete " +
         std::to_string(static_cast<int>(cut.received->complete())) + ", '" +
         cut.received->text() + "'";
}

/// Returns what callers may take for the whole body after `sent` bytes, or
/// nothing if that is none.
std::optional<std::string> CompleteText(const Cut& cut) {
  const WholeResponse& whole = cut.whole;
  if (!whole.ends_with_connection) {
    const bool is_whole = cut.sent == whole.head.size() + whole.body.size();
    return is_whole ? std::optional(whole.text) : std::nullopt;
  }
  if (cut.close == CloseKind::kReset || cut.sent < whole.head.size())
    return std::nullopt;
  return whole.text.substr(0, cut.sent - whole.head.size());
}

/// Requests all of `cuts` at once, and again those that the server has not
/// received: a gateway spares a server that has failed.
void RequestAll(CutFleet& fleet, const std::string& method,
                const std::string& path, std::vector<Cut>& cuts) {
  std::vector<Cut*> pending;
  for (Cut& cut : cuts) pending.push_back(&cut);
  const bool all_arrived = Fleet::Await([&] {
    for (Cut* cut : pending) {
      cut->id = fleet.NextId();
      const std::string bytes = cut->whole.head + cut->whole.body;
      cut->received = fleet.Request(cut->id, method, path,
                                    {bytes.substr(0, cut->sent), cut->close});
    }
    std::vector<Cut*> missing;
    for (Cut* cut : pending) {
      cr_assert(Fleet::Await([&] { return cut->received->finished(); }));
      if (fleet.Runs(cut->id) == 0) missing.push_back(cut);
    }
    pending = missing;
    return pending.empty();
  });
  cr_assert(all_arrived, "%zu", pending.size());
}

/// Cuts each response after each of its bytes, with each kind of close.
void ExpectOfEachCut(CutFleet& fleet, const std::string& method,
                     const std::string& path,
                     const std::vector<WholeResponse>& responses,
                     const std::function<void(const Cut& cut)>& check) {
  for (const WholeResponse& whole : responses) {
    std::vector<Cut> cuts;
    const std::size_t size = whole.head.size() + whole.body.size();
    for (const CloseKind close : kCloseKinds) {
      for (std::size_t sent = 0; sent <= size; ++sent)
        cuts.push_back({whole, sent, close, "", nullptr});
    }
    RequestAll(fleet, method, path, cuts);
    for (const Cut& cut : cuts) {
      cr_expect_eq(fleet.Runs(cut.id), 1, "%s: %d runs", Describe(cut).c_str(),
                   fleet.Runs(cut.id));
      check(cut);
    }
  }
}

/// Expects the whole text, or a failure that promises nothing.
void ExpectWholeOrFailure(const Cut& cut) {
  const ResponseRecorder& received = *cut.received;
  const auto text = CompleteText(cut);
  cr_expect(received.complete(), "%s", Describe(cut).c_str());
  if (text) {
    cr_expect_eq(received.status(), kOk, "%s", Describe(cut).c_str());
    cr_expect_eq(received.text(), *text, "%s", Describe(cut).c_str());
    return;
  }
  const bool is_failure =
      received.status() == kBadGateway || received.status() == kGatewayTimeout;
  cr_expect(is_failure, "%s", Describe(cut).c_str());
}

/// Expects whole events, and a complete stream only if it has all of them.
void ExpectEvents(const Cut& cut) {
  const ResponseRecorder& received = *cut.received;
  const auto text = CompleteText(cut);
  if (received.status() != kOk) {
    cr_expect(!text || text->find("\n\n") == std::string::npos, "%s",
              Describe(cut).c_str());
    cr_expect_eq(received.status(), kBadGateway, "%s", Describe(cut).c_str());
    return;
  }
  const std::string events = received.text();
  const std::size_t begun = events.size() % kEventBytes;
  cr_expect(begun == 0 && cut.whole.text.rfind(events, 0) == 0, "%s",
            Describe(cut).c_str());
  cr_expect_eq(received.complete(), text && *text == events, "%s",
               Describe(cut).c_str());
}

}  // namespace

// Guards against an answer that ends within its head or body and that a caller
// gets as a complete one.
Test(gateway_cut_head, of_a_plain_response_gives_no_success, .timeout = 120) {
  CutFleet fleet;
  ExpectOfEachCut(fleet, "POST", "/idempotent/a", PlainResponses(),
                  ExpectWholeOrFailure);
}

// Guards against a request that runs twice after a part of an answer.
Test(gateway_cut_head, of_a_response_that_may_not_be_repeated_gives_no_success,
     .timeout = 120) {
  CutFleet fleet;
  ExpectOfEachCut(fleet, "POST", "/non_idempotent/a", PlainResponses(),
                  ExpectWholeOrFailure);
}

// Guards against a part of a head that is taken for the response to HEAD.
Test(gateway_cut_head, of_a_response_to_head_gives_no_success, .timeout = 120) {
  CutFleet fleet;
  ExpectOfEachCut(fleet, "HEAD", "/idempotent/a", HeadResponses(),
                  ExpectWholeOrFailure);
  ExpectOfEachCut(fleet, "HEAD", "/streaming/a", HeadResponses(),
                  ExpectWholeOrFailure);
}

// Guards against a stream that looks complete before its last event.
Test(gateway_cut_head, of_a_stream_gives_no_complete_stream, .timeout = 120) {
  CutFleet fleet;
  ExpectOfEachCut(fleet, "POST", "/streaming/a", StreamResponses(),
                  ExpectEvents);
}

}  // namespace banyanlane::processes
