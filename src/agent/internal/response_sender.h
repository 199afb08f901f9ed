#pragma once

#include <cstdint>

#include "agent/internal/agent_actions.h"
#include "agent/internal/stream.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Sends each subscriber of a stream what it may have by now, and holds the
/// endpoint back when the slowest has too much ahead of it.
class ResponseSender {
 public:
  /// @param incarnation of this agent, on every frame.
  explicit ResponseSender(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  /// Appends what is to be done to `actions`. Subscribers who got the end are
  /// dropped.
  void SendAvailable(Stream& stream, AgentActions& actions) const;

 private:
  void SendToSubscriber(Stream& stream, Subscriber& subscriber,
                        AgentActions& actions) const;
  void SendChunks(Stream& stream, Subscriber& subscriber,
                  AgentActions& actions) const;
  void SendEndedMessages(Stream& stream, AgentActions& actions) const;
  link::Ended EndedFor(const Stream& stream,
                       const Subscriber& subscriber) const;
  static void ApplyBackpressure(Stream& stream, AgentActions& actions);

  std::uint64_t incarnation;
};

/// Returns when to come back after `reason`, or 0 where nothing is known.
std::uint64_t RetryAfterMillis(link::Reason reason);

}  // namespace banyanlane::agent
