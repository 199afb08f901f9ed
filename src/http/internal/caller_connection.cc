#include "http/internal/caller_connection.h"

#include <absl/cleanup/cleanup.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "http/internal/http_exchange.h"
#include "http/internal/http_server.h"
#include "http/internal/request_framing.h"
#include "http/internal/write_deadline.h"

namespace banyanlane::http {
namespace {

/// Maximum number of bytes of a head that are read at a time.
constexpr std::size_t kHeadReadBytes = std::size_t{4} * 1024;
constexpr std::size_t kDiscardBufferBytes = std::size_t{4} * 1024;
/// Longest time for which the caller takes nothing while its input is
/// discarded.
constexpr kernel::Millis kMaxDiscardTime{2'000};
/// Minimum amount of memory that is reserved at a time for a body of unknown
/// length.
constexpr std::uint64_t kBodyIncrementBytes = std::uint64_t{64} * 1024;
/// Space in the read buffer beyond the largest head.
constexpr std::size_t kBufferMarginBytes = std::size_t{4} * 1024;
/// Minimum size of the read buffer, which also takes pipelined requests.
constexpr std::size_t kMinBufferBytes = std::size_t{20} * 1024;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// Cancels the reads of a stream at a deadline without closing the socket. The
/// stream's own timeout would close the socket before the caller gets a
/// response.
class ReadDeadline {
 public:
  ReadDeadline(StrandStream& stream, const Strand& strand,
               kernel::TimePoint until)
      : state(std::make_shared<State>()), timer(strand, until) {
    this->timer.async_wait(
        [state = this->state, &stream](const beast::error_code& cancelled) {
          if (cancelled || state->ended) return;
          state->expired = true;
          stream.cancel();
        });
  }
  ~ReadDeadline() { this->state->ended = true; }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  bool HasExpired() const { return this->state->expired; }

 private:
  struct State {
    bool ended = false;
    bool expired = false;
  };
  std::shared_ptr<State> state;
  asio::steady_timer timer;
};

/// Returns the status for a request that could not be read. Returns 0 if no
/// response is sent, because the caller closed the connection between requests
/// or the read was cancelled.
int StatusForReadError(const beast::error_code& failure) {
  using beast::http::error;
  if (failure == error::end_of_stream ||
      failure == asio::error::operation_aborted)
    return 0;
  // What the parser can't consume in parts is a head, a line before a chunk or
  // the trailer section.
  if (failure == error::header_limit || failure == error::buffer_overflow)
    return 431;
  if (failure == error::body_limit) return 413;
  if (failure == beast::error::timeout || failure == error::partial_message)
    return 408;
  return 400;
}

HttpResponse MakeProblemResponse(int status, std::string_view reason) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"content-type", "application/problem+json"}};
  response.body =
      "{\"outcome\":\"not_run\",\"status\":" + std::to_string(status) +
      ",\"step\":\"read_request\",\"title\":\"" + std::string(reason) + "\"}\n";
  return response;
}

std::string RemoteAddressOf(StrandStream& stream) {
  beast::error_code failure;
  const tcp::endpoint remote = stream.socket().remote_endpoint(failure);
  if (failure) return "";
  return remote.address().to_string() + ":" + std::to_string(remote.port());
}

/// Returns the memory that a head, or the first part of one, takes at most.
std::uint64_t HeadMemory(std::size_t bytes, std::size_t lines) {
  // A head is copied when the request is forwarded.
  constexpr std::uint64_t kCopies = 2;
  constexpr std::uint64_t kParserFieldBytes = 96;
  return kCopies * (bytes + lines * sizeof(Headers::value_type)) +
         lines * kParserFieldBytes;
}

void SetHost(Headers& headers, const std::string& authority) {
  headers.erase(
      std::remove_if(headers.begin(), headers.end(),
                     [](const auto& field) { return field.first == "host"; }),
      headers.end());
  headers.emplace_back("host", authority);
}

}  // namespace

CallerConnection::CallerConnection(asio::io_context& io,
                                   std::shared_ptr<HttpServer> server)
    : strand(asio::make_strand(io.get_executor())),
      stream(strand),
      server(std::move(server)) {}

CallerConnection::~CallerConnection() {
  if (this->is_counted) this->server->tracker().Remove();
}

void CallerConnection::Start(Admission decision) {
  this->admission = decision;
  this->is_counted = true;
  SetTransportTimeouts(this->stream.socket().native_handle());
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->AwaitRequest(); });
}

