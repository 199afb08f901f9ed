#include "http/tests/raw_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "http/http_types.h"

namespace banyanlane::http {
namespace {

constexpr time_t kTimeoutSeconds = 10;

}  // namespace

RawCaller::RawCaller(std::uint16_t port)
    : RawCaller("127.0.0.1:" + std::to_string(port), 0) {}

RawCaller::RawCaller(const std::string& address, int receive_bytes)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
  const auto parsed = std::get<HostPort>(ParseHostPort(address));
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(parsed.port);
  inet_pton(AF_INET, parsed.host.c_str(), &remote.sin_addr);
  const timeval timeout{kTimeoutSeconds, 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  if (receive_bytes > 0) {
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  // NOLINTNEXTLINE: the socket interface requires the cast.
  const auto* generic = reinterpret_cast<const sockaddr*>(&remote);
  if (connect(this->descriptor, generic, sizeof(remote)) != 0) {
    close(this->descriptor);
    this->descriptor = -1;
  }
}

RawCaller::RawCaller(RawCaller&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)) {}

RawCaller::~RawCaller() {
  if (this->descriptor >= 0) close(this->descriptor);
}

void RawCaller::Write(std::string_view text) const {
  while (!text.empty()) {
    const ssize_t count =
        send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    if (count <= 0) return;
    text.remove_prefix(static_cast<std::size_t>(count));
  }
}

std::string RawCaller::ReadUntil(std::string_view mark) const {
  std::string text;
  std::array<char, 4'096> buffer{};
  while (text.find(mark) == std::string::npos) {
    const ssize_t count =
        recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) return text;
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return text;
}

std::string RawCaller::ReadSome(std::size_t max_bytes) const {
  std::string text(max_bytes, '\0');
  const ssize_t count = recv(this->descriptor, text.data(), text.size(), 0);
  text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
  return text;
}

bool RawCaller::IsClosedByServer() const {
  std::array<char, 4'096> buffer{};
  ssize_t count = 1;
  while (count > 0)
    count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
  return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace banyanlane::http
