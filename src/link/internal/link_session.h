#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/metrics.h"
#include "link/i_link.h"

namespace banyanlane::link {

/// Connection that carries the frames of a session.
class ITransport {
 public:
  virtual ~ITransport() = default;
  virtual void Send(std::string frame) = 0;
  /// Closes the connection after what is queued has been sent.
  /// @param timeout time after which the connection is ended in any case.
  virtual void Close(std::string_view reason, kernel::Millis timeout) = 0;
  /// Returns the number of bytes queued and not yet sent.
  virtual std::size_t QueuedBytes() const = 0;
  virtual std::string Address() const = 0;
};

/// State shared by all sessions of a hub.
struct SharedSessionState {
  LinkLimits limits;
  std::function<Hello()> hello;
  std::function<Heartbeat()> heartbeat;
  std::vector<std::shared_ptr<ILinkObserver>> observers;
  std::shared_ptr<kernel::Metrics> metrics;
};

/// One link. Handles the handshake, decoding, heartbeats and detection of
/// silent peers.
class LinkSession : public ILink,
                    public std::enable_shared_from_this<LinkSession> {
 public:
  LinkSession(std::shared_ptr<const SharedSessionState> shared,
              std::shared_ptr<ITransport> transport, kernel::TimePoint now);

  std::uint64_t id() const override { return this->link_id; }
  const Hello& peer() const override { return this->peer_hello; }
  bool Send(const Message& message) override;
  void Close(std::string_view reason) override;

  /// Sends Hello when the transport has opened.
  /// @param certified_name common name in the peer's certificate. It is "" on a
  /// plain text link and for a certificate without a common name; the peer's
  /// node id is not checked then.
  void OnOpen(std::string certified_name, kernel::TimePoint now);
  /// Processes a received frame.
  void OnFrame(std::string_view frame, kernel::TimePoint now);
  /// Sends a heartbeat when due, and closes a silent link.
  void OnTick(kernel::TimePoint now);
  /// Reports the end of the link to the observers.
  void OnClosed(kernel::TimePoint now);

  /// Closes the link after all messages have been sent.
  /// @param timeout maximum time until the peer acknowledges the close.
  void CloseWithin(kernel::Millis timeout, std::string_view reason);

  bool IsUp() const { return this->up; }
  std::size_t QueuedBytes() const { return this->transport->QueuedBytes(); }

 private:
  void OnHello(const Hello& hello, kernel::TimePoint now);
  void CountBytes(std::string_view direction, const Message& message,
                  std::size_t bytes);
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
