#pragma once

#include <deque>
#include <memory>
#include <string>

#include "soak/loss_judge.h"
#include "soak/soak_asio.h"
#include "soak/work_order.h"

namespace banyanlane::soak {

/// Sound server that runs a number of requests at once and holds back a few
/// more. It tells the judge what it sees on its sockets. Used by one thread.
class SoakServer : public std::enable_shared_from_this<SoakServer> {
 public:
  SoakServer(asio::io_context& io, LossJudge& judge, ServiceSpec spec,
             std::string id, const std::string& address);

  void Start();
  const std::string& id() const { return this->server_id; }

 private:
  using Request = beast::http::request<beast::http::string_body>;

  void Accept(asio::yield_context yield);
  void Serve(tcp::socket socket, asio::yield_context yield);
  void Handle(beast::tcp_stream& stream, const Request& request,
              asio::yield_context yield);
  /// Waits for a free slot.
  /// @return false if the queue is full.
  bool TakeSlot(asio::yield_context yield);
  void ReleaseSlot();
  void Run(beast::tcp_stream& stream, const Request& request,
           asio::yield_context yield);
  void RunStream(beast::tcp_stream& stream, const Request& request,
                 const WorkOrder& order, asio::yield_context yield);
  void Respond(beast::tcp_stream& stream, const Request& request, int status,
               const std::string& body, asio::yield_context yield);
  void Pause(double millis, asio::yield_context yield);

  asio::io_context& io;
  LossJudge& judge;
  const ServiceSpec spec;
  const std::string server_id;
  tcp::acceptor acceptor;
  int running = 0;
  std::deque<std::shared_ptr<asio::steady_timer>> queue;
};

}  // namespace banyanlane::soak
