#pragma once

#include <memory>
#include <string>

#include "http/i_http_handler.h"

namespace banyanlane::standins {

/// Platform: holds what PUT /control/config and PUT /control/instances give it
/// and serves it by /v1/config and /v1/instances. PUT /control/mode with "ok"
/// or "down" sets a fault.
std::shared_ptr<http::IHttpHandler> MakePlatform();

/// Model engine: streams tokens that name the request's last message. The words
/// CRASH, CUT and STALL in that message bring about faults.
std::shared_ptr<http::IHttpHandler> MakeEngine(int token_millis);

/// Plain service: counts the executions of each idempotency key, shown by
/// /control/executions. The words CUT and SLOW in a body bring about faults.
std::shared_ptr<http::IHttpHandler> MakeService();

}  // namespace banyanlane::standins
