#include "processes/cut_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace banyanlane::processes {
namespace {

/// Long enough for the peer to read what was sent before it, most of the time.
constexpr int kPauseMillis = 1;

void Pause() { poll(nullptr, 0, kPauseMillis); }

}  // namespace

const char* NameOf(CloseKind close) {
  switch (close) {
    case CloseKind::kEnd:
      return "end";
    case CloseKind::kEndAfterPause:
      return "end after a pause";
    case CloseKind::kReset:
      return "reset";
  }
  return "";
}

CutServer::CutServer(const std::string& address, Respond respond)
    : respond(std::move(respond)) {
  this->listener = ListenAt(address, this->bound_address);
  this->thread = std::thread([this] { this->Accept(); });
}

CutServer::~CutServer() {
  this->stopping = true;
  shutdown(this->listener, SHUT_RDWR);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->current) this->current->Shutdown();
  }
  this->thread.join();
  close(this->listener);
}

void CutServer::Accept() {
  while (!this->stopping) {
    const int descriptor = accept(this->listener, nullptr, nullptr);
    if (descriptor < 0) continue;
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    auto connection = std::make_shared<RawConnection>(descriptor);
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->current = connection;
    }
    if (!this->stopping) this->Serve(*connection);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->current.reset();
  }
}

void CutServer::Serve(RawConnection& connection) {
  std::string head;
  for (int i = 0; !(head = connection.ReadRequest()).empty(); ++i) {
    const CutResponse response = this->respond(head, i);
    const std::size_t half = response.close == CloseKind::kEndAfterPause
                                 ? response.bytes.size() / 2
                                 : 0;
    if (half > 0) {
      connection.Send(response.bytes.substr(0, half));
      Pause();
    }
    connection.Send(response.bytes.substr(half));
    if (response.stays_open) continue;
    if (response.close == CloseKind::kEndAfterPause) Pause();
    if (response.close == CloseKind::kReset) connection.ResetOnClose();
    return;
  }
}

}  // namespace banyanlane::processes