void CallerConnection::AwaitRequest() {
  const kernel::Millis idle_timeout(
      this->server->CurrentLimits().idle_timeout_ms);
  const kernel::TimePoint now = kernel::Clock::now();
  this->idle_ticket = this->server->tracker().AddIdle(
      this->weak_from_this(), *this->server, now, now + idle_timeout);
  // The server may have closed its idle connections just before.
  const bool must_close = !this->server->IsAccepting() &&
                          this->server->tracker().RemoveIdle(this->idle_ticket);
  if (must_close) {
    this->stream.close();
    return;
  }
  this->stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const beast::error_code& failure) {
        self->OnReadable(failure);
      });
}

void CallerConnection::CloseIdle() {
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->stream.close(); });
}

void CallerConnection::BeginWait(CallerWait wait) {
  this->current_wait = wait;
  this->wait_ticket = this->server->tracker().AddWaiting(
      wait, this->weak_from_this(), kernel::Clock::now());
}

void CallerConnection::EndWait() {
  this->server->tracker().RemoveWaiting(this->current_wait, this->wait_ticket);
  this->wait_ticket = 0;
}

void CallerConnection::GiveWay(std::uint64_t ticket) {
  asio::post(this->strand, [self = this->shared_from_this(), ticket] {
    if (self->wait_ticket == ticket) self->stream.close();
  });
}

std::uint64_t CallerConnection::HeldBytes(CallerWait wait) const {
  return wait == CallerWait::kRequest ? this->request_bytes.load()
                                      : this->response_bytes->load();
}

std::shared_ptr<IResponseMemory> CallerConnection::MakeResponseMemory() {
  return this->server->MakeResponseMemory(this->response_bytes);
}

bool CallerConnection::CheckHeld(bool is_held, std::uint64_t bytes) {
  this->request_bytes = this->body_memory.bytes() + this->head_memory.bytes();
  if (!is_held) {
    this->server->tracker().ReleaseMemory(CallerWait::kRequest, bytes,
                                          kernel::Clock::now());
  }
  return is_held;
}

bool CallerConnection::ReserveHeadMemory(std::uint64_t bytes) {
  const std::uint64_t reserved = this->head_memory.bytes();
  if (reserved > 0)
    return bytes <= reserved || this->HoldRequestMemory(bytes - reserved);
  auto allocation = this->server->heads().TryReserve(bytes);
  if (allocation) this->head_memory = std::move(*allocation);
  return this->CheckHeld(allocation.has_value(), bytes);
}

bool CallerConnection::HoldRequestMemory(std::uint64_t bytes) {
  return bytes == 0 || this->CheckHeld(this->head_memory.Extend(bytes), bytes);
}

bool CallerConnection::ExtendBodyMemory(std::uint64_t bytes) {
  return this->CheckHeld(this->body_memory.Extend(bytes), bytes);
}

void CallerConnection::ReleaseRequestMemory() {
  this->body_memory = {};
  this->head_memory = {};
  this->request_bytes = 0;
}

void CallerConnection::OnReadable(const beast::error_code& failure) {
  const bool still_open = this->server->tracker().RemoveIdle(this->idle_ticket);
  if (failure || !still_open) return;
  char byte = 0;
  const ssize_t count = recv(this->stream.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  const bool no_data = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (no_data) return this->AwaitRequest();
  const bool caller_closed = count <= 0;
  if (caller_closed) return;
  asio::spawn(this->strand,
              [self = this->shared_from_this()](asio::yield_context yield) {
                self->ServeRequests(yield);
              });
}

void CallerConnection::ServeRequests(asio::yield_context yield) {
  this->server->OnConnectionBusy();
  const absl::Cleanup on_idle = [this] { this->server->OnConnectionIdle(); };
  auto next = NextStep::kAwaitRequest;
  do {
    next = this->ServeRequest(yield);
  } while (next == NextStep::kAwaitRequest && this->buffer.size() > 0);
  if (next == NextStep::kFinish) return this->DiscardInput(yield);
  if (next == NextStep::kClose) {
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    return;
  }
  this->buffer = beast::flat_buffer();
  this->AwaitRequest();
}

void CallerConnection::DiscardInput(asio::yield_context yield) {
  beast::error_code failure;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, failure);
  const auto deadline = std::make_shared<WriteDeadline>(
      this->stream, this->strand, kMaxDiscardTime);
  deadline->Begin(kernel::Clock::now());
  const CallerWaitScope wait(*this, CallerWait::kRequest);
  std::array<char, kDiscardBufferBytes> discarded;  // NOLINT: never read.
  while (!failure) {
    this->stream.async_read_some(asio::buffer(discarded), yield[failure]);
  }
  deadline->End();
}

