#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "direct/i_caller_protocol.h"
#include "direct/internal/endpoint_pool.h"
#include "kernel/event_log.h"

namespace banyanlane::direct {

/// Sends the request to an endpoint.
struct CallEndpoint {
  std::uint64_t attempt = 0;
  EndpointChoice endpoint;
  AttemptParameters parameters;
  kernel::Millis connect_timeout{0};
};

/// Closes the connection of an attempt. Nothing of it is heard any more.
struct CancelCall {
  std::uint64_t attempt = 0;
};

/// Counts the end of an attempt at its endpoint.
struct ReleaseEndpoint {
  EndpointChoice endpoint;
  AttemptResult result = AttemptResult::kCompleted;
};

/// Answers the caller with an endpoint's whole answer.
struct SendResponse {
  http::HttpResponse response;
};

/// Begins to pass a stream on.
struct SendStreamHead {
  int status = 200;
  http::Headers headers;
};

/// Passes whole events of a stream on.
struct SendEvents {
  std::string text;
};

/// Ends a stream as whole.
struct SendStreamEnd {};

/// Breaks a stream off, so that it can't pass for whole.
struct AbortResponse {};

/// Answers the caller with a refusal of the gateway's own.
struct SendRefusal {
  int status = 503;
  std::string reason;
  std::int64_t retry_after_ms = -1;  ///< Negative: not said.
};

/// Writes a log event.
struct WriteLogEvent {
  kernel::EventId event;
  kernel::EventFields fields;
};

using DirectAction =
    std::variant<CallEndpoint, CancelCall, ReleaseEndpoint, SendResponse,
                 SendStreamHead, SendEvents, SendStreamEnd, AbortResponse,
                 SendRefusal, WriteLogEvent>;
using DirectActions = std::vector<DirectAction>;

}  // namespace banyanlane::direct
