#pragma once

#include <string>

namespace banyanlane::standins {

/// Forwards connections made to `listen` to the address `to`, until a signal
/// ends the process.
///
/// On SIGUSR1, all open connections stop forwarding permanently in both
/// directions, without being closed. Later connections are forwarded normally.
/// @return the exit status of the process.
int RunRelay(const std::string& listen, const std::string& to);

}  // namespace banyanlane::standins
