#include "http/internal/asio_http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "kernel/text.h"

namespace banyanlane::http {
namespace {

constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

void SetOption(int socket, int level, int name, unsigned value) {
  setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetTransportTimeouts(tcp::socket::native_handle_type socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMillis);
}

Headers CopyFields(const beast::http::fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    const std::string_view value(field.value().data(), field.value().size());
    headers.emplace_back(kernel::ToLower(name), std::string(value));
  }
  return headers;
}

kernel::Result<tcp::endpoint> ResolveAddress(const std::string& address) {
  const auto parsed = ParseHostPort(address);
  if (const kernel::Error* error = kernel::ErrorOf(parsed)) return *error;
  const HostPort& host_port = std::get<0>(parsed);
  beast::error_code failure;
  const auto ip = asio::ip::make_address(host_port.host, failure);
  if (failure) {
    return kernel::Error{kernel::ErrorCode::kInvalidSettings, "parse_address",
                         "", "'" + address + "': " + failure.message()};
  }
  return tcp::endpoint(ip, host_port.port);
}

}  // namespace banyanlane::http
