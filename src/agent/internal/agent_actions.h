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

/// Starts a call to the endpoint.
struct StartCall {
  std::string stream;
  http::HttpRequest request;
  kernel::Millis head_timeout{0};
};

/// Closes the call's connection, which cancels the work on the endpoint.
struct AbortCall {
  std::string stream;
};

/// Pauses reading the call's response.
struct PauseCall {
  std::string stream;
};

/// Resumes reading the call's response.
struct ResumeCall {
  std::string stream;
};

/// Checks on a new connection whether the endpoint is up.
struct ProbeEndpoint {};

/// Writes a log event.
struct WriteLogEvent {
  kernel::EventId event;
  kernel::EventFields fields;
};

/// Adds an entry to the audit trail.
struct Audit {
  kernel::AuditKind kind;
  std::string subject;
  std::string cause;
};

/// I/O that AgentCore requests; AgentService performs it.
using AgentAction =
    std::variant<SendMessage, Broadcast, StartCall, AbortCall, PauseCall,
                 ResumeCall, ProbeEndpoint, WriteLogEvent, Audit>;
using AgentActions = std::vector<AgentAction>;

}  // namespace banyanlane::agent
