#pragma once

#include <memory>
#include <string>

#include "http/i_http_runtime.h"
#include "http/internal/asio_http.h"
#include "http/internal/connection_cache.h"

namespace banyanlane::http {

/// One call, run as a coroutine.
class HttpCall : public IHttpCall,
                 public std::enable_shared_from_this<HttpCall> {
 public:
  /// @param cache of idle connections; may be null.
  HttpCall(asio::io_context& io, std::shared_ptr<ConnectionCache> cache,
           std::string address, HttpRequest request, const CallLimits& limits,
           std::shared_ptr<IHttpCallObserver> observer);

  void Start();
  void Abort() override;
  void Pause() override;
  void Resume() override;

 private:
  using Parser = beast::http::response_parser<beast::http::buffer_body>;

  void Run(asio::yield_context yield);
  /// Tries a connection that another call has left open. @return whether the
  /// answer's head came over it.
  bool TryIdleConnection(Parser& parser, asio::yield_context yield);
  bool Connect(asio::yield_context yield);
  beast::error_code WriteRequest(asio::yield_context yield);
  bool SendRequest(asio::yield_context yield);
  bool ReadHead(Parser& parser, asio::yield_context yield);
  void ReadBody(Parser& parser, asio::yield_context yield);
  void WaitWhilePaused(asio::yield_context yield);
  void Fail(std::string_view step, const beast::error_code& failure,
            SendState state);

  std::shared_ptr<ConnectionCache> cache;
  HttpConnectionPtr connection;
  bool is_reused = false;  ///< Another call has left the connection open.
  Strand strand;           ///< Of the connection.
  asio::steady_timer pause_timer;
  std::string address;
  HttpRequest request;
  CallLimits limits;
  std::shared_ptr<IHttpCallObserver> observer;
  bool paused = false;
  bool aborted = false;
};

}  // namespace banyanlane::http
