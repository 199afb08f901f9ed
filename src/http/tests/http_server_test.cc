#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <vector>

#include "http/i_http_runtime.h"
#include "http/tests/raw_caller.h"

namespace banyanlane::http {
namespace {

/// Responds with a description of the request. The response is delayed while
/// SetBlocked(true) is in effect.
class EchoHandler : public IHttpHandler {
 public:
  void Handle(IHttpExchange& exchange) override {
    const HttpRequest request = exchange.TakeRequest();
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->handled;
    }
    while (this->IsBlocked()) {
      const auto reason =
          exchange.Wait(kernel::Clock::now() + kernel::Millis(1));
      if (reason != WakeReason::kCallerDisconnected) continue;
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->disconnected;
      return;
    }
    HttpResponse response;
    response.body = "[" + request.method + " " + request.target +
                    " host=" + HeaderOf(request.headers, "host") +
                    " note=" + HeaderOf(request.headers, "note") +
                    " body=" + std::to_string(request.body.size()) + "]";
    exchange.Reply(response);
  }

  void SetBlocked(bool blocked) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->blocked = blocked;
  }
  bool IsBlocked() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->blocked;
  }
  int DisconnectedCount() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->disconnected;
  }
  int HandledCount() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->handled;
  }

 private:
  std::mutex mutex;
  bool blocked = false;
  int handled = 0;
  int disconnected = 0;
};

