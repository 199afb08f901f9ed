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

/// Answers the caller with a whole response.
struct DeliverWhole {
  http::HttpResponse response;
};

/// Begins a response in parts.
struct DeliverHead {
  int status = 200;
  http::Headers headers;
};

/// Passes on the next part.
struct DeliverData {
  std::string data;
  std::uint64_t end_offset = 0;  ///< Offset after its last byte.
};

/// Ends a response in parts as whole.
struct DeliverEnd {};

/// Breaks off a response in parts, so that it can't pass for whole.
struct DeliverCut {
  Problem problem;
};

/// Answers the caller with a problem.
struct DeliverProblem {
  Problem problem;
};

/// Writes a log event.
struct FlowReport {
  kernel::EventId event;
  kernel::EventFields fields;
};

/// What a request's decisions ask of their adapters.
using FlowAction =
    std::variant<SendToAgent, DeliverWhole, DeliverHead, DeliverData,
                 DeliverEnd, DeliverCut, DeliverProblem, FlowReport>;
using FlowActions = std::vector<FlowAction>;

}  // namespace banyanlane::entry