bool CallerConnection::ReserveBodyMemory(std::uint64_t bytes,
                                         kernel::TimePoint until,
                                         asio::yield_context yield) {
  MemoryBudget& budget = this->server->bodies();
  if (!budget.CanHold(bytes)) return false;
  auto allocation = budget.TryReserve(bytes);
  if (!allocation) {
    const auto timer =
        std::make_shared<asio::steady_timer>(this->strand, until);
    const std::uint64_t ticket =
        budget.Enqueue(bytes, [strand = this->strand, timer] {
          asio::post(strand, [timer] { timer->cancel(); });
        });
    this->CheckHeld(false, bytes);
    beast::error_code ignored;
    timer->async_wait(yield[ignored]);
    allocation = budget.RemoveFromQueue(ticket);
  }
  if (allocation) this->body_memory = std::move(*allocation);
  return this->CheckHeld(allocation.has_value(), bytes);
}

CallerConnection::Refusal CallerConnection::TimeoutRefusal() {
  const beast::error_code timeout = beast::error::timeout;
  return {StatusForReadError(timeout), timeout.message()};
}

beast::error_code CallerConnection::ReceiveSome(const RequestParser& parser,
                                                asio::yield_context yield) {
  const std::size_t space = this->buffer.max_size() - this->buffer.size();
  if (space == 0) return beast::http::error::buffer_overflow;
  beast::error_code failure;
  const std::size_t count = this->stream.async_read_some(
      this->buffer.prepare(std::min(space, kHeadReadBytes)), yield[failure]);
  this->buffer.commit(count);
  if (failure != asio::error::eof) return failure;
  return parser.got_some() ? beast::http::error::partial_message
                           : beast::http::error::end_of_stream;
}

std::optional<CallerConnection::Refusal> CallerConnection::ReadHead(
    RequestParser& parser, asio::yield_context yield) {
  const CallerWaitScope wait(*this, CallerWait::kRequest);
  std::size_t bytes = 0;
  std::size_t lines = 0;
  beast::error_code failure;
  while (true) {
    if (this->buffer.size() > 0) {
      const auto data = this->buffer.data();
      const std::size_t count = parser.put(data, failure);
      const auto* begin = static_cast<const char*>(data.data());
      lines += static_cast<std::size_t>(std::count(begin, begin + count, '\n'));
      bytes += count;
      this->buffer.consume(count);
      if (failure == beast::http::error::need_more) failure = {};
      if (!failure && !this->ReserveHeadMemory(HeadMemory(bytes, lines)))
        return Refusal{503, "request_memory", true};
    }
    if (!failure && parser.is_header_done()) return {};
    if (!failure) failure = this->ReceiveSome(parser, yield);
    if (failure) return Refusal{StatusForReadError(failure), failure.message()};
  }
}

std::size_t CallerConnection::ParseBuffered(RequestParser& parser,
                                            beast::error_code& failure) {
  std::size_t consumed_bytes = 0;
  while (!failure && !parser.is_done() && this->buffer.size() > 0) {
    const std::size_t count = parser.put(this->buffer.data(), failure);
    this->buffer.consume(count);
    consumed_bytes += count;
  }
  if (failure == beast::http::error::need_more) failure = {};
  return consumed_bytes;
}

std::optional<CallerConnection::Refusal> CallerConnection::ReadBody(
    RequestParser& parser, const ServerLimits& limits,
    asio::yield_context yield) {
  const CallerWaitScope wait(*this, CallerWait::kRequest);
  beast::error_code failure;
  std::uint64_t consumed_bytes = 0;
  while (!parser.is_done()) {
    consumed_bytes += beast::http::async_read_some(this->stream, this->buffer,
                                                   parser, yield[failure]);
    if (!failure) consumed_bytes += this->ParseBuffered(parser, failure);
    if (failure) return Refusal{StatusForReadError(failure), failure.message()};
    const std::uint64_t received_bytes = parser.get().body().size();
    const std::uint64_t max_framing_bytes =
        limits.header_bytes + received_bytes * this->server->chunk_overhead();
    if (consumed_bytes > received_bytes + max_framing_bytes)
      return Refusal{400, "chunk_framing"};
    const std::uint64_t reserved_bytes = this->body_memory.bytes();
    if (received_bytes > reserved_bytes &&
        !this->ExtendBodyMemory(
            std::max(kBodyIncrementBytes, received_bytes - reserved_bytes)))
      return Refusal{503, "body_memory", true};
  }
  return {};
}

