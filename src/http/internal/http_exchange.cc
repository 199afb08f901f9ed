#include "http/internal/http_exchange.h"

#include <absl/cleanup/cleanup.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

#include "http/internal/response_memory.h"

namespace banyanlane::http {
namespace {

/// HTTP/1.1 in the notation of Beast.
constexpr unsigned kHttpVersion = 11;
/// Maximum number of bytes of further requests that are received while one is
/// in progress.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;
/// Maximum number of bytes that are passed to the system at a time.
constexpr std::size_t kMaxWriteBytes = std::size_t{64} * 1024;

/// Interval of the checks whether a caller has left whose bytes are not read.
constexpr kernel::Millis kDisconnectCheckPeriod{250};

/// Returns whether the peer has closed or reset the connection, also if bytes
/// that it sent before have not been read.
bool IsClosedByPeer(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool is_known =
      getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return is_known &&
         (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void ExchangeSignal::Notify() {
  if (this->notified.exchange(true)) return;
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->timer.cancel(); });
}

void ExchangeSignal::MarkDisconnected() {
  this->caller_disconnected = true;
  this->timer.cancel();
}

void ExchangeSignal::WatchForDisconnect(StrandStream::socket_type& socket,
                                        beast::flat_buffer& buffer) {
  if (buffer.size() >= kMaxPipelinedBytes)
    return this->CheckForDisconnect(socket);
  socket.async_wait(
      tcp::socket::wait_read, [self = this->shared_from_this(), &socket,
                               &buffer](const beast::error_code& failure) {
        if (failure || self->detached) return;
        const auto space = buffer.prepare(kMaxPipelinedBytes - buffer.size());
        const ssize_t count = recv(socket.native_handle(), space.data(),
                                   space.size(), MSG_DONTWAIT);
        // The wait can report readiness for bytes that were read before it
        // began.
        const bool no_data =
            count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (count > 0) buffer.commit(static_cast<std::size_t>(count));
        if (no_data || count > 0)
          return self->WatchForDisconnect(socket, buffer);
        self->MarkDisconnected();
      });
}

void ExchangeSignal::CheckForDisconnect(StrandStream::socket_type& socket) {
  if (IsClosedByPeer(socket.native_handle())) return this->MarkDisconnected();
  this->check_timer.expires_after(kDisconnectCheckPeriod);
  this->check_timer.async_wait([self = this->shared_from_this(),
                                &socket](const beast::error_code& cancelled) {
    if (!cancelled && !self->detached) self->CheckForDisconnect(socket);
  });
}

WakeReason ExchangeSignal::Wait(kernel::TimePoint until,
                                asio::yield_context yield) {
  while (true) {
    if (this->caller_disconnected) return WakeReason::kCallerDisconnected;
    if (this->notified.exchange(false)) return WakeReason::kNotified;
    if (kernel::Clock::now() >= until) return WakeReason::kTimeout;
    this->timer.expires_at(until);
    beast::error_code ignored;
    this->timer.async_wait(yield[ignored]);
  }
}

HttpExchange::HttpExchange(StrandStream& stream, beast::flat_buffer& buffer,
                           const Strand& strand, asio::yield_context yield,
                           HttpRequest request, const ServerLimits& limits,
                           bool keep_alive, IExchangeHost& host)
    : stream(stream),
      buffer(buffer),
      yield(yield),
      host(host),
      received(std::move(request)),
      is_head(received.method == kHeadMethod),
      write_deadline(std::make_shared<WriteDeadline>(
          stream, strand, kernel::Millis(limits.write_timeout_ms))),
      signal(std::make_shared<ExchangeSignal>(strand)),
      keep_alive(keep_alive) {}

HttpExchange::~HttpExchange() {
  this->signal->Detach();
  beast::error_code ignored;
  if (this->watching) this->stream.socket().cancel(ignored);
}

std::shared_ptr<IResponseMemory> HttpExchange::response_memory() {
  if (!this->memory) this->memory = this->host.MakeResponseMemory();
  return this->memory;
}

WakeReason HttpExchange::Wait(kernel::TimePoint until) {
  if (!this->watching)
    this->signal->WatchForDisconnect(this->stream.socket(), this->buffer);
  this->watching = true;
  return this->signal->Wait(until, this->yield);
}

void HttpExchange::SetFields(beast::http::fields& fields,
                             const Headers& headers) const {
  for (const auto& [name, value] : headers) {
    if (!IsHopByHopField(name)) fields.insert(ToBeast(name), ToBeast(value));
  }
}

template <typename WriteSteps>
bool HttpExchange::Write(WriteSteps write_steps) {
  beast::error_code failure;
  {
    const absl::Cleanup on_end = [this] { this->write_deadline->End(); };
    const CallerWaitScope wait(this->host, CallerWait::kResponse);
    this->write_deadline->Begin(kernel::Clock::now());
    write_steps(failure);
  }
  this->failed = static_cast<bool>(failure);
  return !this->failed;
}

template <typename Buffers>
void HttpExchange::WriteBuffers(const Buffers& buffers,
                                beast::error_code& failure) {
  std::size_t counted = 0;
  const auto count = [this, &counted](std::size_t total) {
    this->write_deadline->OnWritten(total - counted);
    counted = total;
  };
  const auto condition = [&count](const beast::error_code& error,
                                  std::size_t total) -> std::size_t {
    count(total);
    return error ? 0 : kMaxWriteBytes;
  };
  count(asio::async_write(this->stream, buffers, condition,
                          this->yield[failure]));
}

void HttpExchange::DecideClose() {
  const bool is_idle = this->buffer.size() == 0;
  if (this->closes_when_idle && is_idle) this->keep_alive = false;
}

void HttpExchange::Reply(const HttpResponse& response) {
  if (response.body.size() > kUncountedResponseBytes &&
      !this->response_memory()->Resize(response.body.size()))
    return this->Abort();
  this->DecideClose();
  beast::http::response<beast::http::span_body<const char>> message;
  message.version(kHttpVersion);
  message.result(static_cast<unsigned>(response.status));
  this->SetFields(message, response.headers);
  message.keep_alive(this->keep_alive);
  message.body() = {response.body.data(), response.body.size()};
  // The body of an endpoint's response to HEAD is empty, and its length is not
  // known here.
  if (!this->is_head || !response.body.empty()) message.prepare_payload();
  beast::http::response_serializer<beast::http::span_body<const char>>
      serializer(message);
  this->Write([&](beast::error_code& failure) {
    if (this->is_head) {
      beast::http::async_write_header(this->stream, serializer,
                                      this->yield[failure]);
      return;
    }
    while (!failure && !serializer.is_done()) {
      this->write_deadline->OnWritten(beast::http::async_write_some(
          this->stream, serializer, this->yield[failure]));
    }
  });
  this->ended = true;
}

bool HttpExchange::BeginStream(int status, const Headers& headers) {
  this->DecideClose();
  beast::http::response<beast::http::empty_body> message;
  message.version(kHttpVersion);
  message.result(static_cast<unsigned>(status));
  this->SetFields(message, headers);
  message.keep_alive(this->keep_alive);
  message.chunked(true);
  beast::http::response_serializer<beast::http::empty_body> serializer(message);
  return this->Write([&](beast::error_code& failure) {
    beast::http::async_write_header(this->stream, serializer,
                                    this->yield[failure]);
  });
}

bool HttpExchange::WriteChunk(std::string_view data) {
  if (data.empty() || this->failed || this->is_head) return !this->failed;
  return this->Write([&](beast::error_code& failure) {
    this->WriteBuffers(
        beast::http::make_chunk(asio::const_buffer(data.data(), data.size())),
        failure);
  });
}

void HttpExchange::EndStream() {
  if (this->failed) return;
  this->ended = true;
  if (this->is_head) return;
  this->Write([&](beast::error_code& failure) {
    this->WriteBuffers(beast::http::make_chunk_last(), failure);
  });
}

void HttpExchange::Abort() {
  this->failed = true;
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

}  // namespace banyanlane::http
