#include "link/internal/link_security.h"

#include <openssl/x509.h>

#include <array>

namespace banyanlane::link {

kernel::Result<TlsSecurity> TlsSecurity::Load(const TlsFiles& files) {
  namespace ssl = boost::asio::ssl;
  TlsSecurity security;
  security.context = std::make_shared<ssl::context>(ssl::context::tls);
  const auto fail = [](const std::string& path, const std::string& reason) {
    return kernel::Error{kernel::ErrorCode::kInvalidSettings,
                         "load_certificates", "", path + ": " + reason};
  };
  boost::system::error_code failure;
  security.context->set_options(
      ssl::context::default_workarounds | ssl::context::no_sslv2 |
      ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
      ssl::context::no_tlsv1_1);
  security.context->use_certificate_chain_file(files.certificate, failure);
  if (failure) return fail(files.certificate, failure.message());
  security.context->use_private_key_file(files.key, ssl::context::pem, failure);
  if (failure) return fail(files.key, failure.message());
  security.context->load_verify_file(files.authority, failure);
  if (failure) return fail(files.authority, failure.message());
  security.context->set_verify_mode(ssl::verify_peer |
                                    ssl::verify_fail_if_no_peer_cert);
  return security;
}

std::string TlsSecurity::CommonName(SSL* session) {
  X509* const certificate = SSL_get_peer_certificate(session);
  if (certificate == nullptr) return "";
  std::array<char, 256> name = {};
  X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName,
                            name.data(), static_cast<int>(name.size()));
  X509_free(certificate);
  return name.data();
}

}  // namespace banyanlane::link
