#pragma once

#include <memory>
#include <optional>

#include "http/internal/asio_http.h"
#include "http/internal/body_budget.h"
#include "http/internal/connection_roster.h"

namespace banyanlane::http {

class HttpServer;

/// One connection of a caller. It has a coroutine and buffers only while it
/// carries a request, so that idle ones cost little.
class CallerConnection : public IIdleConnection,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(asio::io_context& io, std::shared_ptr<HttpServer> server);
  ~CallerConnection() override;

  StrandStream::socket_type& socket() { return this->stream.socket(); }

  /// Begins to wait for requests. The connection was accepted and counted.
  void Start(Admission decided);

  void CloseIdle() override;

 private:
  using RequestParser = beast::http::request_parser<beast::http::string_body>;

  /// Why a request is answered before the handler sees it.
  struct Refusal {
    int status = 0;
    std::string reason;
    bool is_overload = false;  ///< The handler words the answer.
  };

  void AwaitRequest();
  void OnReadable(const beast::error_code& failure);
  void ServeWhatCame(asio::yield_context yield);
  /// Answers one request. @return whether the connection goes on.
  bool ServeOne(asio::yield_context yield);
  /// Reads one request. @return why it is refused, or nothing when it is whole.
  std::optional<Refusal> ReadRequest(RequestParser& parser,
                                     BodyBudget::Lease& lease,
                                     const ServerLimits& limits,
                                     asio::yield_context yield);
  std::optional<Refusal> ReadBody(RequestParser& parser,
                                  BodyBudget::Lease& lease,
                                  asio::yield_context yield);
  /// Takes memory for a body, and waits for it until `until`.
  std::optional<BodyBudget::Lease> TakeMemory(std::uint64_t bytes,
                                              kernel::TimePoint until,
                                              asio::yield_context yield);
  void AnswerRefused(const Refusal& refusal, const HttpRequest& request,
                     const ServerLimits& limits, asio::yield_context yield);
  /// Reads on for a while, so that a refusal is not lost under a body that
  /// still comes in.
  void Discard(asio::yield_context yield);
  HttpRequest MoveRequest(RequestParser& parser);

  Strand strand;
  StrandStream stream;
  std::shared_ptr<HttpServer> server;
  beast::flat_buffer buffer;
  std::uint64_t idle_ticket = 0;
  bool is_counted = false;  ///< In the roster.
  Admission admission = Admission::kServe;
};

}  // namespace banyanlane::http
