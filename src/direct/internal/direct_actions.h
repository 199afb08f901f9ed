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
  AttemptTerms terms;
  kernel::Millis connect_timeout{0};
};

/// Closes the connection of an attempt. Nothing of it is heard any more.
struct AbandonCall {
  std::uint64_t attempt = 0;
};

/// Counts the end of an attempt at its endpoint.
struct ReleaseEndpoint {
  EndpointChoice endpoint;
  AttemptResult result = AttemptResult::kAnswered;
};

/// Answers the caller with an endpoint's whole answer.
struct PassAnswer {
  http::HttpResponse response;
};

/// Begins to pass a stream on.
struct PassHead {
  int status = 200;
  http::Headers headers;
};

/// Passes whole events of a stream on.
struct PassEvents {
  std::string text;
};

/// Ends a stream as whole.
struct PassEnd {};

/// Breaks a stream off, so that it can't pass for whole.
struct CutAnswer {};

/// Answers the caller with a refusal of the gateway's own.
struct Refuse {
  int status = 503;
  std::string reason;
  std::int64_t retry_after_ms = -1;  ///< Negative: not said.
};

/// Writes a log event.
struct Report {
  kernel::EventId event;
  kernel::EventFields fields;
};

using DirectAction =
    std::variant<CallEndpoint, AbandonCall, ReleaseEndpoint, PassAnswer,
                 PassHead, PassEvents, PassEnd, CutAnswer, Refuse, Report>;
using DirectActions = std::vector<DirectAction>;

}  // namespace banyanlane::direct
