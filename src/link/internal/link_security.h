#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>

#include "kernel/result.h"

namespace banyanlane::link {

/// Links in plain text, where the settings ask for it outright.
class PlainSecurity {
 public:
  using ServerConfig = websocketpp::config::asio;
  using ClientConfig = websocketpp::config::asio_client;
  static constexpr char kScheme[] = "ws://";

  template <typename Endpoint>
  void Apply(Endpoint& /*endpoint*/) const {}

  template <typename Connection>
  std::string PeerName(Connection& /*connection*/) const {
    return "";
  }
};

/// Files of a node's own certificate and key, and of the authority that signs
/// all nodes'.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;
};

/// Links over TLS in which both ends show a certificate of the authority.
class TlsSecurity {
 public:
  using ServerConfig = websocketpp::config::asio_tls;
  using ClientConfig = websocketpp::config::asio_tls_client;
  static constexpr char kScheme[] = "wss://";

  static kernel::Result<TlsSecurity> Load(const TlsFiles& files);

  template <typename Endpoint>
  void Apply(Endpoint& endpoint) const {
    endpoint.set_tls_init_handler(
        [context = this->context](const websocketpp::connection_hdl&) {
          return context;
        });
  }

  /// Returns the common name in the peer's certificate.
  template <typename Connection>
  std::string PeerName(Connection& connection) const {
    return CommonName(connection.get_socket().native_handle());
  }

 private:
  static std::string CommonName(SSL* session);

  std::shared_ptr<boost::asio::ssl::context> context;
};

}  // namespace banyanlane::link
