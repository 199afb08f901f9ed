#include <criterion/criterion.h>
#include <poll.h>

#include <algorithm>
#include <atomic>

#include "http/i_http_runtime.h"
#include "http/tests/raw_caller.h"

namespace banyanlane::http {
namespace {

constexpr std::uint32_t kWriteTimeoutMillis = 2'000;
/// Time for which a caller reads slowly.
constexpr kernel::Millis kSlowTime{3 * kWriteTimeoutMillis};
constexpr int kReadIntervalMillis = 25;
/// Too little for the send buffer to take more within the time-out.
constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// Length of the end of a response that is kept.
constexpr std::size_t kKeptBytes = 64;
constexpr int kReceiveBytes = 64 * 1024;
/// Far more than the buffers of a connection and what a slow caller reads.
constexpr std::size_t kBodyBytes = std::size_t{48} * 1024 * 1024;
/// More than the receive buffer holds, and less than the send buffer.
constexpr std::size_t kBufferedBytes = std::size_t{512} * 1024;
constexpr std::string_view kEndMark = "END";

/// Responds with body_bytes bytes, in one piece or in chunks.
class LargeHandler : public IHttpHandler {
 public:
  void Handle(IHttpExchange& exchange) override {
    const bool is_stream = exchange.request().Path() == "/stream";
    HttpResponse response;
    response.body = std::string(this->body_bytes - kEndMark.size(), 'x') +
                    std::string(kEndMark);
    if (is_stream) {
      exchange.BeginStream(response.status, {});
      exchange.WriteChunk(response.body);
      exchange.EndStream();
    } else {
      exchange.Reply(response);
    }
    ++this->ended;
  }

  std::size_t body_bytes = kBodyBytes;
  std::atomic<int> ended{0};  ///< Requests whose handling has ended.
};

struct LargeServer {
  LargeServer() : runtime(MakeHttpRuntime()) {
    ServerLimits limits;
    limits.write_timeout_ms = kWriteTimeoutMillis;
    auto opened = this->runtime->Listen("127.0.0.1:0", this->handler, limits);
    this->server = std::get<std::shared_ptr<IHttpServer>>(std::move(opened));
    this->runtime->Start(1);
  }
  ~LargeServer() { this->runtime->Stop(); }
  LargeServer(const LargeServer&) = delete;
  LargeServer& operator=(const LargeServer&) = delete;

  RawCaller Request(const std::string& target) const {
    RawCaller caller("127.0.0.1:" + std::to_string(this->server->port()),
                     kReceiveBytes);
    caller.Write("GET " + target +
                 " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return caller;
  }

  bool WaitUntilEnded(int count) const {
    const auto until = kernel::Clock::now() + std::chrono::seconds(30);
    while (this->handler->ended < count && kernel::Clock::now() < until)
      poll(nullptr, 0, kReadIntervalMillis);
    return this->handler->ended == count;
  }

  std::shared_ptr<LargeHandler> handler = std::make_shared<LargeHandler>();
  std::shared_ptr<IHttpRuntime> runtime;
  std::shared_ptr<IHttpServer> server;
};

/// Reads slowly for kSlowTime and then the rest.
/// @return the end of what was received.
std::string ReadSlowly(const RawCaller& caller) {
  const auto until = kernel::Clock::now() + kSlowTime;
  std::string last;
  while (true) {
    const std::string part = caller.ReadSome(kReadBytes);
    if (part.empty()) return last;
    last += part;
    last.erase(0, last.size() - std::min(last.size(), kKeptBytes));
    if (kernel::Clock::now() < until) poll(nullptr, 0, kReadIntervalMillis);
  }
}

}  // namespace

// Guards against responses that are cut off because their callers read slowly.
Test(slow_caller, receives_a_whole_response) {
  const LargeServer server;
  for (const char* const target : {"/complete", "/stream"}) {
    const std::string end = ReadSlowly(server.Request(target));
    cr_expect_neq(end.find(kEndMark), std::string::npos, "%s", target);
  }
}

// Guards against the end of a response that is discarded because its caller
// sends more on a connection that the server closes.
Test(slow_caller, receives_a_whole_response_when_it_sends_more) {
  for (const char* const target : {"/complete", "/stream"}) {
    const LargeServer server;
    server.handler->body_bytes = kBufferedBytes;
    const RawCaller caller = server.Request(target);
    cr_assert(server.WaitUntilEnded(1));
    caller.Write("GET /more HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string rest = caller.ReadToEnd();
    cr_expect_neq(rest.find(kEndMark), std::string::npos, "%s", target);
    cr_expect_eq(server.handler->ended, 1);
  }
}

// Guards against memory that callers hold who take nothing any more.
Test(slow_caller, is_cut_off_when_it_takes_nothing) {
  const LargeServer server;
  const RawCaller complete = server.Request("/complete");
  const RawCaller stream = server.Request("/stream");
  cr_expect(server.WaitUntilEnded(2));
  for (const RawCaller* const caller : {&complete, &stream}) {
    const std::string text = caller->ReadToEnd();
    cr_expect_lt(text.size(), kBodyBytes);
    cr_expect_eq(text.find(kEndMark), std::string::npos);
  }
}

}  // namespace banyanlane::http
