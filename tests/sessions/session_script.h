#pragma once

#include <string>

namespace banyanlane::sessions {

/// Runs the commands of a session, which are its lines that begin with "> ".
/// @return the comments and commands of the session, with the events that each
/// command caused below it.
std::string PlaySession(const std::string& session);

}  // namespace banyanlane::sessions
