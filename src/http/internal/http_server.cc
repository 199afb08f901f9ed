#include "http/internal/http_server.h"

#include <array>
#include <exception>
#include <memory>
#include <optional>

#include "http/internal/http_exchange.h"
#include "kernel/event_log.h"

namespace banyanlane::http {
namespace {

constexpr std::size_t kDiscardBytes = std::size_t{16} * 1024;
constexpr kernel::Millis kDiscardTime{2'000};

/// Status for a request that could not be read, or nothing when the caller just
/// closed.
std::optional<HttpResponse> AnswerToUnreadable(
    const beast::error_code& failure) {
  using beast::http::error;
  if (failure == error::end_of_stream ||
      failure == asio::error::operation_aborted)
    return {};
  int status = 400;
  if (failure == error::header_limit) status = 431;
  if (failure == error::body_limit) status = 413;
  if (failure == beast::error::timeout || failure == error::partial_message)
    status = 408;
  HttpResponse response;
  response.status = status;
  response.headers = {{"content-type", "application/problem+json"}};
  response.body =
      "{\"outcome\":\"not_run\",\"status\":" + std::to_string(status) +
      ",\"step\":\"read_request\",\"title\":\"" + failure.message() + "\"}\n";
  return response;
}

std::string PeerOf(StrandStream& stream) {
  beast::error_code failure;
  const tcp::endpoint peer = stream.socket().remote_endpoint(failure);
  if (failure) return "";
  return peer.address().to_string() + ":" + std::to_string(peer.port());
}

HttpRequest CopyRequest(
    const beast::http::request<beast::http::string_body>& message,
    std::string peer) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyFields(message);
  request.body = message.body();
  request.peer = std::move(peer);
  return request;
}

}  // namespace

HttpServer::HttpServer(asio::io_context& io,
                       std::shared_ptr<IHttpHandler> handler,
                       const ServerLimits& limits)
    : io(io), acceptor(io), handler(std::move(handler)), limits(limits) {}

kernel::Result<std::uint16_t> HttpServer::Open(const tcp::endpoint& endpoint) {
  beast::error_code failure;
  this->acceptor.open(endpoint.protocol(), failure);
  if (!failure)
    this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  if (!failure) this->acceptor.bind(endpoint, failure);
  if (!failure)
    this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) {
    return kernel::Error{
        kernel::ErrorCode::kInvalidSettings, "listen",
        endpoint.address().to_string() + ":" + std::to_string(endpoint.port()),
        failure.message()};
  }
  this->bound_port = this->acceptor.local_endpoint().port();
  this->Accept();
  return this->bound_port;
}

void HttpServer::StopAccepting() {
  asio::post(this->io, [self = this->shared_from_this()] {
    beast::error_code ignored;
    self->acceptor.close(ignored);
  });
}

void HttpServer::SetLimits(const ServerLimits& limits) {
  const std::lock_guard<std::mutex> lock(this->limits_mutex);
  this->limits = limits;
}

ServerLimits HttpServer::CurrentLimits() const {
  const std::lock_guard<std::mutex> lock(this->limits_mutex);
  return this->limits;
}

void HttpServer::Accept() {
  auto strand = asio::make_strand(this->io.get_executor());
  auto stream = std::make_shared<StrandStream>(strand);
  this->acceptor.async_accept(
      stream->socket(), [self = this->shared_from_this(), strand,
                         stream](const beast::error_code& failure) {
        if (failure == asio::error::operation_aborted) return;
        if (!self->acceptor.is_open()) return;
        self->Accept();
        if (failure) return;
        SetTransportTimeouts(stream->socket().native_handle());
        asio::spawn(strand, [self, strand, stream](asio::yield_context yield) {
          self->Serve(*stream, strand, yield);
        });
      });
}

void HttpServer::Serve(StrandStream& stream, const Strand& strand,
                       asio::yield_context yield) {
  beast::flat_buffer buffer;
  while (this->ServeOne(stream, strand, buffer, yield)) {
  }
  beast::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void HttpServer::Discard(StrandStream& stream, asio::yield_context yield) {
  beast::error_code failure;
  stream.socket().shutdown(tcp::socket::shutdown_send, failure);
  stream.expires_after(kDiscardTime);
  std::array<char, kDiscardBytes> discarded;  // NOLINT: never read.
  while (!failure) {
    stream.async_read_some(asio::buffer(discarded), yield[failure]);
  }
}

bool HttpServer::ReadRequest(StrandStream& stream, const Strand& strand,
                             beast::flat_buffer& buffer, RequestParser& parser,
                             const ServerLimits& limits,
                             asio::yield_context yield,
                             beast::error_code& failure) {
  // The stream's own timeout would close the socket, and the caller never learn
  // why.
  struct Watch {
    bool reading = true;
    bool late = false;
  };
  const auto watch = std::make_shared<Watch>();
  asio::steady_timer timer(strand, kernel::Millis(limits.read_timeout_ms));
  timer.async_wait([watch, &stream](const beast::error_code& cancelled) {
    if (cancelled || !watch->reading) return;
    watch->late = true;
    stream.cancel();
  });
  beast::http::async_read(stream, buffer, parser, yield[failure]);
  watch->reading = false;
  return watch->late;
}

void HttpServer::HandleGuarded(HttpExchange& exchange) {
  try {
    this->handler->Handle(exchange);
  } catch (const std::exception& failure) {
    // One request that its handler can't cope with must not end the process.
    kernel::LogEvent(
        kernel::EventId::kHandlerFailed,
        {{"path", exchange.request().Path()}, {"reason", failure.what()}});
    exchange.Abort();
  }
}

bool HttpServer::ServeOne(StrandStream& stream, const Strand& strand,
                          beast::flat_buffer& buffer,
                          asio::yield_context yield) {
  const ServerLimits limits = this->CurrentLimits();
  RequestParser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  beast::error_code failure;
  if (buffer.size() == 0) {
    stream.expires_after(kernel::Millis(limits.idle_timeout_ms));
    const std::size_t count = stream.async_read_some(
        buffer.prepare(limits.header_bytes), yield[failure]);
    if (failure) return false;
    buffer.commit(count);
  }
  stream.expires_never();
  if (this->ReadRequest(stream, strand, buffer, parser, limits, yield,
                        failure)) {
    failure = beast::error::timeout;
  }
  if (failure) {
    const auto answer = AnswerToUnreadable(failure);
    if (!answer) return false;
    HttpExchange exchange(stream, strand, yield, HttpRequest{}, limits, false);
    exchange.Reply(*answer);
    this->Discard(stream, yield);
    return false;
  }
  ++this->active;
  HttpExchange exchange(stream, strand, yield,
                        CopyRequest(parser.get(), PeerOf(stream)), limits,
                        parser.get().keep_alive());
  this->HandleGuarded(exchange);
  --this->active;
  stream.expires_never();
  return exchange.CanContinue() && this->acceptor.is_open();
}

}  // namespace banyanlane::http
