#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <limits>
#include <mutex>

#include "http/i_http_runtime.h"

namespace banyanlane::http {
namespace {

/// Server whose connection accepts only a little data until it is read.
class SlowServer {
 public:
  SlowServer() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int kSmallestBuffer = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &kSmallestBuffer,
               sizeof(kSmallestBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    // NOLINTNEXTLINE: the socket interface requires the cast.
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    cr_assert_eq(bind(this->listener, generic, length), 0);
    cr_assert_eq(listen(this->listener, 1), 0);
    getsockname(this->listener, generic, &length);
    this->bound_port = ntohs(address.sin_port);
  }
  ~SlowServer() {
    close(this->connection);
    close(this->listener);
  }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->bound_port);
  }

  /// Accepts a connection, and waits until more than `bytes` have arrived.
  void AcceptAndAwait(std::size_t bytes) {
    this->connection = accept(this->listener, nullptr, nullptr);
    ssize_t count = 0;
    while (count >= 0 && static_cast<std::size_t>(count) <= bytes) {
      count = recv(this->connection, this->block.data(), this->block.size(),
                   MSG_PEEK);
    }
  }

  /// Sends a response head without a length and then a body, until the peer
  /// closes the connection or `limit` bytes are sent.
  /// @return the number of body bytes.
  std::size_t SendBodyUntilClosed(std::size_t limit) {
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    send(this->connection, head.data(), head.size(), MSG_NOSIGNAL);
    std::size_t total = 0;
    ssize_t count = 0;
    while (total < limit && count >= 0) {
      count = send(this->connection, this->block.data(), this->block.size(),
                   MSG_NOSIGNAL);
      total += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    shutdown(this->connection, SHUT_WR);
    return total;
  }

  /// Accepts a further connection, if the peer opens one within `timeout`.
  bool AcceptAnother(kernel::Millis timeout) {
    pollfd waiting{this->listener, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(timeout.count())) != 1) return false;
    close(this->connection);
    this->connection = accept(this->listener, nullptr, nullptr);
    return true;
  }

  void Send(std::string_view text) {
    send(this->connection, text.data(), text.size(), MSG_NOSIGNAL);
  }

  /// Reads until the connection ends, and returns the number of bytes.
  std::size_t ReadToEnd() {
    std::size_t total = 0;
    ssize_t count = 0;
    while ((count = recv(this->connection, this->block.data(),
                         this->block.size(), 0)) > 0) {
      total += static_cast<std::size_t>(count);
    }
    return total;
  }

 private:
  int listener;
  int connection = -1;
  std::uint16_t bound_port = 0;
  std::array<char, 64 * 1024> block{};
};

/// Waits for the end of a call.
class EndObserver : public IHttpCallObserver {
 public:
  void OnHead(int status, const Headers& /*headers*/) override {
    this->head_status = status;
  }
  void OnData(std::string_view /*data*/) override {}
  void OnEnd() override { this->SetEnded(); }
  void OnFailed(const kernel::Error& /*error*/, SendState /*state*/) override {
    this->SetEnded();
  }
  /// Waits for the end of the call.
  /// @return the status of the response, or 0 if there was none.
  int AwaitEnd() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [this] { return this->ended; });
    return this->head_status;
  }

 private:
  void SetEnded() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ended = true;
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  bool ended = false;
  int head_status = 0;  ///< Written before the call ends.
};

constexpr std::size_t kBodyBytes = 12'000;
/// Upper bound of the request's head.
constexpr std::size_t kHeadBytes = 200;
/// More than the body of any response that a call accepts by default.
constexpr std::size_t kEndlessBytes = std::size_t{256} * 1024 * 1024;

HttpRequest LargeRequest() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/work";
  request.body = std::string(kBodyBytes, 'x');
  return request;
}

}  // namespace

Test(http_call, an_aborted_request_is_not_delivered_afterwards) {
  SlowServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  const auto observer = std::make_shared<EndObserver>();
  const auto call =
      runtime->Call(server.address(), LargeRequest(), CallLimits{}, observer);
  server.AcceptAndAwait(kHeadBytes);
  call->Abort();
  observer->AwaitEnd();
  const std::size_t delivered = server.ReadToEnd();
  cr_expect_lt(delivered, kBodyBytes, "%zu", delivered);
  runtime->Stop();
}

Test(http_call, a_timed_out_request_is_not_delivered_afterwards) {
  SlowServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  const auto observer = std::make_shared<EndObserver>();
  CallLimits limits;
  limits.head_timeout = kernel::Millis(200);
  const auto call =
      runtime->Call(server.address(), LargeRequest(), limits, observer);
  server.AcceptAndAwait(kHeadBytes);
  observer->AwaitEnd();
  const std::size_t delivered = server.ReadToEnd();
  cr_expect_lt(delivered, kBodyBytes, "%zu", delivered);
  runtime->Stop();
}

