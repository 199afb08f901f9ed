#include "http/internal/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "http/internal/http_exchange.h"
#include "http/internal/http_server.h"
#include "http/internal/request_framing.h"

namespace banyanlane::http {
namespace {

constexpr std::size_t kDiscardBytes = std::size_t{4} * 1024;
constexpr kernel::Millis kDiscardTime{2'000};
/// Step in which memory is reserved for a body of unknown length.
constexpr std::uint64_t kGrowthBytes = std::uint64_t{64} * 1024;
constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";

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
          if (cancelled || state->over) return;
          state->late = true;
          stream.cancel();
        });
  }
  ~ReadDeadline() { this->state->over = true; }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  bool IsLate() const { return this->state->late; }

 private:
  struct State {
    bool over = false;
    bool late = false;
  };
  std::shared_ptr<State> state;
  asio::steady_timer timer;
};

/// Returns the status for a request that could not be read, or 0 if the caller
/// closed the connection.
int StatusOfUnreadable(const beast::error_code& failure) {
  using beast::http::error;
  if (failure == error::end_of_stream ||
      failure == asio::error::operation_aborted)
    return 0;
  if (failure == error::header_limit) return 431;
  if (failure == error::body_limit) return 413;
  if (failure == beast::error::timeout || failure == error::partial_message)
    return 408;
  return 400;
}

HttpResponse WriteUnreadable(int status, std::string_view reason) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"content-type", "application/problem+json"}};
  response.body =
      "{\"outcome\":\"not_run\",\"status\":" + std::to_string(status) +
      ",\"step\":\"read_request\",\"title\":\"" + std::string(reason) + "\"}\n";
  return response;
}

std::string PeerOf(StrandStream& stream) {
  beast::error_code failure;
  const tcp::endpoint peer = stream.socket().remote_endpoint(failure);
  if (failure) return "";
  return peer.address().to_string() + ":" + std::to_string(peer.port());
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
  if (this->is_counted) this->server->roster().Remove();
}

void CallerConnection::Start(Admission decided) {
  this->admission = decided;
  this->is_counted = true;
  SetTransportTimeouts(this->stream.socket().native_handle());
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->AwaitRequest(); });
}

