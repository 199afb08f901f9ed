#pragma once

#include <string>

namespace banyanlane::sessions {

/// Plays the commands of a session, its lines that begin with "> ", and returns
/// the session with what each command brought about below it.
std::string PlaySession(const std::string& session);

}  // namespace banyanlane::sessions
