#include <criterion/criterion.h>

#include "processes/cut_responses.h"
#include "processes/process_helpers.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr const char* kIdField = "x-test-id";

const std::string kStatusLine = "HTTP/1.1 200 OK\r\nx-stamp: s\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const std::string kChunked = "transfer-encoding: chunked\r\n\r\n";
const std::string kText = "hello, world";

std::vector<WholeResponse> PlainResponses() {
  return {{"length", kStatusLine + "content-length: 12\r\n\r\n", kText, kText},
          {"chunks", kStatusLine + kChunked,
           "5;a=b\r\nhello\r\n007\r\n, world\r\n0\r\nx-t: 1\r\n\r\n", kText},
          {"interim response",
           kInterim + kStatusLine + "content-length:12\r\n\r\n", kText, kText}};
}

std::vector<WholeResponse> StreamResponses() {
  const std::string head = kStatusLine + "content-type: text/event-stream\r\n";
  const std::string events =
      "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n";
  return {
      {"stream in chunks", head + kChunked,
       "10\r\n" + events.substr(0, 16) + "\r\n1C\r\n" + events.substr(16) +
           "\r\n0\r\n\r\n",
       events},
      {"stream with length",
       head + "content-length: " + std::to_string(events.size()) + "\r\n\r\n",
       events, events}};
}

/// An entry and an agent whose endpoint cuts its responses.
class CutFleet {
 public:
  /// @param service service of the endpoint in the configuration.
  explicit CutFleet(const std::string& service) {
    this->fleet.StartPlatform(kConfig);
    this->fleet.AddEndpoint("c1", "none", service);
    this->server = std::make_unique<CutServer>(
        this->fleet.Address("standin-c1"),
        [this](const std::string& head, int) { return this->Respond(head); });
    this->fleet.AddEntry("e1");
    this->fleet.PublishInstances();
    this->fleet.AwaitEndpoints("e1", 1);
  }

  /// Requests all cuts of a response.
  /// @param make_request returns the request.
  std::vector<Cut> RequestCutsOf(
      const WholeResponse& whole,
      const std::function<http::HttpRequest()>& make_request) {
    std::vector<Cut> cuts = AllCutsOf(whole);
    const auto send = [&](const std::string& id) {
      http::HttpRequest request = make_request();
      request.headers.emplace_back(kIdField, id);
      return this->fleet.StartRequest("e1", std::move(request));
    };
    RequestAll(this->plan, send, cuts);
    return cuts;
  }

  /// Returns how often the request of `cut` ran.
  int Runs(const Cut& cut) { return this->plan.Runs(cut.id); }

  Fleet fleet;

 private:
  CutResponse Respond(const std::string& head) {
    const std::string id = RawConnection::FieldOf(head, kIdField);
    return this->plan.Take(id).value_or(
        CutResponse{"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n"
                    R"({"boot":"b"})"});
  }

  CutPlan plan;
  std::unique_ptr<CutServer> server;  ///< Last, its thread uses the others.
};

/// Expects the whole text, or a failure that says that the work may have run.
void ExpectWholeOrFailure(const Cut& cut) {
  const ResponseRecorder& received = *cut.received;
  const auto text = CompleteText(cut);
  cr_expect(received.complete(), "%s", Describe(cut).c_str());
  if (text) {
    cr_expect_eq(received.status(), kOk, "%s", Describe(cut).c_str());
    cr_expect_eq(received.text(), *text, "%s", Describe(cut).c_str());
    return;
  }
  cr_expect_eq(received.status(), kBadGateway, "%s", Describe(cut).c_str());
  cr_expect_eq(
      ParseProblem({received.status(), {}, received.text()})["outcome"],
      "unknown", "%s", Describe(cut).c_str());
}

/// Expects a complete stream only if it has all events.
void ExpectEvents(const Cut& cut) {
  const ResponseRecorder& received = *cut.received;
  if (received.status() != kOk || CompleteText(cut)) {
    ExpectWholeOrFailure(cut);
    return;
  }
  cr_expect_not(received.complete(), "%s", Describe(cut).c_str());
}

http::HttpRequest LookupRequest(const std::string& method) {
  return {method, "/tabs/a", {{"banyanlane-organisation", "org"}}, "", ""};
}

}  // namespace

// Guards against an answer that ends within its head or body and that a caller
// gets as a complete one.
Test(agent_cut_head, of_a_plain_response_gives_no_success, .timeout = 120) {
  CutFleet fleet("tabs");
  for (const WholeResponse& whole : PlainResponses()) {
    for (const Cut& cut :
         fleet.RequestCutsOf(whole, [] { return LookupRequest("POST"); }))
      ExpectWholeOrFailure(cut);
  }
}

// Guards against a part of a head that is taken for the response to HEAD.
Test(agent_cut_head, of_a_response_to_head_gives_no_success, .timeout = 120) {
  CutFleet fleet("tabs");
  const WholeResponse whole = {
      "HEAD", kStatusLine + "content-length: 12\r\n\r\n", "", ""};
  for (const Cut& cut :
       fleet.RequestCutsOf(whole, [] { return LookupRequest("HEAD"); })) {
    const bool is_whole = CompleteText(cut).has_value();
    cr_expect_eq(cut.received->status(), is_whole ? kOk : kBadGateway, "%s",
                 Describe(cut).c_str());
  }
}

// Guards against a complete response without body that is given as cut.
Test(agent_cut_head, of_a_response_without_body_gives_no_success,
     .timeout = 120) {
  constexpr int kNoContent = 204;
  CutFleet fleet("tabs");
  const WholeResponse whole = {
      "no content", "HTTP/1.1 204 No Content\r\nx-stamp: s\r\n\r\n", "", ""};
  for (const Cut& cut :
       fleet.RequestCutsOf(whole, [] { return LookupRequest("POST"); })) {
    const bool is_whole = CompleteText(cut).has_value();
    cr_expect_eq(cut.received->status(), is_whole ? kNoContent : kBadGateway,
                 "%s", Describe(cut).c_str());
  }
}

// Guards against a request that runs twice after a part of an answer.
Test(agent_cut_head, of_a_response_that_may_not_be_repeated_gives_no_success,
     .timeout = 120) {
  CutFleet fleet("tabs");
  for (const WholeResponse& whole : PlainResponses()) {
    const auto make_request = [&fleet] {
      return Fleet::CloseRequest(IssueKey(fleet.fleet, "e1"), "");
    };
    for (const Cut& cut : fleet.RequestCutsOf(whole, make_request)) {
      cr_expect_eq(fleet.Runs(cut), 1, "%s: %d runs", Describe(cut).c_str(),
                   fleet.Runs(cut));
      ExpectWholeOrFailure(cut);
    }
  }
}

// Guards against a stream that looks complete before its last event.
Test(agent_cut_head, of_a_stream_gives_no_complete_stream, .timeout = 120) {
  CutFleet fleet("model");
  for (const WholeResponse& whole : StreamResponses()) {
    for (const Cut& cut : fleet.RequestCutsOf(
             whole, [] { return Fleet::ChatRequest("a", 4, true); }))
      ExpectEvents(cut);
  }
}

}  // namespace banyanlane::processes
