#include <criterion/criterion.h>
#include <poll.h>

#include <algorithm>
#include <memory>

#include "http/tests/raw_caller.h"
#include "processes/client_crowd.h"
#include "processes/gateway_fleet.h"
#include "processes/process_helpers.h"
#include "processes/process_usage.h"
#include "processes/raw_server.h"

namespace banyanlane::processes {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
/// Limits of the processes under test, which are lower than those of the
/// machines of a deployment.
constexpr std::size_t kMemory = 64 * kMegabyte;
constexpr std::size_t kDescriptors = 400;
constexpr const char* kSettings = "[http]\nmemory_mb=64\ndescriptors=400\n";
/// Configuration with limits on callers as in deployments, and time to read a
/// request and to answer it that no test reaches.
constexpr const char* kGatewayConfig = R"({"version":1,"routeList":[
    {"name":"stream","host":"h.example","pathPrefix":"/stream/",
     "type":"streaming","service":"model","timeoutMs":60000},
    {"name":"plain","host":"h.example","pathPrefix":"/plain/",
     "type":"idempotent","service":"model","timeoutMs":60000}],
    "services":[{"name":"model"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
              "headerTimeoutMs":60000,"idleTimeoutMs":60000}})";
constexpr int kServerSlots = 400;
constexpr std::size_t kLargestBody = 4 * kMegabyte;
constexpr std::size_t kEventBytes = std::size_t{16} * 1024;
constexpr int kEvents = 512;
/// More requests than a gateway keeps evidence for.
constexpr int kLongIds = 9'000;
constexpr std::size_t kLongIdBytes = 15'000;
/// The crowd stands for this many turns, with a pause after each.
constexpr int kTurns = 200;
constexpr int kTurnPauseMillis = 10;

constexpr const char* kChunkedHead =
    "POST /plain/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: c\r\n"
    "x-deadline-ms: 60000\r\ntransfer-encoding: chunked\r\n\r\n";

std::string Head(const std::string& path, const std::string& fields = "") {
  return "POST " + path +
         " HTTP/1.1\r\nhost: h.example\r\nx-request-id: c\r\n"
         "x-deadline-ms: 60000\r\ncontent-length: 0\r\n" +
         fields + "\r\n";
}

/// Returns the head of a request whose body is as large as it may be.
std::string LargeBodyHead(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nhost: h.example\r\nx-request-id: c\r\n"
         "x-deadline-ms: 60000\r\ncontent-length: " +
         std::to_string(kLargestBody) + "\r\n\r\n";
}

std::string Repeat(const std::string& text, std::size_t times) {
  std::string repeated;
  for (std::size_t i = 0; i < times; ++i) repeated += text;
  return repeated;
}

