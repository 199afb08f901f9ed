#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "http/i_http_runtime.h"
#include "http/internal/asio_http.h"

namespace banyanlane::http {

class HttpExchange;

/// Accepts connections and runs one coroutine for each.
class HttpServer : public IHttpServer,
                   public std::enable_shared_from_this<HttpServer> {
 public:
  HttpServer(asio::io_context& io, std::shared_ptr<IHttpHandler> handler,
             const ServerLimits& limits);

  /// Binds to `endpoint` and begins to accept.
  kernel::Result<std::uint16_t> Open(const tcp::endpoint& endpoint);

  std::uint16_t port() const override { return this->bound_port; }
  void StopAccepting() override;
  void SetLimits(const ServerLimits& limits) override;
  std::size_t ActiveExchanges() const override { return this->active; }

 private:
  void Accept();
  void Serve(StrandStream& stream, const Strand& strand,
             asio::yield_context yield);
  using RequestParser = beast::http::request_parser<beast::http::string_body>;

  /// Reads one request. @return whether its time was up before it was whole.
  static bool ReadRequest(StrandStream& stream, const Strand& strand,
                          beast::flat_buffer& buffer, RequestParser& parser,
                          const ServerLimits& limits, asio::yield_context yield,
                          beast::error_code& failure);
  void HandleGuarded(HttpExchange& exchange);
  /// Answers one request. @return whether the connection goes on.
  bool ServeOne(StrandStream& stream, const Strand& strand,
                beast::flat_buffer& buffer, asio::yield_context yield);

  ServerLimits CurrentLimits() const;

  /// Reads on for a while, so that a refusal is not lost under a body that
  /// still comes in.
  void Discard(StrandStream& stream, asio::yield_context yield);

  asio::io_context& io;
  tcp::acceptor acceptor;
  std::shared_ptr<IHttpHandler> handler;
  mutable std::mutex limits_mutex;
  ServerLimits limits;
  std::uint16_t bound_port = 0;
  std::atomic<std::size_t> active{0};
};

}  // namespace banyanlane::http
