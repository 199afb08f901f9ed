#pragma once

#include <memory>
#include <optional>
#include <string>

#include "http/i_http_runtime.h"
#include "http/internal/asio_http.h"
#include "http/internal/connection_cache.h"

namespace banyanlane::http {

/// Call that runs as a coroutine, which owns the call while it is in progress.
/// An ended call owns neither its observer nor its connection, whoever still
/// holds it, so that an observer may own an object that holds the call.
class HttpCall : public IHttpCall,
                 public std::enable_shared_from_this<HttpCall> {
 public:
  /// @param cache idle connections to reuse; may be null.
  HttpCall(asio::io_context& io, std::shared_ptr<ConnectionCache> cache,
           std::string address, HttpRequest request, const CallLimits& limits,
           std::shared_ptr<IHttpCallObserver> observer);

  void Start();
  void Abort() override;
  void Pause() override;
  void Resume() override;

 private:
  /// Parser of one response. Each response needs a new one.
  using Parser =
      std::optional<beast::http::response_parser<beast::http::buffer_body>>;

  /// Returns whether responses end with their head.
  bool IsHead() const { return this->request.method == kHeadMethod; }
  /// Runs the call and reports its end, also if it fails with an exception.
  void Run(asio::yield_context yield);
  void SendAndReceive(asio::yield_context yield);
  /// Runs the call on the reused connection.
  /// @return false if the peer closed the connection before anything of the
  /// response arrived, so that the call must use a new one.
  bool TryIdleConnection(asio::yield_context yield);
  /// Opens the new connection.
  /// @return false if this failed and the failure was reported to the observer.
  bool Connect(asio::yield_context yield);
  /// Writes the request to the connection. Reports no failure to the observer.
  beast::error_code WriteRequest(asio::yield_context yield);
  /// Writes the request and frees its body.
  /// @return false if this failed and the failure was reported to the observer.
  bool SendRequest(asio::yield_context yield);
  /// Reads the head of the final response. Interim ones are skipped. Fails at a
  /// response that is neither.
  beast::error_code ReadFinalHead(Parser& parser, asio::yield_context yield);
  /// Passes the response head to the observer and reads the body.
  /// @param failure failure to read the head, with which the call ends.
  void FinishResponse(Parser& parser, const beast::error_code& failure,
                      asio::yield_context yield);
  void ReadBody(Parser& parser, asio::yield_context yield);
  /// Sets whether closing the connection resets it. The operating system still
  /// delivers a request after an orderly close, however long that takes.
  void SetResetOnClose(bool reset);
  void WaitWhilePaused(asio::yield_context yield);
  /// Releases the observer and the connection.
  /// @return the observer, which receives the end of the call.
  std::shared_ptr<IHttpCallObserver> End();
  void Fail(std::string_view step, const beast::error_code& failure);

  /// Null if the call must not reuse connections.
  std::shared_ptr<ConnectionCache> cache;
  HttpConnectionPtr connection;  ///< Null after the end of the call.
  /// Whether the first connection of the call came from the cache.
  bool is_reused = false;
  Strand strand;  ///< Strand of the connection.
  asio::steady_timer pause_timer;
  std::string address;
  HttpRequest request;
  CallLimits limits;
  /// Null after the end of the call.
  std::shared_ptr<IHttpCallObserver> observer;
  kernel::TimePoint deadline = kernel::TimePoint::max();
  /// Whether the peer can have received the request on any connection.
  SendState send_state = SendState::kNotSent;
  bool response_begun = false;  ///< Whether any of a response has arrived.
  bool paused = false;
  bool aborted = false;
};

}  // namespace banyanlane::http
