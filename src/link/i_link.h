#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::link {

/// Open link to a peer that has sent its Hello.
class ILink {
 public:
  virtual ~ILink() = default;
  /// Returns an id that is unique within this process.
  virtual std::uint64_t id() const = 0;
  /// Returns the Hello that the peer has sent.
  virtual const Hello& peer() const = 0;
  /// Queues `message` for sending. Closes the link when its queue exceeds
  /// LinkLimits::max_queue_bytes.
  /// @return false when the link is closed.
  virtual bool Send(const Message& message) = 0;
  /// Closes the link.
  /// @param reason text that is sent to the peer.
  virtual void Close(std::string_view reason) = 0;
};

using LinkPtr = std::shared_ptr<ILink>;

/// Receives the events of links. The events of one link arrive in order.
class ILinkObserver {
 public:
  virtual ~ILinkObserver() = default;
  virtual void OnLinkUp(const LinkPtr& link, kernel::TimePoint now) = 0;
  virtual void OnMessage(const LinkPtr& link, Message message,
                         kernel::TimePoint now) = 0;
  virtual void OnLinkDown(const LinkPtr& link, kernel::TimePoint now) = 0;
};

/// Time and size limits of a link.
struct LinkLimits {
  kernel::Millis heartbeat_period{1'000};
  /// Number of missed heartbeats after which a peer counts as silent.
  int missed_heartbeats = 3;
  kernel::Millis handshake_timeout{2'000};
  kernel::Millis min_reconnect_delay{100};
  kernel::Millis max_reconnect_delay{2'000};
  /// Maximum time from closing a link to the acknowledgement of the peer, which
  /// has then received all messages.
  kernel::Millis close_timeout{200};
  /// The same for all links together when the process stops.
  kernel::Millis stop_timeout{600};
  /// Maximum number of open connections that other processes have opened.
  std::size_t max_accepted = 512;
  /// Maximum size of a frame before the peer's Hello.
  std::size_t max_hello_bytes = std::size_t{64} * 1024;
  std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_queue_bytes = std::size_t{32} * 1024 * 1024;

  /// Returns the time without a frame after which a link is closed.
  kernel::Millis SilenceTimeout() const {
    return this->heartbeat_period * this->missed_heartbeats;
  }
};

/// Opens and accepts links, sends heartbeats, and closes silent links.
class ILinkHub {
 public:
  virtual ~ILinkHub() = default;

  /// Sets the functions that return the Hello of a new link and the content of
  /// each heartbeat.
  virtual void SetStateProviders(std::function<Hello()> hello,
                                 std::function<Heartbeat()> heartbeat) = 0;

  /// Adds an observer of all links. Call before Start.
  virtual void Subscribe(std::shared_ptr<ILinkObserver> observer) = 0;

  /// Accepts links at `address`.
  /// @return the port, or an error when the address is invalid or in use.
  virtual kernel::Result<std::uint16_t> Listen(const std::string& address) = 0;

  /// Opens one link to each of `addresses`, reconnects it when it closes, and
  /// closes the links opened to other addresses.
  virtual void SetTargets(const std::vector<std::string>& addresses) = 0;

  /// Returns the links that are up.
  virtual std::vector<LinkPtr> Links() const = 0;

  /// Returns the number of bytes of messages that wait to be sent.
  virtual std::size_t QueuedBytes() const = 0;

  virtual void Start() = 0;
  /// Closes all links. Before it returns, peers that acknowledge the close in
  /// time have received all messages that were sent.
  virtual void Stop() = 0;
};

}  // namespace banyanlane::link
