#pragma once

#include <string>

namespace banyanlane::standins {

/// Passes connections at `listen` on to `to`. At SIGUSR1 those that are open go
/// silent for good, in both directions and without closing; new ones work. Runs
/// until SIGTERM.
int RunRelay(const std::string& listen, const std::string& to);

}  // namespace banyanlane::standins
