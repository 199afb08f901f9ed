#include "processes/raw_server.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>

#include "http/http_types.h"

namespace banyanlane::processes {
namespace {

constexpr int kBacklog = 64;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Appends the next bytes of a connection.
/// @return false if the peer has closed it.
bool Receive(int descriptor, std::string& received) {
  std::array<char, 4096> block{};
  const ssize_t count = recv(descriptor, block.data(), block.size(), 0);
  if (count <= 0) return false;
  received.append(block.data(), static_cast<std::size_t>(count));
  return true;
}

}  // namespace

RawConnection::~RawConnection() { close(this->descriptor); }

std::string RawConnection::ReadRequest() {
  std::size_t end = 0;
  while ((end = this->received.find(kHeadEnd)) == std::string::npos) {
    if (!Receive(this->descriptor, this->received)) return "";
  }
  end += kHeadEnd.size();
  const std::string head = this->received.substr(0, end);
  const std::size_t length = std::stoul("0" + FieldOf(head, "content-length"));
  while (this->received.size() < end + length) {
    if (!Receive(this->descriptor, this->received)) return "";
  }
  this->received.erase(0, end + length);
  return head;
}

void RawConnection::Send(const std::string& bytes) const {
  send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RawConnection::EndSending() const { shutdown(this->descriptor, SHUT_WR); }

void RawConnection::Shutdown() const { shutdown(this->descriptor, SHUT_RDWR); }

std::string RawConnection::FieldOf(const std::string& head,
                                   const std::string& name) {
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  const std::size_t start = lower.find("\r\n" + name + ":");
  if (start == std::string::npos) return "";
  const std::size_t value =
      head.find_first_not_of(' ', start + name.size() + 3);
  return head.substr(value, head.find("\r\n", value) - value);
}

void RawConnection::ResetOnClose() const {
  const linger reset{1, 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

int ListenAt(const std::string& address, std::string& bound) {
  const auto parsed = std::get<http::HostPort>(http::ParseHostPort(address));
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(parsed.port);
  inet_pton(AF_INET, parsed.host.c_str(), &endpoint.sin_addr);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  // NOLINTNEXTLINE: the socket interface requires the cast.
  auto* generic = reinterpret_cast<sockaddr*>(&endpoint);
  socklen_t length = sizeof(endpoint);
  cr_assert_eq(bind(listener, generic, length), 0);
  cr_assert_eq(listen(listener, kBacklog), 0);
  getsockname(listener, generic, &length);
  bound = parsed.host + ":" + std::to_string(ntohs(endpoint.sin_port));
  return listener;
}

RawServer::RawServer(const std::string& address, Serve serve)
    : serve(std::move(serve)) {
  std::string bound;
  this->listener = ListenAt(address, bound);
  this->acceptor = std::thread([this] { this->Accept(); });
}

RawServer::~RawServer() {
  this->stopping = true;
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  close(this->listener);
  for (const auto& connection : this->connections) connection->Shutdown();
  for (std::thread& thread : this->threads) thread.join();
}

void RawServer::Accept() {
  while (!this->stopping) {
    const int descriptor = accept(this->listener, nullptr, nullptr);
    if (descriptor < 0) continue;
    auto connection = std::make_shared<RawConnection>(descriptor);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->connections.push_back(connection);
    this->threads.emplace_back(
        [this, connection] { this->serve(*connection); });
  }
}

}  // namespace banyanlane::processes
