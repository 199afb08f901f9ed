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

/// Two joined sockets.
class Pair : public std::enable_shared_from_this<Pair> {
 public:
  explicit Pair(asio::io_context& io) : near(io), far(io) {}

  void Start(const tcp::endpoint& to) {
    this->far.async_connect(to,
                            [self = shared_from_this()](const auto& failure) {
                              if (failure) return self->Close();
                              self->Copy(self->near, self->far, self->forth);
                              self->Copy(self->far, self->near, self->back);
                            });
  }

  tcp::socket near;
  tcp::socket far;
  bool silent = false;

 private:
  using Buffer = std::array<char, 16'384>;

  void Copy(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(
        asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                  const auto& failure, std::size_t count) {
          if (self->silent) return self->Swallow(from, buffer);
          if (failure) return self->Close();
          asio::async_write(
              to, asio::buffer(buffer, count),
              [self, &from, &to, &buffer](const auto& failed, std::size_t) {
                if (!failed) self->Copy(from, to, buffer);
              });
        });
  }

  /// Keeps the sockets open without passing anything on.
  void Swallow(tcp::socket& from, Buffer& buffer) {
    from.async_read_some(
        asio::buffer(buffer),
        [self = shared_from_this(), &from, &buffer](const auto& failure, auto) {
          if (!failure) self->Swallow(from, buffer);
        });
  }

  void Close() {
    if (this->silent) return;
    boost::system::error_code ignored;
    this->near.close(ignored);
    this->far.close(ignored);
  }

  Buffer forth;
  Buffer back;
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
    auto pair = std::make_shared<Pair>(this->io);
    this->acceptor.async_accept(pair->near, [this, pair](const auto& failure) {
      if (failure) return;
      this->pairs.push_back(pair);
      pair->Start(this->to);
      this->Accept();
    });
  }

  void AwaitSignal() {
    this->signals.async_wait([this](const auto& failure, int) {
      if (failure) return;
      for (const auto& pair : this->pairs) pair->silent = true;
      this->AwaitSignal();
    });
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  tcp::endpoint to;
  asio::signal_set signals;
  std::vector<std::shared_ptr<Pair>> pairs;
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
