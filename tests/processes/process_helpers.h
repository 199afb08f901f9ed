#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "processes/fleet.h"

namespace banyanlane::processes {

/// Configuration of most tests: chat work, a lookup, and a close that is not
/// repeatable.
extern const char* const kConfig;

/// Returns kConfig with the first `from` replaced by `to`.
std::string ConfigWith(const std::string& from, const std::string& to);

/// Returns the text that the engine stand-in streams for `message`.
std::string ExpectedTokens(const std::string& message, int tokens);

/// Joins the tokens of an event stream.
std::string TokensOf(const std::string& events);

/// Returns a key for one close.
std::string IssueKey(Fleet& fleet, const std::string& entry);

/// Returns the parsed body of a response.
nlohmann::json ParseProblem(const http::HttpResponse& response);

/// Starts a platform, endpoints and two entries, and waits until all of them
/// are ready.
void StartDefaultFleet(Fleet& fleet, int engines, bool relayed = false);

/// Starts a platform with `config`, `engines` engines and one entry, and waits
/// for them.
void StartSingleEntryFleet(Fleet& fleet, const std::string& config,
                           int engines = 1);

/// Returns what the engine stand-in of `name` counts.
nlohmann::json EngineStats(Fleet& fleet, const std::string& name);

/// Returns the agent that an answer's name tells.
std::string AgentOf(const ResponseRecorder& response);

}  // namespace banyanlane::processes
