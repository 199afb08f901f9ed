#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "link/i_link.h"

namespace banyanlane::link {

/// Sends and closes on the transport below a session.
class ITransport {
 public:
  virtual ~ITransport() = default;
  virtual void Send(std::string frame) = 0;
  virtual void Close(std::string_view reason) = 0;
  /// Returns the bytes queued and not yet sent.
  virtual std::size_t QueuedBytes() const = 0;
  virtual std::string Address() const = 0;
};

/// What every session of a hub shares.
struct SharedSessionState {
  LinkLimits limits;
  std::function<Hello()> hello;
  std::function<Heartbeat()> heartbeat;
  std::vector<std::shared_ptr<ILinkObserver>> observers;
};

/// One link: handshake, decoding, heartbeats and detection of silence.
class LinkSession : public ILink,
                    public std::enable_shared_from_this<LinkSession> {
 public:
  LinkSession(std::shared_ptr<const SharedSessionState> shared,
              std::shared_ptr<ITransport> transport, kernel::TimePoint now);

  std::uint64_t id() const override { return this->link_id; }
  const Hello& peer() const override { return this->peer_hello; }
  bool Send(const Message& message) override;
  void Close(std::string_view reason) override;

  /// The transport is open: says Hello.
  /// @param certified_name name in the peer's certificate, or "" on a plain
  /// link.
  void OnOpen(std::string certified_name, kernel::TimePoint now);
  /// A frame came in.
  void OnFrame(std::string_view frame, kernel::TimePoint now);
  /// Time has passed: sends a heartbeat or closes a silent link.
  void OnTick(kernel::TimePoint now);
  /// The transport has closed.
  void OnClosed(kernel::TimePoint now);

  bool IsUp() const { return this->up; }

 private:
  void OnHello(const Hello& hello, kernel::TimePoint now);
  void RefusePeer(const std::string& reason);
  void RefuseFrame(const kernel::Error& error);

  const std::uint64_t link_id;
  std::shared_ptr<const SharedSessionState> shared;
  std::shared_ptr<ITransport> transport;
  Hello peer_hello;
  std::string certified_name;
  kernel::TimePoint opened_at;
  kernel::TimePoint last_received;
  kernel::TimePoint last_heartbeat;
  std::atomic<bool> up{false};
  std::atomic<bool> closed{false};
};

}  // namespace banyanlane::link