/// Field lines without end.
const std::string& EndlessFields() {
  static const std::string fields = Repeat("trailer-name: value\r\n", 1'000);
  return fields;
}
/// Part of one line without end.
const std::string& EndlessLine() {
  static const std::string line(std::size_t{16} * 1024, 'x');
  return line;
}

ClientScript EndlessTrailerFields(const std::string& head) {
  return {head + "1\r\nx\r\n0\r\n", EndlessFields(), 16 * kMegabyte};
}
ClientScript EndlessTrailerField(const std::string& head) {
  return {head + "1\r\nx\r\n0\r\nname: ", EndlessLine(), 16 * kMegabyte};
}

/// Answers as the path of a request says.
void Serve(RawConnection& connection) {
  const std::string head = connection.ReadRequest();
  if (head.empty()) return;
  const std::string fields =
      "x-request-id: " + RawConnection::FieldOf(head, "x-request-id") +
      "\r\nx-server-stamp: s\r\n";
  const auto is_for = [&head](const std::string& path) {
    return head.find(" " + path + " ") != std::string::npos;
  };
  if (is_for("/plain/hold")) {
    connection.ReadRequest();  // Ends with the connection.
    return;
  }
  if (is_for("/plain/trailers")) {
    connection.Send("HTTP/1.1 200 OK\r\n" + fields +
                    "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n");
    for (std::size_t sent = 0; sent < 16 * kMegabyte;
         sent += EndlessFields().size()) {
      connection.Send(EndlessFields());
    }
    return;
  }
  if (is_for("/stream/large")) {
    connection.Send("HTTP/1.1 200 OK\r\n" + fields +
                    "content-type: text/event-stream\r\ncontent-length: " +
                    std::to_string(kEvents * kEventBytes) + "\r\n\r\n");
    for (int i = 0; i < kEvents; ++i) {
      const std::string id = "id: " + std::to_string(i) + "\ndata: ";
      connection.Send(id + std::string(kEventBytes - id.size() - 2, 'x') +
                      "\n\n");
    }
    return;
  }
  if (is_for("/stream/small")) {
    const std::string event = "id: 1\ndata: x\n\n";
    connection.Send("HTTP/1.1 200 OK\r\n" + fields +
                    "content-type: text/event-stream\r\ncontent-length: " +
                    std::to_string(event.size()) + "\r\n\r\n" + event);
    return;
  }
  const std::size_t length = is_for("/plain/large") ? kLargestBody : 2;
  connection.Send("HTTP/1.1 200 OK\r\n" + fields +
                  "content-length: " + std::to_string(length) + "\r\n\r\n" +
                  std::string(length, 'x'));
}

/// Gateway g1 with lowered limits before the server s1.
struct SmallFleet : GatewayFleet {
  /// @param blocks_output whether nobody reads the gateway's log.
  explicit SmallFleet(bool blocks_output = false,
                      const std::string& settings = kSettings) {
    this->StartStore();
    if (blocks_output) this->BlockOutput();
    this->Write("op/config", kGatewayConfig);
    this->gateway_settings = settings;
    this->AddGateway("g1");
    this->server = std::make_unique<RawServer>(
        this->AddOwnServer("s1", kServerSlots), Serve);
    cr_assert(
        Fleet::Await([&] { return this->ListsServer("g1", "s1", "live"); }));
  }

  bool Serves(const std::string& body = "") {
    return this->Post("g1", "/plain/a", body).status == 200;
  }

  std::unique_ptr<RawServer> server;
};

/// Lets a crowd stand, and checks that the process lives within its limits.
void Stand(Fleet& fleet, const std::string& process, ClientCrowd& crowd,
           std::size_t max_descriptors = kDescriptors) {
  std::size_t descriptors = 0;
  for (int turn = 0; turn < kTurns && fleet.IsRunning(process); ++turn) {
    crowd.SendSome();
    poll(nullptr, 0, kTurnPauseMillis);
    descriptors = std::max(descriptors, CountDescriptors(fleet.Pid(process)));
  }
  cr_assert(fleet.IsRunning(process));
  const std::uint64_t peak = PeakResidentBytes(fleet.Pid(process));
  cr_log_info("peak %lu MB, %zu descriptors", peak / kMegabyte, descriptors);
  cr_expect_lt(peak, kMemory, "peak of %lu MB", peak / kMegabyte);
  cr_expect_leq(descriptors, max_descriptors, "%zu descriptors", descriptors);
}

/// Lets a crowd of clients of a listener of a gateway stand, and checks that
/// the gateway serves a request afterwards.
/// @param listener suffix of the listener's name, such as "-admin".
void StandAtGateway(const std::string& listener, std::size_t count,
                    const ClientScript& script) {
  SmallFleet fleet;
  {
    ClientCrowd crowd(fleet.Address("g1" + listener), count, script);
    Stand(fleet, "g1", crowd);
  }
  cr_expect(fleet.Serves());
}

/// Gateway fleet with the rank agent r1, whose engine does not run.
struct RankFleet : GatewayFleet {
  RankFleet() {
    this->StartStore();
    for (const char* suffix : {"-link", "-admin", "-engine"})
      this->AllocateAddress(std::string("r1") + suffix);
    const std::string settings = this->WriteSettings(
        "r1", "listen=" + this->Address("r1-link") + "\n[platform]\nstore=" +
                  this->Address("store") + "\n[rank]\nservice=model\nengine=" +
                  this->Address("r1-engine") + "\n" + kSettings);
    this->Spawn("r1", {std::string(BANYANLANE_BINARY_DIR) + "/banyanlane",
                       "rank", "--settings=" + settings});
    cr_assert(Fleet::Await([&] { return this->IsServing(); }));
  }

  bool IsServing() { return !this->AdminPage("r1", "/metrics").empty(); }
};

/// Entry e1 before the agent m1 of an engine, all with lowered limits.
struct EntryFleet : Fleet {
  EntryFleet() {
    this->token_millis = 0;
    this->StartPlatform(processes::kConfig);
    this->AddEndpoint("m1", "engine", "model", false, kSettings);
    this->AddEntry("e1", kSettings);
    this->PublishInstances();
    this->AwaitEndpoints("e1", 1);
  }

  bool Serves() {
    return this->SendRequest("e1", Fleet::ChatRequest("m", 2, false)).status ==
           200;
  }
};

const std::string& Handshake() {
  static const std::string request =
      "GET /link HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\n"
      "connection: upgrade\r\nsec-websocket-version: 13\r\n"
      "sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  return request;
}

/// Largest ping, whose response is as long, with a mask of zeros.
std::string Ping() {
  constexpr std::size_t kMaxPingBytes = 125;
  return std::string("\x89\xfd\x00\x00\x00\x00", 6) +
         std::string(kMaxPingBytes, 'p');
}

const std::string& FrameWithoutEnd() {
  static const std::string frame =
      Handshake() +
      std::string("\x82\xff\x00\x00\x00\x00\x00\x70\x00\x00\x00\x00\x00\x00",
                  14);
  return frame;
}

constexpr const char* kBodyForLinks =
    "POST /link HTTP/1.1\r\nhost: a\r\ncontent-length: 30000000\r\n\r\n";

constexpr const char* kListeners[] = {"", "-resolve", "-ready", "-admin"};

}  // namespace

