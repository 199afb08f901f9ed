#include "http/internal/http_call.h"

#include <algorithm>
#include <array>
#include <exception>

#include "kernel/event_log.h"

namespace banyanlane::http {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
/// HTTP/1.1 in the notation of Beast.
constexpr unsigned kHttpVersion = 11;
// RFC 9110, section 15: other numbers are no statuses.
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
/// Number of interim responses to one request that are skipped.
constexpr int kMaxInterimResponses = 8;

kernel::ErrorCode CodeOf(const beast::error_code& failure) {
  if (failure == beast::error::timeout) return kernel::ErrorCode::kTimeout;
  if (failure == asio::error::connection_refused)
    return kernel::ErrorCode::kUnreachable;
  if (failure == asio::error::operation_aborted)
    return kernel::ErrorCode::kCancelled;
  return kernel::ErrorCode::kConnectionLost;
}

/// Returns whether the end of a body, and the body itself, can be found.
/// @param head of a response that may have a body.
bool HasKnownCoding(const beast::http::response_header<>& head) {
  const auto coding = head.find(beast::http::field::transfer_encoding);
  return coding == head.end() || beast::iequals(coding->value(), "chunked");
}

/// Returns whether a response is one that precedes the final response. It has
/// no content. The request asks for no other protocol, so that nothing may
/// follow in one.
bool IsInterim(const beast::http::response_header<>& head) {
  const unsigned status = head.result_int();
  return status >= kFirstStatus && status < kFirstFinalStatus &&
         status != kSwitchingProtocols &&
         head.count(beast::http::field::content_length) == 0 &&
         head.count(beast::http::field::transfer_encoding) == 0;
}

bool IsFinal(const beast::http::response_header<>& head) {
  const unsigned status = head.result_int();
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

}  // namespace

HttpCall::HttpCall(asio::io_context& io, std::shared_ptr<ConnectionCache> cache,
                   std::string address, HttpRequest request,
                   const CallLimits& limits,
                   std::shared_ptr<IHttpCallObserver> observer)
    : cache(limits.reuse_connection ? std::move(cache) : nullptr),
      connection(this->cache ? this->cache->Take(address, kernel::Clock::now())
                             : nullptr),
      is_reused(this->connection != nullptr),
      strand(this->is_reused ? this->connection->strand
                             : asio::make_strand(io.get_executor())),
      pause_timer(this->strand),
      address(std::move(address)),
      request(std::move(request)),
      limits(limits),
      observer(std::move(observer)) {
  if (limits.total_timeout.count() > 0)
    this->deadline = kernel::Clock::now() + limits.total_timeout;
  if (!this->is_reused)
    this->connection = std::make_shared<HttpConnection>(this->strand);
}

void HttpCall::Start() {
  // Posted, since spawn may run the start of the coroutine in the calling
  // thread, which can hold a lock.
  asio::post(this->strand, [self = this->shared_from_this()] {
    asio::spawn(self->strand,
                [self](asio::yield_context yield) { self->Run(yield); });
  });
}

void HttpCall::Abort() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->aborted = true;
    if (self->connection) self->connection->stream.close();
    self->pause_timer.cancel();
  });
}

void HttpCall::Pause() {
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->paused = true; });
}

void HttpCall::Resume() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->paused = false;
    self->pause_timer.cancel();
  });
}

void HttpCall::Run(asio::yield_context yield) {
  try {
    this->SendAndReceive(yield);
  } catch (const std::exception& failure) {
    // An exception in one call must not end the process.
    kernel::LogEvent(
        kernel::EventId::kHandlerFailed,
        {{"path", this->request.Path()}, {"reason", failure.what()}});
    this->send_state = SendState::kMaybeSent;
    if (this->observer) this->Fail("call", asio::error::fault);
  }
}

void HttpCall::SendAndReceive(asio::yield_context yield) {
  if (this->is_reused && this->TryIdleConnection(yield)) return;
  if (!this->Connect(yield)) return;
  if (!this->SendRequest(yield)) return;
  Parser parser;
  const beast::error_code failure = this->ReadFinalHead(parser, yield);
  this->FinishResponse(parser, failure, yield);
}

bool HttpCall::TryIdleConnection(asio::yield_context yield) {
  if (this->aborted) return false;
  this->SetResetOnClose(true);
  Parser parser;
  beast::error_code failure = this->WriteRequest(yield);
  if (!failure) failure = this->ReadFinalHead(parser, yield);
  // Servers may close a connection that has been idle at any time.
  const bool closed_while_idle =
      failure && !this->response_begun &&
      CodeOf(failure) == kernel::ErrorCode::kConnectionLost;
  if (!closed_while_idle) {
    this->FinishResponse(parser, failure, yield);
    return true;
  }
  this->connection->stream.close();
  this->connection = std::make_shared<HttpConnection>(this->strand);
  return false;
}

bool HttpCall::Connect(asio::yield_context yield) {
  const auto resolved = ResolveAddress(this->address);
  if (const kernel::Error* error = kernel::ErrorOf(resolved)) {
    this->End()->OnFailed(*error, this->send_state);
    return false;
  }
  beast::error_code failure;
  if (this->aborted) {
    failure = asio::error::operation_aborted;
  } else {
    this->connection->stream.expires_after(this->limits.connect_timeout);
    this->connection->stream.async_connect(std::get<0>(resolved),
                                           yield[failure]);
  }
  if (!failure && this->aborted) failure = asio::error::operation_aborted;
  if (failure) {
    this->Fail("connect", failure);
    return false;
  }
  SetTransportTimeouts(this->connection->stream.socket().native_handle());
  this->SetResetOnClose(true);
  return true;
}