std::optional<CallerConnection::Refusal> CallerConnection::ReadRequest(
    ReceivedRequest& received, const ServerLimits& limits,
    asio::yield_context yield) {
  RequestParser parser;
  this->buffer.max_size(
      std::max<std::size_t>({limits.header_bytes + kBufferMarginBytes,
                             kMinBufferBytes, this->buffer.size()}));
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  const kernel::TimePoint until =
      kernel::Clock::now() + kernel::Millis(limits.read_timeout_ms);
  const ReadDeadline deadline(this->stream, this->strand, until);
  auto head_refusal = this->ReadHead(parser, yield);
  if (deadline.HasExpired()) head_refusal = TimeoutRefusal();
  if (head_refusal) return head_refusal;
  // The parser adds trailer fields to those of the head, which must not be
  // changed by them (RFC 9110, section 6.5.1).
  received.message = this->ExtractHead(parser.get());
  received.keep_alive = parser.get().keep_alive();
  if (const auto framing_error = FindFramingError(parser.get()))
    return Refusal{framing_error->status, std::string(framing_error->reason)};
  if (this->admission == Admission::kRefuse)
    return Refusal{503, "connections", true};
  if (parser.is_done()) return {};
  const std::uint64_t bytes =
      parser.content_length().value_or(kBodyIncrementBytes);
  if (!this->ReserveBodyMemory(bytes, until, yield))
    return Refusal{503, "body_memory", true};
  if (WaitsForContinue(parser.get())) {
    beast::error_code failure;
    asio::async_write(
        this->stream,
        asio::buffer(kContinueResponse.data(), kContinueResponse.size()),
        yield[failure]);
  }
  auto refusal = this->ReadBody(parser, limits, yield);
  received.message.body = std::move(parser.get().body());
  if (refusal && deadline.HasExpired()) return TimeoutRefusal();
  return refusal;
}

HttpRequest CallerConnection::ExtractHead(const RequestHead& head) {
  HttpRequest request;
  request.method = std::string(head.method_string());
  request.target = std::string(head.target());
  request.headers = CopyFields(head);
  request.peer = RemoteAddressOf(this->stream);
  const auto parts = SplitTarget(request.target);
  if (!parts) return request;
  request.target = parts->origin_form;
  if (!parts->authority.empty()) SetHost(request.headers, parts->authority);
  return request;
}

CallerConnection::NextStep CallerConnection::SendRefusal(
    const Refusal& refusal, HttpRequest request, const ServerLimits& limits,
    asio::yield_context yield) {
  if (refusal.status == 0) return NextStep::kClose;
  const HttpResponse response =
      refusal.is_overload
          ? this->server->handler().RefuseOverload(request, refusal.reason)
          : MakeProblemResponse(refusal.status, refusal.reason);
  HttpRequest refused;
  refused.method = request.method;
  // What is not counted is freed before the caller takes the response.
  request = HttpRequest();
  this->ReleaseRequestMemory();
  {
    HttpExchange exchange(this->stream, this->buffer, this->strand, yield,
                          std::move(refused), limits, false, *this);
    exchange.Reply(response);
  }
  return NextStep::kFinish;
}

CallerConnection::NextStep CallerConnection::ServeRequest(
    asio::yield_context yield) {
  const ServerLimits limits = this->server->CurrentLimits();
  const absl::Cleanup on_end = [this] { this->ReleaseRequestMemory(); };
  ReceivedRequest received;
  this->stream.expires_never();
  auto refusal = this->ReadRequest(received, limits, yield);
  HttpRequest& request = received.message;
  const bool is_origin_form =
      !request.target.empty() && request.target[0] == '/';
  if (!refusal && !is_origin_form) refusal = Refusal{400, "target"};
  if (refusal)
    return this->SendRefusal(*refusal, std::move(request), limits, yield);
  HttpExchange exchange(this->stream, this->buffer, this->strand, yield,
                        std::move(request), limits, received.keep_alive, *this);
  if (!this->server->IsAccepting()) exchange.CloseAfterResponse();
  this->server->Handle(exchange);
  this->stream.expires_never();
  if (!exchange.IsComplete()) return NextStep::kClose;
  const bool has_next = this->buffer.size() > 0;
  const bool goes_on =
      exchange.CanContinue() && (this->server->IsAccepting() || has_next);
  return goes_on ? NextStep::kAwaitRequest : NextStep::kFinish;
}

}  // namespace banyanlane::http