Test(misbehaving_clients, trailer_fields_without_end) {
  for (const char* listener : kListeners)
    StandAtGateway(listener, 20, EndlessTrailerFields(kChunkedHead));
}

Test(misbehaving_clients, a_trailer_field_without_end) {
  for (const char* listener : kListeners)
    StandAtGateway(listener, 20, EndlessTrailerField(kChunkedHead));
}

Test(misbehaving_clients, a_chunk_extension_without_end) {
  StandAtGateway(
      "", 20,
      {std::string(kChunkedHead) + "1;name=", EndlessLine(), 16 * kMegabyte});
}

Test(misbehaving_clients, a_head_without_end) {
  StandAtGateway("", 100,
                 {"POST /plain/a HTTP/1.1\r\nhost: h.example\r\n",
                  EndlessFields(), 16 * kMegabyte, true});
}

Test(misbehaving_clients, large_responses_that_are_not_read) {
  StandAtGateway("", 60, {Head("/plain/large"), "", 0});
}

Test(misbehaving_clients, pipelined_requests_whose_responses_are_not_read) {
  StandAtGateway("", 40, {Repeat(Head("/plain/large"), 40), "", 0});
}

Test(misbehaving_clients, streams_that_are_not_read) {
  StandAtGateway("", 130, {Head("/stream/large"), "", 0});
}

Test(misbehaving_clients, pages_for_operators_that_are_not_read) {
  StandAtGateway(
      "-admin", 130,
      {Repeat("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n", 400), "", 0});
}

