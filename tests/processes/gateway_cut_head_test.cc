#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "processes/cut_responses.h"
#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/// Length of an event of the streams.
constexpr std::size_t kEventBytes = 15;

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

  /// Requests all cuts of a response.
  std::vector<Cut> RequestCutsOf(const WholeResponse& whole,
                                 const std::string& method,
                                 const std::string& path) {
    std::vector<Cut> cuts = AllCutsOf(whole);
    const auto send = [&](const std::string& id) {
      return this->fleet.StartRequest("g1", MakeRequest(method, path, id));
    };
    RequestAll(this->plan, send, cuts);
    return cuts;
  }

  /// Returns how often the request of `cut` ran.
  int Runs(const Cut& cut) { return this->plan.Runs(cut.id); }

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
    return this->plan.Take(id).value_or(
        CutResponse{kStatusLine + "content-length: 0\r\n\r\n"});
  }

  GatewayFleet fleet;
  CutPlan plan;
  std::unique_ptr<CutServer> server;  ///< Last, its thread uses the others.
};

/// Cuts each response after each of its bytes, with each kind of close.
void ExpectOfEachCut(CutFleet& fleet, const std::string& method,
                     const std::string& path,
                     const std::vector<WholeResponse>& responses,
                     const std::function<void(const Cut& cut)>& check) {
  for (const WholeResponse& whole : responses) {
    for (const Cut& cut : fleet.RequestCutsOf(whole, method, path)) {
      cr_expect_eq(fleet.Runs(cut), 1, "%s: %d runs", Describe(cut).c_str(),
                   fleet.Runs(cut));
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
