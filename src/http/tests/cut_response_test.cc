#include <criterion/criterion.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>

#include "http/i_http_runtime.h"
#include "processes/cut_server.h"

namespace banyanlane::http {
namespace {

using processes::CloseKind;
using processes::CutResponse;
using processes::CutServer;

/// Response of a server as it is when nothing cuts it.
struct WholeResponse {
  std::string name;
  std::string bytes;
  std::string body;
  /// Whether the body ends with the connection.
  bool ends_with_connection = false;
  std::string method = "GET";

  /// Returns the number of bytes up to the end of the head.
  std::size_t HeadBytes() const {
    return this->bytes.rfind("\r\n\r\n" + this->body) + 4;
  }
};

const std::string kInterim =
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const std::string kWithLength =
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-stamp: s1\r\n\r\n"
    "hello, world";
const std::string kBody = "hello, world";

const WholeResponse kResponses[] = {
    {"length", kWithLength, kBody},
    {"length as last field",
     "HTTP/1.1 200 OK\r\nx-stamp: s1\r\ncontent-length:12\r\n\r\nhello, world",
     kBody},
    {"length zero", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""},
    {"chunks",
     "HTTP/1.1 200 OK\r\nx-stamp: s1\r\ntransfer-encoding: chunked\r\n\r\n"
     "5;a=b\r\nhello\r\n007\r\n, world\r\n0\r\n\r\n",
     kBody},
    {"chunks with trailers",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
     "C\r\nhello, world\r\n0\r\nx-first: 1\r\nx-second: 2\r\n\r\n",
     kBody},
    {"interim responses", kInterim + kWithLength, kBody},
    {"end of connection", "HTTP/1.1 200 OK\r\nx-stamp: s1\r\n\r\nhello, world",
     kBody, true},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\nx-stamp: s1\r\n\r\nhello, world", kBody,
     true},
    {"HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n", "", false,
     "HEAD"},
    {"HEAD without length", "HTTP/1.1 200 OK\r\nx-stamp: s1\r\n\r\n", "", false,
     "HEAD"},
    {"no content", "HTTP/1.1 204 No Content\r\nx-stamp: s1\r\n\r\n", ""},
    {"not modified", "HTTP/1.1 304 Not Modified\r\nx-stamp: s1\r\n\r\n", ""},
};

/// Records the end of a call.
class CallRecorder : public IHttpCallObserver {
 public:
  void OnHead(int status, const Headers& /*headers*/) override {
    this->status = status;
  }
  void OnData(std::string_view data) override { this->body += data; }
  void OnEnd() override { this->SetEnded(true); }
  void OnFailed(const kernel::Error& error, SendState state) override {
    this->error = error;
    this->send_state = state;
    this->SetEnded(false);
  }
  /// Waits for the end of the call.
  /// @return whether the response was complete.
  bool AwaitEnd() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [this] { return this->ended; });
    return this->complete;
  }

  // Written before the call ends.
  int status = 0;
  std::string body;
  kernel::Error error;
  SendState send_state = SendState::kMaybeSent;

 private:
  void SetEnded(bool is_complete) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->complete = is_complete;
    this->ended = true;
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  bool ended = false;
  bool complete = false;
};

/// Cuts the response to the first request for /cut, and counts these requests.
class CuttingServer {
 public:
  CuttingServer()
      : server("127.0.0.1:0", [this](const std::string& head, int index) {
          return this->Respond(head, index);
        }) {}

  const std::string& address() const { return this->server.address(); }
  /// Sets the response to the next request for /cut.
  void Prepare(CutResponse response) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->cut = std::move(response);
    this->requests = 0;
  }
  /// Returns the number of requests for /cut since the last Prepare.
  int Requests() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->requests;
  }
  /// Returns whether the first of them came on a connection in use before.
  bool WasReused() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->was_reused;
  }

 private:
  CutResponse Respond(const std::string& head, int index) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (head.find("/cut") == std::string::npos)
      return {"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", CloseKind::kEnd,
              true};
    if (this->requests++ > 0)
      return {"HTTP/1.1 201 Again\r\ncontent-length: 0\r\n\r\n"};
    this->was_reused = index > 0;
    return this->cut;
  }

  std::mutex mutex;
  CutResponse cut;
  int requests = 0;
  bool was_reused = false;
  CutServer server;  ///< Last, since its thread uses the other members.
};

std::shared_ptr<CallRecorder> StartCall(IHttpRuntime& runtime,
                                        const std::string& address,
                                        const std::string& method,
                                        const std::string& target,
                                        const CallLimits& limits) {
  auto recorder = std::make_shared<CallRecorder>();
  HttpRequest request;
  request.method = method;
  request.target = target;
  runtime.Call(address, std::move(request), limits, recorder);
  return recorder;
}

/// Returns whether the first `sent` bytes are all that the response has.
bool IsWhole(const WholeResponse& whole, std::size_t sent, CloseKind close,
             const CallLimits& limits) {
  if (!whole.ends_with_connection) return sent == whole.bytes.size();
  return limits.close_ends_response && close != CloseKind::kReset &&
         sent >= whole.HeadBytes();
}

