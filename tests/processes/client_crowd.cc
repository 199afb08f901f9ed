#include "processes/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "http/http_types.h"

namespace banyanlane::processes {
namespace {

/// Parts of the script that one client sends before it is the next one's turn.
constexpr int kPartsPerTurn = 16;
/// Small, so that the system holds little of what a client does not read.
constexpr int kReceiveBytes = 4 * 1024;

}  // namespace

ClientCrowd::ClientCrowd(std::string address, std::size_t count,
                         ClientScript script)
    : address(std::move(address)), script(std::move(script)), clients(count) {
  for (Client& client : this->clients) this->Open(client);
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : this->clients) {
    if (client.descriptor >= 0) close(client.descriptor);
  }
}

void ClientCrowd::Open(Client& client) const {
  const auto parsed =
      std::get<http::HostPort>(http::ParseHostPort(this->address));
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(parsed.port);
  inet_pton(AF_INET, parsed.host.c_str(), &remote.sin_addr);
  client = {socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), 0};
  setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
             sizeof(kReceiveBytes));
  // NOLINTNEXTLINE: the socket interface requires the cast.
  const auto* generic = reinterpret_cast<const sockaddr*>(&remote);
  connect(client.descriptor, generic, sizeof(remote));
}

bool ClientCrowd::SendPart(Client& client) const {
  const std::string& opening = this->script.opening;
  const std::string& repeated = this->script.repeated;
  std::string_view part(opening);
  if (client.sent < opening.size()) {
    part.remove_prefix(client.sent);
  } else {
    if (repeated.empty() || client.sent >= this->script.max_bytes) return false;
    part = repeated;
    part.remove_prefix((client.sent - opening.size()) % repeated.size());
  }
  const ssize_t count =
      send(client.descriptor, part.data(), part.size(), MSG_NOSIGNAL);
  if (count > 0) {
    client.sent += static_cast<std::size_t>(count);
    return true;
  }
  const bool is_closed =
      errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN;
  if (is_closed) {
    close(client.descriptor);
    client = {};
  }
  return false;
}

void ClientCrowd::SendSome() {
  for (Client& client : this->clients) {
    if (client.descriptor >= 0) {
      char byte = 0;
      const ssize_t left =
          recv(client.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      const bool is_ended = left == 0 || (left < 0 && errno == ECONNRESET);
      if (is_ended) {
        close(client.descriptor);
        client = {};
      }
    }
    if (client.descriptor < 0 && this->script.reconnects) this->Open(client);
    for (int i = 0; client.descriptor >= 0 && i < kPartsPerTurn; ++i) {
      if (!this->SendPart(client)) break;
    }
  }
}

}  // namespace banyanlane::processes
