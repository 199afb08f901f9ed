#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "http/i_http_handler.h"
#include "http/internal/asio_http.h"
#include "http/internal/i_exchange_host.h"
#include "http/internal/write_deadline.h"

namespace banyanlane::http {

/// Part of an exchange that can outlive the exchange. Ends the wait of the
/// exchange when it is notified or when the caller disconnects.
class ExchangeSignal : public INotifier,
                       public std::enable_shared_from_this<ExchangeSignal> {
 public:
  explicit ExchangeSignal(const Strand& strand)
      : strand(strand), timer(strand), check_timer(strand) {}

  void Notify() override;

  /// Monitors `socket` for a disconnect of the caller. Data that arrives before
  /// it, such as the next request, is added to `buffer`. When that holds too
  /// much, only the state of the connection is checked. Must run on the strand.
  void WatchForDisconnect(StrandStream::socket_type& socket,
                          beast::flat_buffer& buffer);

  /// Stops using the socket and the buffer, since the exchange has ended. Must
  /// run on the strand.
  void Detach() {
    this->detached = true;
    this->check_timer.cancel();
  }

  /// Suspends until notified, until the caller disconnects or until `until`.
  /// Must run on the strand.
  WakeReason Wait(kernel::TimePoint until, asio::yield_context yield);

 private:
  /// Checks from time to time whether the caller has closed its connection,
  /// since nothing more is read from it.
  void CheckForDisconnect(StrandStream::socket_type& socket);
  void MarkDisconnected();

  Strand strand;
  asio::steady_timer timer;
  asio::steady_timer check_timer;
  std::atomic<bool> notified{false};
  bool caller_disconnected = false;
  bool detached = false;
};

/// Implements IHttpExchange with Boost.Beast.
class HttpExchange : public IHttpExchange {
 public:
  /// @param buffer received data that does not belong to this exchange.
  /// @param host the connection.
  HttpExchange(StrandStream& stream, beast::flat_buffer& buffer,
               const Strand& strand, asio::yield_context yield,
               HttpRequest request, const ServerLimits& limits, bool keep_alive,
               IExchangeHost& host);
  ~HttpExchange() override;

  const HttpRequest& request() const override { return this->received; }
  HttpRequest TakeRequest() override { return std::move(this->received); }
  std::shared_ptr<INotifier> notifier() override { return this->signal; }
  std::shared_ptr<IResponseMemory> response_memory() override;
  WakeReason Wait(kernel::TimePoint until) override;
  bool HoldMemory(std::uint64_t bytes) override {
    return this->host.HoldRequestMemory(bytes);
  }
  void CloseAfterResponse() override { this->closes_when_idle = true; }
  void Reply(const HttpResponse& response) override;
  bool BeginStream(int status, const Headers& headers) override;
  bool WriteChunk(std::string_view data) override;
  void EndStream() override;
  void Abort() override;

  /// Returns whether a complete response has been sent.
  bool IsComplete() const { return this->ended && !this->failed; }
  /// Returns whether the connection can serve another request.
  bool CanContinue() const { return this->keep_alive && this->IsComplete(); }

 private:
  void SetFields(beast::http::fields& fields, const Headers& headers) const;
  /// Runs `write_steps`, which write to the stream and report their failure,
  /// while the caller takes data.
  /// @return whether they succeeded.
  template <typename WriteSteps>
  bool Write(WriteSteps write_steps);
  /// Writes all of `buffers`.
  template <typename Buffers>
  void WriteBuffers(const Buffers& buffers, beast::error_code& failure);
  /// Decides whether the connection closes after the response that begins.
  void DecideClose();

  StrandStream& stream;
  beast::flat_buffer& buffer;
  asio::yield_context yield;
  IExchangeHost& host;
  HttpRequest received;
  bool is_head;  ///< Responses to the request have no body.
  std::shared_ptr<WriteDeadline> write_deadline;
  std::shared_ptr<ExchangeSignal> signal;
  std::shared_ptr<IResponseMemory> memory;  ///< Null until it is used.
  bool keep_alive;
  bool closes_when_idle = false;  ///< Whether CloseAfterResponse was called.
  bool watching = false;
  bool ended = false;
  bool failed = false;
};

}  // namespace banyanlane::http
