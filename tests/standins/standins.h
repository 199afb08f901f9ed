#pragma once

#include <memory>
#include <string>

#include "http/i_http_handler.h"

namespace banyanlane::standins {

/// Makes a platform. It serves the contents of the last PUT /control/config and
/// PUT /control/instances under /v1/config and /v1/instances. PUT /control/mode
/// with the body "down" makes it respond with status 503 to all GET requests;
/// with "ok", it responds normally again.
std::shared_ptr<http::IHttpHandler> MakePlatform();

/// Makes a model engine, whose tokens repeat the request's last message. The
/// word CRASH in that message ends the process before the response. After half
/// of the tokens, CUT aborts the response, and STALL sends nothing more but
/// leaves the response open.
/// @param token_millis time between two tokens.
std::shared_ptr<http::IHttpHandler> MakeEngine(int token_millis);

/// Makes a plain service. It counts the executions by method, path and body,
/// and serves the counts under /control/executions. The word SLOW in a request
/// body delays the response by 1.5 s; CUT closes the connection without a
/// response. Both requests are counted.
std::shared_ptr<http::IHttpHandler> MakeService();

}  // namespace banyanlane::standins
