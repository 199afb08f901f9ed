#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "direct/i_caller_protocol.h"
#include "direct/internal/endpoint_pool.h"
#include "evidence/crash_attribution.h"
#include "kernel/event_log.h"

namespace banyanlane::direct {

/// Sends the request to an endpoint.
struct CallEndpoint {
  std::uint64_t attempt = 0;
  EndpointChoice endpoint;
  AttemptParameters parameters;
  kernel::Millis connect_timeout{0};
};

/// Closes the connection of an attempt. Later results of the attempt are
/// ignored.
struct CancelCall {
  std::uint64_t attempt = 0;
};

/// Stops reading the response to an attempt.
struct PauseCall {
  std::uint64_t attempt = 0;
};

/// Goes on reading the response to an attempt.
struct ResumeCall {
  std::uint64_t attempt = 0;
};

/// Reports to the endpoint pool that an attempt has ended.
struct ReleaseEndpoint {
  EndpointChoice endpoint;
  AttemptResult result = AttemptResult::kCompleted;
};

/// Reports that the connection of an attempt ended before the endpoint was seen
/// to survive it.
struct ReportLostConnection {
  EndpointChoice endpoint;
  evidence::LostAttempt attempt;
};

/// Reports that the endpoint began to respond to an attempt at the request.
struct ReportBegun {
  kernel::TimePoint sent_at;  ///< When the attempt was sent.
};

/// Reports that the endpoint survived an attempt at the request.
struct ReportSurvival {
  kernel::TimePoint sent_at;  ///< When the attempt was sent.
};

/// Reports the rate limit that an endpoint's response names, or that it names
/// none.
struct ReportRateLimit {
  std::string endpoint;
  std::optional<double> per_second;
  kernel::TimePoint sent_at;  ///< When the request was sent.
};

/// Reports the pause between two events of the stream.
struct ReportPause {
  kernel::Millis pause{0};
};

/// Sends an endpoint's complete response to the caller.
struct SendResponse {
  http::HttpResponse response;
};

/// Sends the response head of a stream to the caller.
struct SendStreamHead {
  int status = 200;
  http::Headers headers;
};

/// Sends complete events of a stream to the caller.
struct SendEvents {
  std::string text;
};

/// Ends a stream as complete.
struct SendStreamEnd {};

/// Aborts a response, so that the caller can't mistake it for a complete one.
struct AbortResponse {
  std::string reason;
};

/// Sends a refusal of the gateway itself to the caller.
struct SendRefusal {
  int status = 503;
  std::string reason;
  std::int64_t retry_after_ms = -1;  ///< Negative to leave it out.
};

struct WriteLogEvent {
  kernel::EventId event;
  kernel::EventFields fields;
};

using DirectAction =
    std::variant<CallEndpoint, CancelCall, PauseCall, ResumeCall,
                 ReleaseEndpoint, ReportLostConnection, ReportBegun,
                 ReportSurvival, ReportRateLimit, ReportPause, SendResponse,
                 SendStreamHead, SendEvents, SendStreamEnd, AbortResponse,
                 SendRefusal, WriteLogEvent>;
using DirectActions = std::vector<DirectAction>;

}  // namespace banyanlane::direct
