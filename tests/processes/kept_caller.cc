#include "processes/kept_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "http/http_types.h"
#include "processes/raw_server.h"

namespace banyanlane::processes {
namespace {

const std::string kHeadEnd = "\r\n\r\n";
const std::string kLastChunk = "\r\n0\r\n\r\n";
constexpr std::size_t kStatusPosition = 9;
constexpr std::size_t kStatusLength = 3;

}  // namespace

KeptCaller::KeptCaller(const std::string& address)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
  const auto parsed = std::get<http::HostPort>(http::ParseHostPort(address));
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(parsed.port);
  inet_pton(AF_INET, parsed.host.c_str(), &peer.sin_addr);
  // NOLINTNEXTLINE: the socket interface requires the cast.
  const auto* generic = reinterpret_cast<const sockaddr*>(&peer);
  this->is_open = connect(this->descriptor, generic, sizeof(peer)) == 0;
}

KeptCaller::~KeptCaller() { close(this->descriptor); }

void KeptCaller::Send(const std::string& bytes) {
  std::string_view left = bytes;
  while (!left.empty()) {
    const ssize_t count =
        send(this->descriptor, left.data(), left.size(), MSG_NOSIGNAL);
    if (count <= 0) return;
    left.remove_prefix(static_cast<std::size_t>(count));
  }
}

bool KeptCaller::ReceiveMore() {
  std::array<char, 4096> block{};
  const ssize_t count = recv(this->descriptor, block.data(), block.size(), 0);
  if (count <= 0) {
    this->is_open = false;
    return false;
  }
  this->received.append(block.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::size_t> KeptCaller::ReceiveMark(const std::string& mark,
                                                   std::size_t from) {
  std::size_t at = 0;
  while ((at = this->received.find(mark, from)) == std::string::npos) {
    if (!this->ReceiveMore()) return std::nullopt;
  }
  return at + mark.size();
}

bool KeptCaller::ReceiveBody(const std::string& head) {
  std::size_t end = head.size();
  if (RawConnection::FieldOf(head, "transfer-encoding") == "chunked") {
    // The line end of the head precedes the last chunk of an empty body.
    const auto last = this->ReceiveMark(kLastChunk, head.size() - 2);
    if (!last) return false;
    end = *last;
  } else {
    end += std::stoul("0" + RawConnection::FieldOf(head, "content-length"));
    while (this->received.size() < end) {
      if (!this->ReceiveMore()) return false;
    }
  }
  this->received.erase(0, end);
  if (RawConnection::FieldOf(head, "connection") == "close")
    this->is_open = false;
  return true;
}

CallerRecord KeptCaller::Receive(const std::string& id,
                                 kernel::TimePoint sent_at) {
  CallerRecord record;
  record.id = id;
  record.sent_at = sent_at;
  if (const auto end = this->ReceiveMark(kHeadEnd, 0)) {
    const std::string head = this->received.substr(0, *end);
    record.status =
        std::stoi("0" + head.substr(kStatusPosition, kStatusLength));
    record.is_complete = this->ReceiveBody(head);
  }
  record.ended_at = kernel::Clock::now();
  return record;
}

std::string MakeRequest(const std::string& path, const std::string& id,
                        const std::string& fields, const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nhost: h.example\r\nx-request-id: " + id + "\r\n" +
         fields + "content-length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace banyanlane::processes