/// Server on a free port, with its handler and runtime.
struct Fixture {
  explicit Fixture(const ServerCapacity& capacity = ServerCapacity{},
                   const ServerLimits& limits = ServerLimits{})
      : runtime(MakeHttpRuntime(capacity)) {
    auto opened = this->runtime->Listen("127.0.0.1:0", this->handler, limits);
    this->server = std::get<std::shared_ptr<IHttpServer>>(std::move(opened));
    this->runtime->Start(1);
  }
  ~Fixture() { this->runtime->Stop(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  std::string SendAndReadAll(std::string_view text) const {
    const RawCaller caller(this->server->port());
    caller.Write(text);
    return caller.ReadToEnd();
  }
  bool WaitUntilHandled(int count) const {
    const auto until = kernel::Clock::now() + std::chrono::seconds(10);
    while (this->handler->HandledCount() < count &&
           kernel::Clock::now() < until) {
    }
    return this->handler->HandledCount() >= count;
  }

  std::shared_ptr<EchoHandler> handler = std::make_shared<EchoHandler>();
  std::shared_ptr<IHttpRuntime> runtime;
  std::shared_ptr<IHttpServer> server;
};

int CountOf(const std::string& text, std::string_view pattern) {
  int count = 0;
  for (std::size_t at = text.find(pattern); at != std::string::npos;
       at = text.find(pattern, at + 1)) {
    ++count;
  }
  return count;
}

/// Returns the resident memory of this process in bytes.
long ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

constexpr std::string_view kClose = "Connection: close\r\n";

std::string Get(std::string_view target, std::string_view fields) {
  return "GET " + std::string(target) + " HTTP/1.1\r\n" + std::string(fields) +
         "\r\n";
}

}  // namespace

Test(http_server, refuses_an_ambiguous_body_length) {
  const std::vector<std::pair<std::string, std::string>> refused = {
      {"Transfer-Encoding: xchunked\r\n", "HTTP/1.1 400"},
      {"Transfer-Encoding: identity\r\n", "HTTP/1.1 400"},
      {"Transfer-Encoding: chunked, gzip\r\n", "HTTP/1.1 400"},
      {"Transfer-Encoding: gzip, chunked\r\n", "HTTP/1.1 501"},
      {"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "HTTP/1.1 400"},
      {"Content-Length: 3\r\nContent-Length: 3\r\n", "HTTP/1.1 400"},
      {"Content-Length: 3\r\nContent-Length: 30\r\n", "HTTP/1.1 400"},
      {"Content-Length: +3\r\n", "HTTP/1.1 400"},
      {"Content-Length: 1\r\n 0\r\n", "HTTP/1.1 400"},
      {"Transfer-Encoding : chunked\r\n", "HTTP/1.1 400"},
  };
  const Fixture fixture;
  for (const auto& [fields, status] : refused) {
    const std::string response = fixture.SendAndReadAll(
        "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n0\r\n\r\n" +
        Get("/smuggled", "Host: h\r\n"));
    cr_expect_eq(response.rfind(status, 0), 0, "%s: %s", fields.c_str(),
                 response.c_str());
    cr_expect_eq(CountOf(response, "HTTP/1.1 "), 1, "%s: %s", fields.c_str(),
                 response.c_str());
  }
  cr_expect_eq(fixture.handler->HandledCount(), 0);
}

Test(http_server, refuses_a_request_without_exactly_one_host) {
  const Fixture fixture;
  const std::string none = fixture.SendAndReadAll(Get("/a", ""));
  cr_expect_eq(none.rfind("HTTP/1.1 400", 0), 0, "%s", none.c_str());
  const std::string two =
      fixture.SendAndReadAll(Get("/a", "Host: a\r\nHost: b\r\n"));
  cr_expect_eq(two.rfind("HTTP/1.1 400", 0), 0, "%s", two.c_str());
}

Test(http_server, joins_the_lines_of_a_folded_field) {
  const Fixture fixture;
  const std::string response = fixture.SendAndReadAll(
      Get("/a", "Host: h\r\nNote: one\r\n  two\r\n" + std::string(kClose)));
  cr_expect_neq(response.find("note=one two"), std::string::npos, "%s",
                response.c_str());
}

Test(http_server, uses_the_host_of_an_absolute_target) {
  const Fixture fixture;
  const std::string response = fixture.SendAndReadAll(
      Get("http://inner.example/a/b?c=1",
          "Host: outer.example\r\n" + std::string(kClose)));
  cr_expect_neq(response.find("[GET /a/b?c=1 host=inner.example"),
                std::string::npos, "%s", response.c_str());
  const std::string asterisk = fixture.SendAndReadAll(
      "OPTIONS * HTTP/1.1\r\nHost: h\r\n" + std::string(kClose) + "\r\n");
  cr_expect_eq(asterisk.rfind("HTTP/1.1 400", 0), 0, "%s", asterisk.c_str());
}

// Guards against memory that a caller takes after the head of its request.
Test(http_server, refuses_a_trailer_section_larger_than_a_head) {
  const Fixture fixture;
  const std::string head =
      "POST /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
      "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
  const std::string field = "note: " + std::string(1'000, 'x') + "\r\n";
  std::string fields;
  for (int i = 0; i < 10; ++i) fields += field;
  cr_expect_neq(fixture.SendAndReadAll(head + fields + "\r\n").find(" 200 "),
                std::string::npos);
  for (int i = 0; i < 20; ++i) fields += field;
  cr_expect_neq(fixture.SendAndReadAll(head + fields).find(" 431 "),
                std::string::npos);
}

// Guards against trailer fields that change a head which was checked before.
Test(http_server, ignores_trailer_fields) {
  const Fixture fixture;
  const std::string response = fixture.SendAndReadAll(
      "POST /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
      "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
      "note: trailer\r\nhost: y\r\nconnection: keep-alive\r\n\r\n");
  cr_expect_neq(response.find("[POST /a host=x note= body=1]"),
                std::string::npos);
  cr_expect_neq(response.find("Connection: close"), std::string::npos);
}

// Guards against processor time that a caller takes with what frames a body.
Test(http_server, refuses_a_body_that_consists_of_chunk_framing) {
  const Fixture fixture;
  const std::string head =
      "POST /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
      "transfer-encoding: chunked\r\n\r\n";
  std::string small_chunks;
  std::string long_extensions;
  for (int i = 0; i < 20'000; ++i) small_chunks += "1\r\nx\r\n";
  for (int i = 0; i < 100; ++i)
    long_extensions += "1;a=" + std::string(1'000, 'a') + "\r\nx\r\n";
  cr_expect_neq(fixture.SendAndReadAll(head + small_chunks + "0\r\n\r\n")
                    .find("body=20000"),
                std::string::npos);
  cr_expect_neq(fixture.SendAndReadAll(head + long_extensions).find(" 400 "),
                std::string::npos);
}

Test(http_server, sends_100_continue_to_a_waiting_caller) {
  const Fixture fixture;
  const RawCaller caller(fixture.server->port());
  caller.Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 3\r\n\r\n");
  const std::string interim = caller.ReadUntil("\r\n\r\n");
  cr_expect_eq(interim, "HTTP/1.1 100 Continue\r\n\r\n", "%s", interim.c_str());
  caller.Write("abc");
  const std::string response = caller.ReadUntil("body=3]");
  cr_expect_neq(response.find("body=3]"), std::string::npos, "%s",
                response.c_str());
  const std::string unknown =
      fixture.SendAndReadAll(Get("/a", "Host: h\r\nExpect: 200-ok\r\n"));
  cr_expect_eq(unknown.rfind("HTTP/1.1 417", 0), 0, "%s", unknown.c_str());
}

Test(http_server, closes_the_longest_idle_connection_for_a_new_one) {
  const Fixture fixture({2, 1'000});
  const RawCaller first(fixture.server->port());
  first.Write(Get("/first", "Host: h\r\n"));
  first.ReadUntil("]");
  const RawCaller second(fixture.server->port());
  second.Write(Get("/second", "Host: h\r\n"));
  second.ReadUntil("]");
  const std::string third = fixture.SendAndReadAll(
      Get("/third", "Host: h\r\n" + std::string(kClose)));
  cr_expect_neq(third.find("/third"), std::string::npos, "%s", third.c_str());
  cr_expect(first.IsClosedByServer());
}

Test(http_server, refuses_at_once_when_all_connections_are_busy) {
  const Fixture fixture({1, 1'000});
  fixture.handler->SetBlocked(true);
  const RawCaller busy(fixture.server->port());
  busy.Write(Get("/busy", "Host: h\r\n"));
  cr_assert(fixture.WaitUntilHandled(1));
  const std::string refused =
      fixture.SendAndReadAll(Get("/more", "Host: h\r\n"));
  cr_expect_eq(refused.rfind("HTTP/1.1 503", 0), 0, "%s", refused.c_str());
  cr_expect_neq(refused.find("not_run"), std::string::npos);
  fixture.handler->SetBlocked(false);
  const std::string response = busy.ReadUntil("]");
  cr_expect_neq(response.find("/busy"), std::string::npos, "%s",
                response.c_str());
}

Test(http_server, does_not_spin_at_the_limit_of_descriptors) {
  const Fixture fixture;
  std::vector<RawCaller> idle;
  constexpr rlim_t kLimit = 64;
  rlimit limit{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
  limit.rlim_cur = kLimit;
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  // Each connection uses two descriptors of this process, one for each end.
  for (rlim_t i = 0; i < kLimit; ++i) idle.emplace_back(fixture.server->port());
  const auto begun = kernel::Clock::now();
  const std::string response = idle.front().ReadToEnd();
  cr_expect(response.empty(), "the longest idle connection is closed");
  std::size_t closed = 0;
  while (fixture.server->FailedAccepts() < 3 && closed < idle.size())
    closed += idle[closed].IsClosedByServer() ? 1 : 0;
  const auto elapsed = kernel::Clock::now() - begun;
  // Equals kAcceptPause of http_server.cc.
  constexpr kernel::Millis kPause{50};
  cr_expect_leq(fixture.server->FailedAccepts(),
                static_cast<std::uint64_t>(elapsed / kPause) + 2);
}

Test(http_server, reads_a_body_only_when_memory_is_available) {
  constexpr std::size_t kBytes = 600;
  const Fixture fixture({16, 1'000});
  const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(kBytes) + "\r\n\r\n" +
                           std::string(kBytes, 'x');
  fixture.handler->SetBlocked(true);
  const RawCaller first(fixture.server->port());
  first.Write(post);
  cr_assert(fixture.WaitUntilHandled(1));
  const RawCaller second(fixture.server->port());
  second.Write(post);
  // A request without a body is not queued behind the second one.
  const RawCaller third(fixture.server->port());
  third.Write(Get("/b", "Host: h\r\n"));
  cr_assert(fixture.WaitUntilHandled(2));
  fixture.handler->SetBlocked(false);
  cr_expect_neq(third.ReadUntil("]").find("/b"), std::string::npos);
  cr_expect_neq(first.ReadUntil("]").find("body=600"), std::string::npos);
  cr_expect_neq(second.ReadUntil("]").find("body=600"), std::string::npos);
}

Test(http_server, refuses_a_body_larger_than_the_memory_for_bodies) {
  const Fixture fixture({16, 1'000});
  const std::string stated = fixture.SendAndReadAll(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
  cr_expect_eq(stated.rfind("HTTP/1.1 503", 0), 0, "%s", stated.c_str());
}

Test(http_server, uses_little_memory_for_idle_connections) {
  // An eighth of the 160 MB of the smallest machine, divided by its 4,100
  // descriptors.
  constexpr long kMaxBytes = 160L * 1024 * 1024 / 8 / 4'100;
  constexpr long kCount = 400;
  const Fixture fixture;
  std::vector<RawCaller> callers;
  callers.reserve(kCount);
  const auto open = [&fixture, &callers] {
    callers.emplace_back(fixture.server->port());
    callers.back().Write(Get("/a", "Host: h\r\n"));
    callers.back().ReadUntil("]");
  };
  open();
  const long before = ResidentBytes();
  while (static_cast<long>(callers.size()) <= kCount) open();
  const long bytes_each = (ResidentBytes() - before) / kCount;
  cr_expect_leq(bytes_each, kMaxBytes, "%ld bytes", bytes_each);
}

Test(http_server, notices_that_a_caller_left_after_it_sent_another_request) {
  const Fixture fixture;
  fixture.handler->SetBlocked(true);
  {
    const RawCaller caller(fixture.server->port());
    caller.Write(Get("/a", "Host: h\r\n"));
    cr_assert(fixture.WaitUntilHandled(1));
    caller.Write(Get("/b", "Host: h\r\n"));
  }
  const auto until = kernel::Clock::now() + std::chrono::seconds(10);
  while (fixture.handler->DisconnectedCount() == 0 &&
         kernel::Clock::now() < until) {
  }
  cr_expect_eq(fixture.handler->DisconnectedCount(), 1);
  fixture.handler->SetBlocked(false);
}

// Guards against work that goes on for a caller who has sent more requests
// ahead than are read, and has left.
Test(http_server, notices_that_a_caller_left_after_it_sent_many_requests) {
  const Fixture fixture;
  fixture.handler->SetBlocked(true);
  {
    const RawCaller caller(fixture.server->port());
    caller.Write(Get("/a", "Host: h\r\n"));
    cr_assert(fixture.WaitUntilHandled(1));
    for (int i = 0; i < 2'000; ++i) caller.Write(Get("/b", "Host: h\r\n"));
  }
  const auto until = kernel::Clock::now() + std::chrono::seconds(10);
  while (fixture.handler->DisconnectedCount() == 0 &&
         kernel::Clock::now() < until) {
  }
  cr_expect_eq(fixture.handler->DisconnectedCount(), 1);
  fixture.handler->SetBlocked(false);
}

Test(http_server, serves_requests_that_arrive_while_one_is_in_progress) {
  const Fixture fixture;
  fixture.handler->SetBlocked(true);
  const RawCaller caller(fixture.server->port());
  caller.Write(Get("/a", "Host: h\r\n"));
  cr_assert(fixture.WaitUntilHandled(1));
  constexpr int kPipelined = 400;
  for (int i = 0; i < kPipelined; ++i)
    caller.Write(
        Get("/b", "Host: h\r\nNote: " + std::string(60, 'x') + "\r\n"));
  caller.Write(Get("/last", "Host: h\r\nConnection: close\r\n"));
  fixture.handler->SetBlocked(false);
  const std::string text = caller.ReadToEnd();
  cr_expect_eq(CountOf(text, "HTTP/1.1 200"), kPipelined + 2);
  cr_expect(text.find("/last") != std::string::npos);
}

}  // namespace banyanlane::http
