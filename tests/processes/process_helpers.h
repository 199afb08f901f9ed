#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "processes/fleet.h"

namespace banyanlane::processes {

/// Configuration of most tests, with the profiles chat, lookup and close, of
/// which close is not repeatable.
extern const char* const kConfig;

/// Returns kConfig with the first occurrence of `from`, which must exist,
/// replaced by `to`.
std::string ConfigWith(const std::string& from, const std::string& to);

/// Returns the text that the engine stand-in generates for `message`.
std::string ExpectedTokens(const std::string& message, int tokens);

/// Returns the concatenated tokens of a stream of server-sent events.
std::string TokensOf(const std::string& events);

/// Returns a new idempotency key for the profile close from `entry`.
std::string IssueKey(Fleet& fleet, const std::string& entry);

/// Returns the JSON body of a response, or a discarded value if it is invalid.
nlohmann::json ParseProblem(const http::HttpResponse& response);

/// Starts a platform with kConfig, `engines` engines m1, m2 and so on, the
/// service t1 and the entries e1 and e2, and waits until both entries can route
/// to all endpoints.
/// @param relayed whether entries reach the engines' agents through relays.
void StartDefaultFleet(Fleet& fleet, int engines, bool relayed = false);

/// Starts a platform with `config`, `engines` engines and the entry e1, and
/// waits until the entry can route to all engines.
void StartSingleEntryFleet(Fleet& fleet, const std::string& config,
                           int engines = 1);

/// Returns the counters of the engine stand-in behind the agent `name`.
nlohmann::json EngineStats(Fleet& fleet, const std::string& name);

/// Returns the name of the agent that holds the response, read from the
/// response id.
std::string AgentOf(const ResponseRecorder& response);

}  // namespace banyanlane::processes
