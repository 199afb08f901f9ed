#include "standins/relay_standin.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <vector>

#include "http/internal/asio_http.h"

namespace banyanlane::standins {
namespace {

using http::tcp;
namespace asio = boost::asio;

/// A client's connection to the relay, and the connection to the server that
/// the relay opens for it.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
 public:
  explicit RelayedConnection(asio::io_context& io) : client(io), server(io) {}

  void Start(const tcp::endpoint& to) {
    this->server.async_connect(
        to, [self = shared_from_this()](const auto& failure) {
          if (failure) return self->Close();
          self->Forward(self->client, self->server, self->to_server_buffer);
          self->Forward(self->server, self->client, self->to_client_buffer);
        });
  }

  tcp::socket client;
  tcp::socket server;
  bool silent = false;

 private:
  using Buffer = std::array<char, 16'384>;

  void Forward(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(
        asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                  const auto& failure, std::size_t count) {
          if (self->silent) return self->Discard(from, buffer);
          if (failure) return self->Close();
          asio::async_write(
              to, asio::buffer(buffer, count),
              [self, &from, &to, &buffer](const auto& failed, std::size_t) {
                if (!failed) self->Forward(from, to, buffer);
              });
        });
  }

  /// Reads and discards data, so that the connection stays open.
  void Discard(tcp::socket& from, Buffer& buffer) {
    from.async_read_some(
        asio::buffer(buffer),
        [self = shared_from_this(), &from, &buffer](const auto& failure, auto) {
          if (!failure) self->Discard(from, buffer);
        });
  }

  void Close() {
    if (this->silent) return;
    boost::system::error_code ignored;
    this->client.close(ignored);
    this->server.close(ignored);
  }

  Buffer to_server_buffer;
  Buffer to_client_buffer;
};

class Relay {
 public:
  Relay(asio::io_context& io, const tcp::endpoint& listen, tcp::endpoint to)
      : io(io), acceptor(io, listen), to(std::move(to)), signals(io, SIGUSR1) {
    this->Accept();
    this->AwaitSignal();
  }

 private:
  void Accept() {
    auto connection = std::make_shared<RelayedConnection>(this->io);
    this->acceptor.async_accept(connection->client,
                                [this, connection](const auto& failure) {
                                  if (failure) return;
                                  this->connections.push_back(connection);
                                  connection->Start(this->to);
                                  this->Accept();
                                });
  }

  void AwaitSignal() {
    this->signals.async_wait([this](const auto& failure, int) {
      if (failure) return;
      for (const auto& connection : this->connections)
        connection->silent = true;
      this->AwaitSignal();
    });
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  tcp::endpoint to;
  asio::signal_set signals;
  std::vector<std::shared_ptr<RelayedConnection>> connections;
};

}  // namespace

int RunRelay(const std::string& listen, const std::string& to) {
  asio::io_context io;
  const Relay relay(io, std::get<tcp::endpoint>(http::ResolveAddress(listen)),
                    std::get<tcp::endpoint>(http::ResolveAddress(to)));
  io.run();
  return 0;
}

}  // namespace banyanlane::standins
