#pragma once

#include <atomic>
#include <memory>
#include <optional>

#include "http/internal/asio_http.h"
#include "http/internal/connection_tracker.h"
#include "http/internal/i_exchange_host.h"
#include "http/internal/memory_budget.h"
#include "http/internal/request_framing.h"

namespace banyanlane::http {

class HttpServer;

/// Server side of one connection of a caller. Allocates a coroutine and buffers
/// only while it serves a request, so that idle connections use little memory.
class CallerConnection : public ITrackedConnection,
                         public IExchangeHost,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(asio::io_context& io, std::shared_ptr<HttpServer> server);
  ~CallerConnection() override;

  StrandStream::socket_type& socket() { return this->stream.socket(); }

  /// Starts waiting for requests on an accepted connection.
  /// @param decision result of ConnectionTracker::Admit, which has counted the
  /// connection.
  void Start(Admission decision);

  void CloseIdle() override;
  void GiveWay(std::uint64_t ticket) override;
  std::uint64_t HeldBytes(CallerWait wait) const override;
  void BeginWait(CallerWait wait) override;
  void EndWait() override;
  bool HoldRequestMemory(std::uint64_t bytes) override;
  std::shared_ptr<IResponseMemory> MakeResponseMemory() override;

 private:
  using RequestParser = beast::http::request_parser<beast::http::string_body>;

  /// Reason why a request is not passed to IHttpHandler::Handle.
  struct Refusal {
    int status = 0;  ///< Status of the response, or 0 if none is sent.
    std::string reason;
    /// Whether the server lacks capacity. IHttpHandler::RefuseOverload then
    /// determines the response and its status.
    bool is_overload = false;
  };

  struct ReceivedRequest {
    HttpRequest message;
    bool keep_alive = false;  ///< The caller keeps the connection open.
  };

  /// What follows a request.
  enum class NextStep {
    kAwaitRequest,
    kFinish,  ///< The connection ends after a complete response.
    kClose,   ///< The connection ends without one.
  };

  void AwaitRequest();
  void OnReadable(const beast::error_code& failure);
  /// Serves the request that has begun to arrive and the requests that were
  /// read into the buffer with it. Then waits for the next request or closes
  /// the connection.
  void ServeRequests(asio::yield_context yield);
  /// Serves one request.
  NextStep ServeRequest(asio::yield_context yield);
  /// Reads one request.
  /// @param received receives what was read of it. Trailer fields are ignored.
  /// @return the reason for refusing it, or nullopt if it was read completely.
  std::optional<Refusal> ReadRequest(ReceivedRequest& received,
                                     const ServerLimits& limits,
                                     asio::yield_context yield);
  static Refusal TimeoutRefusal();
  /// Reads once into the buffer.
  beast::error_code ReceiveSome(const RequestParser& parser,
                                asio::yield_context yield);
  /// Reads the head, and reserves memory for each part of it.
  std::optional<Refusal> ReadHead(RequestParser& parser,
                                  asio::yield_context yield);
  /// Parses what is in the buffer, without a suspension for each chunk.
  /// @param failure receives the reason if it can't be parsed.
  /// @return the number of bytes parsed.
  std::size_t ParseBuffered(RequestParser& parser, beast::error_code& failure);
  /// Reads the body. Reserves more memory if the body exceeds what is reserved,
  /// which only happens with a chunked body. The trailer section of such a body
  /// and what frames its chunks are limited as well.
  /// @return the reason for refusing the request, or nullopt if the body was
  /// read completely.
  std::optional<Refusal> ReadBody(RequestParser& parser,
                                  const ServerLimits& limits,
                                  asio::yield_context yield);
  /// Reserves memory for a body, waiting until `until` if necessary.
  /// @return false if it exceeds the whole budget or did not become available
  /// in time.
  bool ReserveBodyMemory(std::uint64_t bytes, kernel::TimePoint until,
                         asio::yield_context yield);
  /// Reserves more memory for a body without waiting.
  /// @return false if it is not available.
  bool ExtendBodyMemory(std::uint64_t bytes);
  /// Reserves memory for a head, which has some already if it has grown.
  /// @param bytes memory of all that has arrived of it.
  /// @return false if it is not available.
  bool ReserveHeadMemory(std::uint64_t bytes);
  void ReleaseRequestMemory();
  /// Updates request_bytes. Lets others give way unless `is_held`.
  /// @param bytes what was to be reserved.
  /// @return `is_held`.
  bool CheckHeld(bool is_held, std::uint64_t bytes);
  NextStep SendRefusal(const Refusal& refusal, HttpRequest request,
                       const ServerLimits& limits, asio::yield_context yield);
  /// Shuts down sending, then reads and discards input until the caller closes
  /// the connection or takes nothing for a time. Closing the socket with unread
  /// input would reset the connection, and the caller could lose the response.
  void DiscardInput(asio::yield_context yield);
  /// Returns the request without its body.
  HttpRequest ExtractHead(const RequestHead& head);

  Strand strand;
  StrandStream stream;
  std::shared_ptr<HttpServer> server;
  beast::flat_buffer buffer;
  std::uint64_t idle_ticket = 0;  ///< Ticket of the latest AddIdle.
  std::uint64_t wait_ticket = 0;  ///< Ticket of the current wait, or 0.
  CallerWait current_wait = CallerWait::kRequest;
  MemoryBudget::Allocation body_memory;  ///< Of the current request.
  MemoryBudget::Allocation head_memory;  ///< Of the current request.
  /// Size of both, for other threads.
  std::atomic<std::uint64_t> request_bytes{0};
  /// Memory of the responses on this connection.
  std::shared_ptr<std::atomic<std::uint64_t>> response_bytes =
      std::make_shared<std::atomic<std::uint64_t>>(0);
  bool is_counted = false;  ///< Whether the tracker counts this connection.
  Admission admission = Admission::kServe;  ///< Set by Start.
};

}  // namespace banyanlane::http