beast::error_code HttpCall::WriteRequest(asio::yield_context yield) {
  beast::http::request<beast::http::span_body<const char>> message;
  message.version(kHttpVersion);
  message.method_string(this->request.method);
  message.target(this->request.target);
  message.set(beast::http::field::host, this->request.authority.empty()
                                            ? this->address
                                            : this->request.authority);
  for (const auto& [name, value] : this->request.headers) {
    if (!IsHopByHopField(name) && name != "host") message.insert(name, value);
  }
  message.keep_alive(this->limits.reuse_connection);
  message.body() = {this->request.body.data(), this->request.body.size()};
  message.prepare_payload();
  beast::error_code failure;
  this->send_state = SendState::kMaybeSent;
  this->connection->stream.expires_at(std::min(
      kernel::Clock::now() + this->limits.head_timeout, this->deadline));
  beast::http::async_write(this->connection->stream, message, yield[failure]);
  return failure;
}

bool HttpCall::SendRequest(asio::yield_context yield) {
  const beast::error_code failure = this->WriteRequest(yield);
  // Frees the body, which can be large, before the wait for the response.
  this->request.body = std::string();
  if (!failure) return true;
  this->Fail("send", failure);
  return false;
}

beast::error_code HttpCall::ReadFinalHead(Parser& parser,
                                          asio::yield_context yield) {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    parser.emplace();
    parser->body_limit(this->limits.max_body_bytes);
    parser->skip(this->IsHead());
    beast::error_code failure;
    beast::http::async_read_header(this->connection->stream,
                                   this->connection->buffer, *parser,
                                   yield[failure]);
    this->response_begun = this->response_begun || parser->got_some();
    if (failure) return failure;
    if (IsFinal(parser->get())) {
      const bool is_readable = this->IsHead() || HasKnownCoding(parser->get());
      return is_readable ? failure : beast::http::error::bad_transfer_encoding;
    }
    if (!IsInterim(parser->get())) break;
  }
  return beast::http::error::bad_status;
}

void HttpCall::FinishResponse(Parser& parser, const beast::error_code& failure,
                              asio::yield_context yield) {
  if (failure) {
    this->Fail("read_head", failure);
    return;
  }
  this->observer->OnHead(static_cast<int>(parser->get().result_int()),
                         CopyFields(parser->get()));
  this->ReadBody(parser, yield);
}

void HttpCall::ReadBody(Parser& parser, asio::yield_context yield) {
  std::array<char, kReadBytes>
      block;  // NOLINT: filled by the parser before it is read.
  while (!parser->is_done()) {
    this->WaitWhilePaused(yield);
    parser->get().body().data = block.data();
    parser->get().body().size = block.size();
    beast::error_code failure;
    this->connection->stream.expires_at(std::min(
        kernel::Clock::now() + this->limits.body_idle_timeout, this->deadline));
    beast::http::async_read_some(this->connection->stream,
                                 this->connection->buffer, *parser,
                                 yield[failure]);
    if (failure == beast::http::error::need_buffer) failure = {};
    const std::size_t count = block.size() - parser->get().body().size;
    if (count > 0)
      this->observer->OnData(std::string_view(block.data(), count));
    // The stream's timer does not end reads that never have to wait for data.
    const bool is_late = kernel::Clock::now() >= this->deadline;
    if (!failure && is_late && !parser->is_done())
      failure = beast::error::timeout;
    if (failure) {
      this->Fail("read_body", failure);
      return;
    }
  }
  const bool ends_with_connection = parser->need_eof();
  if (ends_with_connection && !this->limits.close_ends_response) {
    // Such a response can't be distinguished from a truncated one.
    this->Fail("read_body", beast::http::error::partial_message);
    return;
  }
  this->SetResetOnClose(false);
  const bool can_reuse = this->cache && !ends_with_connection &&
                         parser->keep_alive() &&
                         this->connection->buffer.size() == 0;
  if (can_reuse) {
    this->cache->Put(this->address, this->connection, kernel::Clock::now());
  } else {
    this->connection->stream.close();
  }
  this->End()->OnEnd();
}

void HttpCall::SetResetOnClose(bool reset) {
  beast::error_code ignored;
  this->connection->stream.socket().set_option(
      asio::socket_base::linger(reset, 0), ignored);
}

void HttpCall::WaitWhilePaused(asio::yield_context yield) {
  while (this->paused && !this->aborted) {
    this->pause_timer.expires_at(kernel::TimePoint::max());
    beast::error_code ignored;
    this->pause_timer.async_wait(yield[ignored]);
  }
}

std::shared_ptr<IHttpCallObserver> HttpCall::End() {
  this->connection.reset();
  return std::move(this->observer);
}

void HttpCall::Fail(std::string_view step, const beast::error_code& failure) {
  this->connection->stream.close();
  this->End()->OnFailed(kernel::Error{CodeOf(failure), std::string(step),
                                      this->address, failure.message()},
                        this->send_state);
}

}  // namespace banyanlane::http
