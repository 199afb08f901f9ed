#pragma once

#include <cstdint>

#include "agent/internal/agent_actions.h"
#include "agent/internal/stream.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Sends the response of a stream to its subscribers within their unread
/// window, and pauses reading from the endpoint while the slowest subscriber is
/// too far behind.
class ResponseSender {
 public:
  /// @param incarnation incarnation of this agent, sent in every message.
  explicit ResponseSender(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  /// Appends to `actions` the messages that can be sent now, and an action that
  /// pauses or resumes the endpoint call when needed. Removes subscribers to
  /// which Ended is sent.
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

/// Returns the milliseconds after which to retry when an attempt ended with
/// `reason`, or 0 when unknown.
std::uint64_t RetryAfterMillis(link::Reason reason);

}  // namespace banyanlane::agent
