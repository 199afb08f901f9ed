#include <criterion/criterion.h>
#include <openssl/evp.h>

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "link/codec.h"
#include "link/internal/link_security.h"
#include "link/internal/ws_hub.h"
#include "processes/cut_server.h"

namespace banyanlane::link {
namespace {

using processes::CloseKind;
using processes::CutResponse;
using processes::CutServer;

/// Number of servers that share the cuts with one kind of close.
constexpr std::size_t kServersPerClose = 6;
/// Names of the peer, of the same length.
constexpr const char* kWhole = "full";
constexpr const char* kCut = "part";

/// Returns the response to the handshake of a websocket with `key`.
std::string HandshakeResponse(const std::string& key) {
  const std::string accepted = key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(accepted.data(), accepted.size(), digest.data(), &size, EVP_sha1(),
             nullptr);
  std::array<unsigned char, 64> encoded{};
  EVP_EncodeBlock(encoded.data(), digest.data(), static_cast<int>(size));
  return "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\n"
         "connection: upgrade\r\nsec-websocket-accept: " +
         // NOLINTNEXTLINE: the encoder writes unsigned characters.
         std::string(reinterpret_cast<const char*>(encoded.data())) +
         "\r\n\r\n";
}

/// Returns the frame of the first message of a peer.
std::string HelloFrame(const std::string& node) {
  constexpr char kFinalBinary = '\x82';
  Hello hello;
  hello.role = "gateway";
  hello.node = node;
  hello.incarnation = 1;
  const std::string message = Encode(hello);
  cr_assert_lt(message.size(), 126);
  return std::string{kFinalBinary, static_cast<char>(message.size())} + message;
}

/// Peer that cuts its side of the handshake after more bytes each time, and
/// completes it in the end.
class CuttingPeer {
 public:
  /// @param sent number of bytes that are sent first.
  CuttingPeer(CloseKind close, std::size_t sent)
      : close(close),
        sent(sent),
        server("127.0.0.1:0", [this](const std::string& head, int /*index*/) {
          return this->Respond(head);
        }) {}

  const std::string& address() const { return this->server.address(); }

 private:
  CutResponse Respond(const std::string& head) {
    const std::string key =
        processes::RawConnection::FieldOf(head, "sec-websocket-key");
    const std::string bytes = HandshakeResponse(key) + HelloFrame(kCut);
    if (this->sent >= bytes.size())
      return {HandshakeResponse(key) + HelloFrame(kWhole), CloseKind::kEnd,
              true};
    const std::string part = bytes.substr(0, this->sent);
    this->sent += kServersPerClose;
    return {part, this->close};
  }

  CloseKind close;
  std::size_t sent;
  CutServer server;  ///< Last, since its thread uses the other members.
};

/// Counts the links that come up, by the name of the peer.
class LinkCounter : public ILinkObserver {
 public:
  void OnLinkUp(const LinkPtr& link, kernel::TimePoint /*now*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->links[link->peer().node];
    this->changed.notify_all();
  }
  void OnMessage(const LinkPtr& /*link*/, Message /*message*/,
                 kernel::TimePoint /*now*/) override {}
  void OnLinkDown(const LinkPtr& /*link*/, kernel::TimePoint /*now*/) override {
  }

  void AwaitWhole(std::size_t count) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] { return this->links[kWhole] >= count; });
  }
  std::size_t Count(const std::string& node) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->links[node];
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::size_t> links;
};

}  // namespace

// Guards against a link that is up after a part of its handshake, and against
// one that is not opened again.
Test(cut_handshake, opens_no_link_until_its_head_and_hello_are_whole,
     .timeout = 60) {
  LinkLimits limits;
  limits.min_reconnect_delay = kernel::Millis(1);
  limits.max_reconnect_delay = kernel::Millis(1);
  WsHub<PlainSecurity> hub(limits, PlainSecurity{},
                           std::make_shared<kernel::Metrics>());
  hub.SetStateProviders([] { return Hello{}; }, [] { return Heartbeat{}; });
  const auto counter = std::make_shared<LinkCounter>();
  hub.Subscribe(counter);
  std::vector<std::unique_ptr<CuttingPeer>> peers;
  std::vector<std::string> addresses;
  for (const CloseKind close : processes::kCloseKinds) {
    for (std::size_t sent = 0; sent < kServersPerClose; ++sent) {
      peers.push_back(std::make_unique<CuttingPeer>(close, sent));
      addresses.push_back(peers.back()->address());
    }
  }
  hub.SetTargets(addresses);
  hub.Start();
  counter->AwaitWhole(peers.size());
  cr_expect_eq(counter->Count(kCut), 0, "%zu links", counter->Count(kCut));
  hub.Stop();
}

}  // namespace banyanlane::link
