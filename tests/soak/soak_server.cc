#include "soak/soak_server.h"

#include <algorithm>

namespace banyanlane::soak {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;

/// Returns whether the peer has closed the connection.
bool HasClosed(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t count =
      recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

SoakServer::SoakServer(asio::io_context& io, LossJudge& judge, ServiceSpec spec,
                       std::string id, const std::string& address)
    : io(io),
      judge(judge),
      spec(std::move(spec)),
      server_id(std::move(id)),
      acceptor(io, EndpointOf(address)) {}

void SoakServer::Start() {
  asio::spawn(this->io,
              [self = this->shared_from_this()](asio::yield_context yield) {
                self->Accept(yield);
              });
}

void SoakServer::Accept(asio::yield_context yield) {
  while (true) {
    beast::error_code failure;
    tcp::socket socket(this->io);
    this->acceptor.async_accept(socket, yield[failure]);
    if (failure) return;
    asio::spawn(this->io, [self = this->shared_from_this(),
                           peer = std::make_shared<tcp::socket>(
                               std::move(socket))](asio::yield_context served) {
      self->Serve(std::move(*peer), served);
    });
  }
}

void SoakServer::Serve(tcp::socket socket, asio::yield_context yield) {
  beast::tcp_stream stream(std::move(socket));
  stream.socket().set_option(tcp::no_delay(true));
  beast::flat_buffer buffer;
  Request request;
  beast::error_code failure;
  beast::http::async_read(stream, buffer, request, yield[failure]);
  if (failure) return;
  const std::string request_id = FieldOf(request, "x-request-id");
  this->judge.OnArrival(request_id, kernel::Clock::now());
  this->Handle(stream, request, yield);
  this->judge.OnServerDone(request_id, kernel::Clock::now());
  stream.socket().shutdown(tcp::socket::shutdown_both, failure);
}

void SoakServer::Handle(beast::tcp_stream& stream, const Request& request,
                        asio::yield_context yield) {
  const std::string expected = FieldOf(request, "x-expect-instance");
  if (!expected.empty() && expected != this->server_id) {
    this->Respond(stream, request, kMisdirected, "", yield);
    return;
  }
  if (!this->TakeSlot(yield)) {
    this->Respond(stream, request, kUnavailable, "", yield);
    return;
  }
  if (!HasClosed(stream)) this->Run(stream, request, yield);
  this->ReleaseSlot();
}

bool SoakServer::TakeSlot(asio::yield_context yield) {
  if (this->running >= this->spec.slots) {
    if (static_cast<int>(this->queue.size()) >= this->spec.queue) return false;
    const auto turn = std::make_shared<asio::steady_timer>(
        this->io, kernel::TimePoint::max());
    this->queue.push_back(turn);
    beast::error_code cancelled;
    turn->async_wait(yield[cancelled]);
    return true;
  }
  ++this->running;
  return true;
}

void SoakServer::ReleaseSlot() {
  if (this->queue.empty()) {
    --this->running;
    return;
  }
  // The slot passes on to the next request.
  const auto next = this->queue.front();
  this->queue.pop_front();
  next->cancel();
}

void SoakServer::Pause(double millis, asio::yield_context yield) {
  asio::steady_timer timer(
      this->io, std::chrono::microseconds(static_cast<int>(millis * 1'000)));
  beast::error_code ignored;
  timer.async_wait(yield[ignored]);
}

void SoakServer::Run(beast::tcp_stream& stream, const Request& request,
                     asio::yield_context yield) {
  const std::string request_id = FieldOf(request, "x-request-id");
  const WorkOrder order = ParseWork(FieldOf(request, kWorkField));
  this->judge.OnRun(request_id);
  if (order.events > 0) {
    this->RunStream(stream, request, order, yield);
    return;
  }
  this->Pause(order.work_ms, yield);
  this->Respond(stream, request, kOk, BodyOf(request_id, order), yield);
}

void SoakServer::RunStream(beast::tcp_stream& stream, const Request& request,
                           const WorkOrder& order, asio::yield_context yield) {
  const std::string request_id = FieldOf(request, "x-request-id");
  const std::string last = FieldOf(request, "last-event-id");
  int number = last.empty() ? 0 : std::stoi(last);
  this->Pause(order.prompt_tokens / this->spec.prompt_tokens_per_ms, yield);
  beast::http::response<beast::http::empty_body> head;
  head.set("x-request-id", request_id);
  head.set("x-server-stamp", this->server_id);
  head.set("content-type", "text/event-stream");
  head.chunked(true);
  head.keep_alive(false);
  beast::http::response_serializer<beast::http::empty_body> serializer(head);
  beast::error_code failure;
  beast::http::async_write_header(stream, serializer, yield[failure]);
  while (!failure && ++number <= order.events) {
    this->Pause(this->spec.steps_per_event *
                    (this->spec.step_ms +
                     this->spec.step_ms_per_request * this->running),
                yield);
    if (HasClosed(stream)) return;
    const std::string text = EventText(request_id, number);
    asio::async_write(stream, beast::http::make_chunk(asio::buffer(text)),
                      yield[failure]);
  }
  if (failure) return;
  asio::async_write(stream, beast::http::make_chunk_last(), yield[failure]);
}

void SoakServer::Respond(beast::tcp_stream& stream, const Request& request,
                         int status, const std::string& body,
                         asio::yield_context yield) {
  beast::http::response<beast::http::string_body> response;
  response.result(static_cast<unsigned>(status));
  response.set("x-request-id", FieldOf(request, "x-request-id"));
  if (status == kOk) response.set("x-server-stamp", this->server_id);
  if (status != kOk) response.set("x-not-executed", "1");
  response.body() = body;
  response.keep_alive(false);
  response.prepare_payload();
  beast::error_code ignored;
  beast::http::async_write(stream, response, yield[ignored]);
}

}  // namespace banyanlane::soak
