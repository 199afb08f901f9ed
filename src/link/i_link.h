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

/// An open link to a peer that has said Hello.
class ILink {
 public:
  virtual ~ILink() = default;
  /// Returns a number unique within this process.
  virtual std::uint64_t id() const = 0;
  /// Returns the peer's first message.
  virtual const Hello& peer() const = 0;
  /// Queues `message`. @return false when the link has closed or its queue is
  /// over its bound.
  virtual bool Send(const Message& message) = 0;
  /// Closes the link.
  virtual void Close(std::string_view reason) = 0;
};

using LinkPtr = std::shared_ptr<ILink>;

/// Receives what happens on links; calls for one link come in order.
class ILinkObserver {
 public:
  virtual ~ILinkObserver() = default;
  virtual void OnLinkUp(const LinkPtr& link, kernel::TimePoint now) = 0;
  virtual void OnMessage(const LinkPtr& link, Message message,
                         kernel::TimePoint now) = 0;
  virtual void OnLinkDown(const LinkPtr& link, kernel::TimePoint now) = 0;
};

/// Liveness bounds of a link. Silence is detected within heartbeat * misses.
struct LinkLimits {
  kernel::Millis heartbeat_period{1'000};
  int missed_heartbeats = 3;
  kernel::Millis handshake_timeout{2'000};
  kernel::Millis min_reconnect_delay{100};
  kernel::Millis max_reconnect_delay{2'000};
  std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_queue_bytes = std::size_t{32} * 1024 * 1024;

  /// Returns how long a link may be silent.
  kernel::Millis SilenceTimeout() const {
    return this->heartbeat_period * this->missed_heartbeats;
  }
};

/// Opens links, accepts them, and keeps them alive.
class ILinkHub {
 public:
  virtual ~ILinkHub() = default;

  /// Sets what each new link says first, and what each heartbeat carries.
  virtual void SetStateProviders(std::function<Hello()> hello,
                                 std::function<Heartbeat()> heartbeat) = 0;

  /// Adds an observer of all links; call before Start.
  virtual void Subscribe(std::shared_ptr<ILinkObserver> observer) = 0;

  /// Accepts links at `address`. @return the port.
  virtual kernel::Result<std::uint16_t> Listen(const std::string& address) = 0;

  /// Keeps one link to each of `addresses`; those to others are closed.
  virtual void SetTargets(const std::vector<std::string>& addresses) = 0;

  /// Returns the links that are up.
  virtual std::vector<LinkPtr> Links() const = 0;

  virtual void Start() = 0;
  virtual void Stop() = 0;
};

}  // namespace banyanlane::link