Test(misbehaving_clients, requests_with_many_fields_at_a_silent_server) {
  StandAtGateway("", 130,
                 {Head("/plain/hold", Repeat("a:\r\n", 3'900)), "", 0});
}

// Guards against heads that are kept while their refusals are written.
Test(misbehaving_clients, requests_with_many_fields_at_the_same_time) {
  SmallFleet fleet(false, "[http]\nmemory_mb=64\ndescriptors=2000\n");
  {
    ClientCrowd crowd(fleet.Address("g1"), 1'000,
                      {Head("/plain/a", Repeat("a:\r\n", 3'900)), "", 0});
    Stand(fleet, "g1", crowd, 2'000);
  }
  cr_expect(fleet.Serves());
}

Test(misbehaving_clients, requests_with_many_prompt_parts_at_a_silent_server) {
  StandAtGateway(
      "", 130,
      {Head("/plain/hold", "x-prefix-hash: " + Repeat("a,", 8'000) + "\r\n"),
       "", 0});
}

Test(misbehaving_clients, bodies_at_a_silent_server) {
  StandAtGateway("", 40,
                 {LargeBodyHead("/plain/hold"), EndlessLine(), kLargestBody});
}

Test(misbehaving_clients, trailer_fields_of_servers_without_end) {
  StandAtGateway("", 20, {Head("/plain/trailers"), "", 0});
}

// Guards against connections that a caller holds with a part of a request
// while others find no place.
Test(misbehaving_clients, parts_of_requests_that_take_all_connections) {
  for (const char* listener : kListeners) {
    SmallFleet fleet;
    ClientCrowd crowd(fleet.Address(std::string("g1") + listener), 300,
                      {"P", "", 0, true});
    Stand(fleet, "g1", crowd);
    cr_expect(fleet.Serves(), "beside the crowd at '%s'", listener);
  }
}

// Guards against memory that a caller holds with a body that does not come.
Test(misbehaving_clients, bodies_that_are_claimed_and_not_sent) {
  SmallFleet fleet;
  ClientCrowd crowd(
      fleet.Address("g1"), 40,
      {"POST /plain/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: c\r\n"
       "x-deadline-ms: 60000\r\ncontent-length: 4194304\r\n\r\nx",
       "", 0, true});
  Stand(fleet, "g1", crowd);
  cr_expect(fleet.Serves(std::string(2'048, 'b')), "beside the crowd");
}

// Guards against state that is kept for long values that a caller chooses.
Test(misbehaving_clients, parts_of_prompts_with_long_ids) {
  SmallFleet fleet;
  const http::RawCaller caller(fleet.Address("g1"), 0);
  for (int i = 0; i < kLongIds; ++i) {
    const std::string id = std::to_string(i) + std::string(kLongIdBytes, 'i');
    caller.Write(Head("/stream/small", "x-prefix-hash: " + id + ":1,a:1\r\n"));
    cr_assert_neq(caller.ReadUntil("0\r\n\r\n").find(" 200 "),
                  std::string::npos);
  }
  const std::uint64_t peak = PeakResidentBytes(fleet.Pid("g1"));
  cr_expect_lt(peak, kMemory, "peak of %lu MB", peak / kMegabyte);
  cr_expect(fleet.Serves());
}

// Guards against log lines that wait for their reader and are as long as a
// caller likes.
Test(misbehaving_clients, long_request_ids_in_a_log_that_is_not_read) {
  SmallFleet fleet(true);
  {
    const std::string request =
        "POST /none HTTP/1.1\r\nhost: h.example\r\ncontent-length: 0\r\n"
        "x-request-id: " +
        std::string(kLongIdBytes, 'i') + "\r\n\r\n";
    ClientCrowd crowd(fleet.Address("g1"), 40, {"", request, 16 * kMegabyte});
    Stand(fleet, "g1", crowd);
  }
  cr_expect(fleet.Serves());
}

// Guards against memory that is free after a crowd and of no use to the next.
Test(misbehaving_clients, one_kind_after_the_other) {
  SmallFleet fleet(false, "[http]\nmemory_mb=64\ndescriptors=2000\n");
  const std::pair<std::size_t, ClientScript> crowds[] = {
      {60, {Head("/plain/large"), "", 0}},
      {1'000, {Head("/plain/a", Repeat("a:\r\n", 3'900)), "", 0}},
      {40, {LargeBodyHead("/plain/a"), EndlessLine(), kLargestBody}}};
  for (int round = 0; round < 3; ++round) {
    for (const auto& [count, script] : crowds) {
      ClientCrowd crowd(fleet.Address("g1"), count, script);
      Stand(fleet, "g1", crowd, 2'000);
    }
    cr_expect(fleet.Serves());
  }
}

Test(misbehaving_clients, bodies_to_the_port_for_links) {
  StandAtGateway("-link", 20, {kBodyForLinks, EndlessLine(), 16 * kMegabyte});
}

Test(misbehaving_clients, frames_without_end_on_links) {
  StandAtGateway("-link", 20,
                 {FrameWithoutEnd(), EndlessLine(), 7 * kMegabyte, true});
}

// Guards against responses to pings that are queued for a peer that does not
// read them.
Test(misbehaving_clients, pings_on_links_whose_responses_are_not_read) {
  StandAtGateway("-link", 20,
                 {Handshake(), Repeat(Ping(), 500), 16 * kMegabyte});
}

Test(misbehaving_clients, connections_to_the_port_for_links) {
  StandAtGateway("-link", 600, {"G", "", 0, true});
}

// Guards against a crowd that keeps peers out.
Test(misbehaving_clients, a_peer_finds_a_place_beside_connections_for_links) {
  SmallFleet fleet;
  ClientCrowd crowd(fleet.Address("g1-link"), 100, {"G", "", 0, true});
  Stand(fleet, "g1", crowd);
  fleet.AddGateway("g2");
  cr_expect(Fleet::Await([&] {
    crowd.SendSome();
    return fleet.AdminPage("g1", "/metrics")
               .find("banyanlane_gateways_live 2") != std::string::npos;
  }));
}

Test(misbehaving_clients, crowds_at_a_rank_agent) {
  for (const bool is_for_links : {false, true}) {
    RankFleet fleet;
    {
      ClientCrowd crowd(
          fleet.Address(is_for_links ? "r1-link" : "r1-admin"), 20,
          is_for_links
              ? ClientScript{kBodyForLinks, EndlessLine(), 16 * kMegabyte}
              : EndlessTrailerFields(kChunkedHead));
      Stand(fleet, "r1", crowd);
    }
    cr_expect(fleet.IsServing());
  }
}

Test(misbehaving_clients, trailer_fields_without_end_at_an_entry) {
  EntryFleet fleet;
  {
    ClientCrowd crowd(fleet.Address("e1"), 20,
                      EndlessTrailerFields(kChunkedHead));
    Stand(fleet, "e1", crowd);
  }
  cr_expect(fleet.Serves());
}

/// Lets clients of an entry ask for responses of 8 MB that they do not read.
void StandAtEntry(bool stream) {
  EntryFleet fleet;
  {
    const http::HttpRequest request =
        Fleet::ChatRequest(std::string(2'000, 'm'), 4'000, stream);
    std::string head = "POST " + request.target + " HTTP/1.1\r\nhost: a\r\n";
    for (const auto& [name, value] : request.headers)
      head += name + ": " + value + "\r\n";
    head +=
        "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    ClientCrowd crowd(fleet.Address("e1"), 60, {head + request.body, "", 0});
    Stand(fleet, "e1", crowd);
    cr_expect(fleet.IsRunning("m1"));
    const std::uint64_t peak = PeakResidentBytes(fleet.Pid("m1"));
    cr_expect_lt(peak, kMemory, "peak of %lu MB at the agent",
                 peak / kMegabyte);
  }
  cr_expect(Fleet::Await([&] { return fleet.Serves(); }));
}

Test(misbehaving_clients, streams_of_an_entry_that_are_not_read) {
  StandAtEntry(true);
}

Test(misbehaving_clients, responses_of_an_entry_that_are_not_read) {
  StandAtEntry(false);
}

Test(misbehaving_clients, bodies_to_the_port_for_links_of_an_agent) {
  EntryFleet fleet;
  {
    ClientCrowd crowd(fleet.Address("m1"), 20,
                      {kBodyForLinks, EndlessLine(), 16 * kMegabyte});
    Stand(fleet, "m1", crowd);
  }
  cr_expect(fleet.Serves());
}

}  // namespace banyanlane::processes
