#include "http/tests/raw_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace banyanlane::http {
namespace {

constexpr time_t kTimeoutSeconds = 10;

}  // namespace

RawCaller::RawCaller(std::uint16_t port)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval timeout{kTimeoutSeconds, 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  // NOLINTNEXTLINE: the socket interface requires the cast.
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (connect(this->descriptor, generic, sizeof(address)) != 0) {
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

bool RawCaller::IsClosedByServer() const {
  std::array<char, 4'096> buffer{};
  ssize_t count = 1;
  while (count > 0)
    count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
  return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace banyanlane::http
