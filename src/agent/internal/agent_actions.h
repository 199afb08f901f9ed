#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "http/http_types.h"
#include "kernel/audit_trail.h"
#include "kernel/event_log.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::agent {

/// Sends a message on one link.
struct SendMessage {
  std::uint64_t link = 0;
  link::Message message;
};

/// Sends a message on every link.
struct Broadcast {
  link::Message message;
};

/// Begins a call to the endpoint.
struct StartCall {
  std::string stream;
  http::HttpRequest request;
  kernel::Millis head_timeout{0};
};

/// Closes the call's connection, which cancels the endpoint's work.
struct AbortCall {
  std::string stream;
};

/// Stops reading the call's answer.
struct PauseCall {
  std::string stream;
};

/// Goes on reading the call's answer.
struct ResumeCall {
  std::string stream;
};

/// Asks the endpoint on a new connection whether it is up.
struct ProbeEndpoint {};

/// Writes a log event.
struct WriteLogEvent {
  kernel::EventId event;
  kernel::EventFields fields;
};

/// Adds to the audit trail.
struct Audit {
  kernel::AuditKind kind;
  std::string subject;
  std::string cause;
};

/// What an agent's decisions ask of its adapters.
using AgentAction =
    std::variant<SendMessage, Broadcast, StartCall, AbortCall, PauseCall,
                 ResumeCall, ProbeEndpoint, WriteLogEvent, Audit>;
using AgentActions = std::vector<AgentAction>;

}  // namespace banyanlane::agent