Test(http_call, ends_a_response_body_without_end) {
  SlowServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  const auto observer = std::make_shared<EndObserver>();
  CallLimits limits;
  limits.close_ends_response = true;
  runtime->Call(server.address(), HttpRequest{}, limits, observer);
  server.AcceptAndAwait(0);
  const std::size_t sent = server.SendBodyUntilClosed(kEndlessBytes);
  observer->AwaitEnd();
  cr_expect_lt(sent, kEndlessBytes, "%zu", sent);
  runtime->Stop();
}

Test(http_call, ends_a_response_that_goes_on_beyond_its_total_time) {
  SlowServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  const auto observer = std::make_shared<EndObserver>();
  CallLimits limits;
  limits.close_ends_response = true;
  limits.max_body_bytes = kUnlimitedBody;
  limits.total_timeout = kernel::Millis(200);
  runtime->Call(server.address(), HttpRequest{}, limits, observer);
  server.AcceptAndAwait(0);
  // Ends only when the call closes its connection.
  server.SendBodyUntilClosed(std::numeric_limits<std::size_t>::max());
  observer->AwaitEnd();
  runtime->Stop();
}

// Guards against an interim response that is taken for the final one.
Test(http_call, skips_interim_responses) {
  const std::string early = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
  const std::string final_response =
      "HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n";
  const std::string switching =
      "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n";
  std::string endless;
  for (int i = 0; i < 100; ++i) endless += early;
  const std::pair<std::string, int> cases[] = {
      {early + early + final_response, 201},
      {"HTTP/1.1 100 Continue\r\n\r\n" + final_response, 201},
      {"HTTP/1.1 199 Unknown\r\n\r\n" + final_response, 201},
      {"HTTP/1.1 000 None\r\n\r\n" + final_response, 0},
      {"HTTP/1.1 099 None\r\n\r\n" + final_response, 0},
      {"HTTP/1.1 600 None\r\ncontent-length: 0\r\n\r\n", 0},
      {"HTTP/1.1 599 Unknown\r\ncontent-length: 0\r\n\r\n", 599},
      {"HTTP/1.1 103 Early Hints\r\ncontent-length: 2\r\n\r\nok" +
           final_response,
       0},
      {switching + final_response, 0},
      {endless, 0}};
  for (const auto& [text, status] : cases) {
    SlowServer server;
    const auto runtime = MakeHttpRuntime();
    runtime->Start(1);
    const auto observer = std::make_shared<EndObserver>();
    runtime->Call(server.address(), HttpRequest{}, CallLimits{}, observer);
    server.AcceptAndAwait(0);
    server.Send(text);
    cr_expect_eq(observer->AwaitEnd(), status, "%s", text.c_str());
    runtime->Stop();
  }
}

// Guards against a late second copy of a response that is taken for the
// response to the next request of its connection.
Test(http_call, reuses_no_connection_on_which_something_has_arrived) {
  SlowServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  CallLimits limits;
  limits.reuse_connection = true;
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
  const auto first = std::make_shared<EndObserver>();
  runtime->Call(server.address(), HttpRequest{}, limits, first);
  server.AcceptAndAwait(0);
  server.Send(refusal);
  cr_assert_eq(first->AwaitEnd(), 503);
  server.Send(refusal);
  const auto second = std::make_shared<EndObserver>();
  runtime->Call(server.address(), HttpRequest{}, limits, second);
  cr_expect(server.AcceptAnother(kernel::Millis(5'000)));
  server.Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  cr_expect_eq(second->AwaitEnd(), 200);
  runtime->Stop();
}

// Guards against an observer that owns the holder of its call, so that neither
// is ever freed, and against a connection that stays open with them.
Test(http_call, an_ended_call_holds_neither_its_observer_nor_its_connection,
     .timeout = 60) {
  SlowServer server;
  const auto runtime = MakeHttpRuntime();
  runtime->Start(1);
  auto observer = std::make_shared<EndObserver>();
  const std::weak_ptr<EndObserver> released = observer;
  const auto call =
      runtime->Call(server.address(), HttpRequest{}, CallLimits{}, observer);
  server.AcceptAndAwait(0);
  server.Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
  observer->AwaitEnd();
  observer.reset();
  // Returns only when the call has closed its connection.
  server.ReadToEnd();
  call->Abort();
  runtime->Stop();
  cr_expect(released.expired());
}

}  // namespace banyanlane::http
