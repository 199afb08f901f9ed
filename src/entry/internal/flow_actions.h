#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "entry/internal/problem.h"
#include "http/http_types.h"
#include "kernel/event_log.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Sends a message to the agent on `link`.
struct SendToAgent {
  std::uint64_t link = 0;
  link::Message message;
};

/// Sends a complete response to the caller.
struct DeliverResponse {
  http::HttpResponse response;
};

/// Starts a streamed response.
struct DeliverHead {
  int status = 200;
  http::Headers headers;
};

/// Sends the next bytes of a streamed response.
struct DeliverData {
  std::string data;
  std::uint64_t end_offset = 0;  ///< Offset after the last byte of `data`.
};

/// Completes a streamed response.
struct DeliverEnd {};

/// Aborts a streamed response, so that the caller can't mistake it for a
/// complete one.
struct DeliverAbort {
  Problem problem;
};

/// Sends a problem response to the caller.
struct DeliverProblem {
  Problem problem;
};

/// Writes a log event.
struct WriteLogEvent {
  kernel::EventId event;
  kernel::EventFields fields;
};

/// Action that a request flow returns for the service to perform.
using FlowAction =
    std::variant<SendToAgent, DeliverResponse, DeliverHead, DeliverData,
                 DeliverEnd, DeliverAbort, DeliverProblem, WriteLogEvent>;
using FlowActions = std::vector<FlowAction>;

}  // namespace banyanlane::entry