void ExpectCut(IHttpRuntime& runtime, CuttingServer& server,
               const WholeResponse& whole, std::size_t sent, CloseKind close,
               const CallLimits& limits) {
  if (limits.reuse_connection)
    StartCall(runtime, server.address(), "GET", "/warm", limits)->AwaitEnd();
  server.Prepare({whole.bytes.substr(0, sent), close});
  const auto call =
      StartCall(runtime, server.address(), whole.method, "/cut", limits);
  const bool complete = call->AwaitEnd();
  const bool sent_again = server.WasReused() && sent == 0;
  const std::string text = whole.name + ", " + std::to_string(sent) + " of " +
                           std::to_string(whole.bytes.size()) + " bytes, " +
                           NameOf(close) +
                           (limits.reuse_connection ? ", reused" : "");
  cr_expect_eq(server.Requests(), sent_again ? 2 : 1, "%s: %d requests",
               text.c_str(), server.Requests());
  if (sent_again) return;
  cr_expect_eq(complete, IsWhole(whole, sent, close, limits),
               "%s: complete %d, status %d, body '%s', error %s", text.c_str(),
               static_cast<int>(complete), call->status, call->body.c_str(),
               call->error.detail.c_str());
  if (!complete) {
    cr_expect(call->send_state == SendState::kMaybeSent, "%s", text.c_str());
    return;
  }
  const std::size_t missing = whole.bytes.size() - sent;
  cr_expect_eq(call->body, whole.body.substr(0, whole.body.size() - missing),
               "%s: '%s'", text.c_str(), call->body.c_str());
}

void ExpectAllCuts(const CallLimits& limits) {
  CuttingServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  for (const WholeResponse& whole : kResponses) {
    for (const CloseKind close : processes::kCloseKinds) {
      for (std::size_t sent = 0; sent <= whole.bytes.size(); ++sent)
        ExpectCut(*runtime, server, whole, sent, close, limits);
    }
  }
  runtime->Stop();
}

CallLimits ReuseLimits() {
  CallLimits limits;
  limits.reuse_connection = true;
  return limits;
}

/// Returns the server's end of a connection that the next call uses again.
std::shared_ptr<processes::RawConnection> OpenIdleConnection(
    IHttpRuntime& runtime, int listener, const std::string& address) {
  const auto call = StartCall(runtime, address, "GET", "/", ReuseLimits());
  auto connection = std::make_shared<processes::RawConnection>(
      accept(listener, nullptr, nullptr));
  connection->ReadRequest();
  connection->Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  cr_assert(call->AwaitEnd());
  return connection;
}

}  // namespace

// Guards against a response that ends within its head or body and is taken for
// a complete one.
Test(cut_response, is_not_complete, .timeout = 60) {
  ExpectAllCuts(CallLimits{});
}

// Guards against a cut head that is taken for that of a response which ends
// with its connection.
Test(cut_response, is_not_complete_where_a_close_may_end_it, .timeout = 60) {
  CallLimits limits;
  limits.close_ends_response = true;
  ExpectAllCuts(limits);
}

// Guards against a request that runs twice although its response had begun.
Test(cut_response, on_a_reused_connection_does_not_repeat_the_request,
     .timeout = 60) {
  ExpectAllCuts(ReuseLimits());
}

// Guards against a call that exceeds its total time, since it sends its request
// again when the first copy has timed out.
Test(cut_response, that_never_comes_on_a_reused_connection_ends_the_call,
     .timeout = 60) {
  std::string address;
  const int listener = processes::ListenAt("127.0.0.1:0", address);
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  const auto connection = OpenIdleConnection(*runtime, listener, address);
  CallLimits limits = ReuseLimits();
  limits.total_timeout = kernel::Millis(200);
  const auto call = StartCall(*runtime, address, "GET", "/", limits);
  cr_assert_neq(connection->ReadRequest(), "");
  cr_expect_not(call->AwaitEnd());
  cr_expect(call->error.code == kernel::ErrorCode::kTimeout);
  pollfd another{listener, POLLIN, 0};
  cr_expect_eq(poll(&another, 1, 0), 0, "sent again");
  runtime->Stop();
  close(listener);
}

// Guards against a request that may have run, and is reported as not sent
// because no second connection could be opened.
Test(cut_response, on_a_reused_connection_may_have_reached_the_server,
     .timeout = 60) {
  std::string address;
  const int listener = processes::ListenAt("127.0.0.1:0", address);
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  auto connection = OpenIdleConnection(*runtime, listener, address);
  const auto call = StartCall(*runtime, address, "GET", "/", ReuseLimits());
  cr_assert_neq(connection->ReadRequest(), "");
  close(listener);
  connection.reset();
  cr_expect_not(call->AwaitEnd());
  cr_expect(call->error.code == kernel::ErrorCode::kUnreachable);
  cr_expect(call->send_state == SendState::kMaybeSent);
  runtime->Stop();
}

// Guards against a coded body that is taken for the body itself.
Test(cut_response, in_an_unknown_coding_is_not_complete, .timeout = 60) {
  CuttingServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  CallLimits limits;
  limits.close_ends_response = true;
  const std::pair<const char*, bool> codings[] = {
      {"chunked", true}, {"Chunked", true},
      {"gzip", false},   {"gzip, chunked", false},
      {"chunk", false},  {"chunked, gzip", false},
      {"", false}};
  for (const auto& [coding, is_known] : codings) {
    server.Prepare({std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: ") +
                    coding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"});
    const auto call =
        StartCall(*runtime, server.address(), "GET", "/cut", limits);
    cr_expect_eq(call->AwaitEnd(), is_known, "%s: '%s'", coding,
                 call->body.c_str());
  }
  runtime->Stop();
}

}  // namespace banyanlane::http
