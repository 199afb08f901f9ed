#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>

#include "kernel/result.h"

namespace banyanlane::link {

/// Security policy of plain text links, without authentication.
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

/// Paths of a node's certificate and private key, and of the certificate
/// authority that signs all nodes' certificates.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;
};

/// Security policy of TLS links, in which both ends need a certificate that the
/// authority has signed.
class TlsSecurity {
 public:
  using ServerConfig = websocketpp::config::asio_tls;
  using ClientConfig = websocketpp::config::asio_tls_client;
  static constexpr char kScheme[] = "wss://";

  /// Loads the certificates and the key.
  /// @return an error that names the file that can't be loaded.
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
