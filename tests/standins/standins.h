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

/// Makes the key-value store of the users' platform. PUT /control/item?key=K
/// writes the body as the value of K, or deletes K if the body is empty. PUT
/// /control/copy makes a copy of the store, and PUT /control/restore replaces
/// the store by the last copy, as after the loss of recent writes. PUT
/// /control/mode works as in MakePlatform; with the body "silent", calls whose
/// responses fall due get none, now or later, and keep their connections.
/// /control/calls returns the number of calls since the start.
std::shared_ptr<http::IHttpHandler> MakeStore();

/// Makes a server that gateways call directly. It streams five events for paths
/// under /stream/, slowly if the body contains SLOW, and otherwise responds
/// with its id. It serves the number of executions by request id under
/// /control/executions. A request whose body contains CRASH, or with a prompt
/// part whose id contains "dead", ends the process after the beginning of the
/// response; so does one for the path set by PUT /control/crash. PUT
/// /control/limit sets the requests a second that its responses
/// name as the limit of all callers together; an empty body ends the limit.
/// PUT /control/refuse lets it refuse all requests with status 503 and the body
/// as Retry-After, as not run unless the query has "unproven"; an empty body
/// ends that. PUT /control/leaving with the body "1" lets its responses say
/// that it leaves. /control/arrivals returns the number of requests since the
/// start, refused ones included.
/// @param id instance id in the list of endpoints.
std::shared_ptr<http::IHttpHandler> MakeServer(const std::string& id);

}  // namespace banyanlane::standins