void CallerConnection::AwaitRequest() {
  const kernel::Millis longest(this->server->CurrentLimits().idle_timeout_ms);
  this->idle_ticket = this->server->roster().AddIdle(
      this->weak_from_this(), kernel::Clock::now() + longest);
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

void CallerConnection::OnReadable(const beast::error_code& failure) {
  const bool is_wanted = this->server->roster().RemoveIdle(this->idle_ticket);
  if (failure || !is_wanted) return;
  char byte = 0;
  const ssize_t count = recv(this->stream.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  const bool nothing_yet =
      count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (nothing_yet) return this->AwaitRequest();
  const bool caller_closed = count <= 0;
  if (caller_closed) return;
  asio::spawn(this->strand,
              [self = this->shared_from_this()](asio::yield_context yield) {
                self->ServeWhatCame(yield);
              });
}

void CallerConnection::ServeWhatCame(asio::yield_context yield) {
  bool goes_on = true;
  do {
    goes_on = this->ServeOne(yield);
  } while (goes_on && this->buffer.size() > 0);
  if (!goes_on) {
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    return;
  }
  this->buffer = beast::flat_buffer();
  this->AwaitRequest();
}

void CallerConnection::Discard(asio::yield_context yield) {
  beast::error_code failure;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, failure);
  this->stream.expires_after(kDiscardTime);
  std::array<char, kDiscardBytes> discarded;  // NOLINT: never read.
  while (!failure) {
    this->stream.async_read_some(asio::buffer(discarded), yield[failure]);
  }
}

std::optional<BodyBudget::Lease> CallerConnection::TakeMemory(
    std::uint64_t bytes, kernel::TimePoint until, asio::yield_context yield) {
  BodyBudget& budget = this->server->bodies();
  if (!budget.CanHold(bytes)) return {};
  auto lease = budget.Take(bytes);
  if (lease) return lease;
  const auto timer = std::make_shared<asio::steady_timer>(this->strand, until);
  const std::uint64_t ticket =
      budget.Wait(bytes, [strand = this->strand, timer] {
        asio::post(strand, [timer] { timer->cancel(); });
      });
  beast::error_code ignored;
  timer->async_wait(yield[ignored]);
  return budget.Leave(ticket);
}

std::optional<CallerConnection::Refusal> CallerConnection::ReadBody(
    RequestParser& parser, BodyBudget::Lease& lease,
    asio::yield_context yield) {
  beast::error_code failure;
  while (!parser.is_done()) {
    beast::http::async_read_some(this->stream, this->buffer, parser,
                                 yield[failure]);
    if (failure) return Refusal{StatusOfUnreadable(failure), failure.message()};
    const std::uint64_t held = parser.get().body().size();
    if (held > lease.bytes() &&
        !lease.Grow(std::max(kGrowthBytes, held - lease.bytes())))
      return Refusal{503, "body_memory", true};
  }
  return {};
}

std::optional<CallerConnection::Refusal> CallerConnection::ReadRequest(
    RequestParser& parser, BodyBudget::Lease& lease, const ServerLimits& limits,
    asio::yield_context yield) {
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  const kernel::TimePoint until =
      kernel::Clock::now() + kernel::Millis(limits.read_timeout_ms);
  const ReadDeadline deadline(this->stream, this->strand, until);
  beast::error_code failure;
  beast::http::async_read_header(this->stream, this->buffer, parser,
                                 yield[failure]);
  if (deadline.IsLate()) failure = beast::error::timeout;
  if (failure) return Refusal{StatusOfUnreadable(failure), failure.message()};
  if (const auto fault = FindFramingFault(parser.get()))
    return Refusal{fault->status, std::string(fault->reason)};
  if (this->admission == Admission::kRefuse)
    return Refusal{503, "connections", true};
  if (parser.is_done()) return {};
  const std::uint64_t bytes =
      parser.content_length() ? *parser.content_length() : kGrowthBytes;
  auto taken = this->TakeMemory(bytes, until, yield);
  if (!taken) return Refusal{503, "body_memory", true};
  lease = std::move(*taken);
  if (WaitsForContinue(parser.get())) {
    asio::async_write(this->stream, asio::buffer(kGoOn.data(), kGoOn.size()),
                      yield[failure]);
  }
  auto refusal = this->ReadBody(parser, lease, yield);
  if (refusal && deadline.IsLate())
    return Refusal{StatusOfUnreadable(beast::error::timeout),
                   make_error_code(beast::error::timeout).message()};
  return refusal;
}

HttpRequest CallerConnection::MoveRequest(RequestParser& parser) {
  HttpRequest request;
  if (!parser.is_header_done()) return request;
  auto& message = parser.get();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyFields(message);
  request.body = std::move(message.body());
  request.peer = PeerOf(this->stream);
  const auto parts = SplitTarget(request.target);
  if (!parts) return request;
  request.target = parts->origin;
  if (!parts->authority.empty()) SetHost(request.headers, parts->authority);
  return request;
}

void CallerConnection::AnswerRefused(const Refusal& refusal,
                                     const HttpRequest& request,
                                     const ServerLimits& limits,
                                     asio::yield_context yield) {
  if (refusal.status == 0) return;
  const HttpResponse answer =
      refusal.is_overload
          ? this->server->handler().RefuseOverload(request, refusal.reason)
          : WriteUnreadable(refusal.status, refusal.reason);
  {
    HttpExchange exchange(this->stream, this->strand, yield, HttpRequest{},
                          limits, false);
    exchange.Reply(answer);
  }
  this->Discard(yield);
}

bool CallerConnection::ServeOne(asio::yield_context yield) {
  const ServerLimits limits = this->server->CurrentLimits();
  RequestParser parser;
  BodyBudget::Lease lease;
  this->stream.expires_never();
  auto refusal = this->ReadRequest(parser, lease, limits, yield);
  HttpRequest request = this->MoveRequest(parser);
  const bool has_origin = !request.target.empty() && request.target[0] == '/';
  if (!refusal && !has_origin) refusal = Refusal{400, "target"};
  if (refusal) {
    this->AnswerRefused(*refusal, request, limits, yield);
    return false;
  }
  HttpExchange exchange(this->stream, this->strand, yield, std::move(request),
                        limits, parser.get().keep_alive());
  this->server->Handle(exchange);
  this->stream.expires_never();
  return exchange.CanContinue() && this->server->IsAccepting();
}

}  // namespace banyanlane::http
