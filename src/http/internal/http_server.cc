#include "http/internal/http_server.h"

#include <exception>
#include <utility>

#include "http/internal/caller_connection.h"
#include "http/internal/http_exchange.h"
#include "http/internal/response_memory.h"
#include "kernel/event_log.h"

namespace banyanlane::http {
namespace {

/// Pause after a failed accept or when there is no capacity for another
/// connection. Descriptors are freed when requests end, which takes some tens
/// of milliseconds.
constexpr kernel::Millis kAcceptPause{50};
/// Accepting counts as recovered after this time without a failure, so that
/// sporadic failures cause few log lines.
constexpr kernel::Millis kRecoveryTime{1'000};

std::string Describe(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

HttpServer::HttpServer(asio::io_context& io,
                       std::shared_ptr<IHttpHandler> handler,
                       const ServerLimits& limits, SharedResources resources)
    : io(io),
      acceptor(io),
      pause_timer(io),
      request_handler(std::move(handler)),
      limits(limits),
      resources(std::move(resources)) {}

kernel::Result<std::uint16_t> HttpServer::Open(const tcp::endpoint& endpoint) {
  beast::error_code failure;
  this->acceptor.open(endpoint.protocol(), failure);
  if (!failure)
    this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  if (!failure) this->acceptor.bind(endpoint, failure);
  if (!failure)
    this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) {
    return kernel::Error{kernel::ErrorCode::kInvalidSettings, "listen",
                         Describe(endpoint), failure.message()};
  }
  this->bound_port = this->acceptor.local_endpoint().port();
  this->accepting = true;
  this->Accept();
  return this->bound_port;
}

void HttpServer::StopAccepting() {
  this->accepting = false;
  this->resources.tracker->CloseIdleOf(*this);
  asio::post(this->io, [self = this->shared_from_this()] {
    beast::error_code ignored;
    self->acceptor.close(ignored);
    self->pause_timer.cancel();
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

std::shared_ptr<IResponseMemory> HttpServer::MakeResponseMemory(
    std::shared_ptr<std::atomic<std::uint64_t>> held_bytes) const {
  return std::make_shared<ResponseMemory>(this->resources.responses,
                                          this->resources.tracker,
                                          std::move(held_bytes));
}

void HttpServer::Accept() {
  if (this->resources.tracker->IsFull(kernel::Clock::now()))
    return this->AcceptAfterPause();
  auto connection =
      std::make_shared<CallerConnection>(this->io, this->shared_from_this());
  this->acceptor.async_accept(connection->socket(),
                              [self = this->shared_from_this(),
                               connection](const beast::error_code& failure) {
                                self->OnAccepted(connection, failure);
                              });
}

void HttpServer::AcceptAfterPause() {
  this->pause_timer.expires_after(kAcceptPause);
  this->pause_timer.async_wait(
      [self = this->shared_from_this()](const beast::error_code& /*ended*/) {
        if (self->accepting) self->Accept();
      });
}

void HttpServer::OnAccepted(const std::shared_ptr<CallerConnection>& connection,
                            const beast::error_code& failure) {
  if (!this->accepting) return;
  this->RecordAcceptResult(failure);
  if (failure) {
    // Without a free descriptor, an immediate retry would fail as well.
    this->resources.tracker->MakeRoom(kernel::Clock::now());
    this->AcceptAfterPause();
    return;
  }
  connection->Start(this->resources.tracker->Admit(kernel::Clock::now()));
  this->Accept();
}

void HttpServer::RecordAcceptResult(const beast::error_code& failure) {
  const kernel::TimePoint now = kernel::Clock::now();
  const bool has_failed = static_cast<bool>(failure);
  if (has_failed) {
    ++this->failed_accepts;
    this->last_failure = now;
  }
  const bool has_recovered = now - this->last_failure >= kRecoveryTime;
  if (has_failed == this->is_failing || (!has_failed && !has_recovered)) return;
  this->is_failing = has_failed;
  const std::string port = std::to_string(this->bound_port);
  if (has_failed) {
    kernel::LogEvent(kernel::EventId::kAcceptFailing,
                     {{"port", port}, {"reason", failure.message()}});
  } else {
    kernel::LogEvent(
        kernel::EventId::kAcceptRecovered,
        {{"port", port}, {"failed", std::to_string(this->failed_accepts)}});
  }
}

void HttpServer::Handle(HttpExchange& exchange) {
  ++this->active;
  try {
    this->request_handler->Handle(exchange);
  } catch (const std::exception& failure) {
    // An exception in the handling of one request must not end the process.
    kernel::LogEvent(
        kernel::EventId::kHandlerFailed,
        {{"path", exchange.request().Path()}, {"reason", failure.what()}});
    exchange.Abort();
  }
  --this->active;
}

}  // namespace banyanlane::http
