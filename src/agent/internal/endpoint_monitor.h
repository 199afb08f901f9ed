#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::agent {

/// Work that was running when a connection to the endpoint was lost.
struct AffectedWork {
  std::string fingerprint;
  std::int64_t crash_limit = 0;
};

/// Tracks whether the endpoint is up, and which work was running when it
/// crashed.
///
/// A lost connection alone is no crash. A probe on a new connection shows
/// whether the endpoint crashed. The streams that lost their connection end
/// only after that probe, so that crash evidence reaches the entries before a
/// retry.
class EndpointMonitor {
 public:
  /// What a probe has shown.
  struct ProbeResult {
    bool went_down = false;
    bool recovered = false;
    bool crashed = false;  ///< The endpoint crashed while work was running.
    /// Work that was running at the crash; empty without a crash.
    std::vector<AffectedWork> affected_work;
    /// Streams that lost their connection. They can end now.
    std::vector<std::string> failed_streams;
  };

  bool IsUp() const { return this->up; }
  bool IsProbing() const { return this->probing; }

  /// Marks a probe as under way.
  /// @return false when one was under way already.
  bool BeginProbe();

  /// Returns whether the endpoint is down and the probe period has passed.
  bool IsProbeDue(kernel::TimePoint now) const;

  /// Records that the connection of `stream_id` was lost.
  /// @param running work that was running at that time, including that of the
  /// stream. Not used while a probe is under way.
  void OnConnectionLost(std::string stream_id,
                        std::vector<AffectedWork> running);

  /// Processes the result of a probe.
  /// @param responded whether the endpoint is up.
  /// @param boot_id id that the endpoint gives itself at each start, or ""
  /// when the probe returned none.
  ProbeResult OnProbe(bool responded, std::string_view boot_id,
                      kernel::TimePoint now);

 private:
  bool up = true;
  bool probing = false;
  std::string last_boot_id;
  kernel::TimePoint last_probe;
  std::vector<AffectedWork> affected_work;
  std::vector<std::string> failed_streams;
};

}  // namespace banyanlane::agent
