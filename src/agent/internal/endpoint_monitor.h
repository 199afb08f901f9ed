#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::agent {

/// Work that was running when the endpoint may have been lost.
struct CohortMember {
  std::string fingerprint;
  std::int64_t crash_limit = 0;
};

/// Knows whether the endpoint is up, and what a loss of it is to be blamed on.
///
/// A cut connection alone is no loss. Its caller is told only once a probe on a
/// new connection has shown whether the endpoint crashed, so that the evidence
/// reaches entries ahead of a retry.
class EndpointMonitor {
 public:
  /// What a probe settled.
  struct ProbeResult {
    bool went_down = false;
    bool recovered = false;
    bool crashed = false;
    std::vector<CohortMember>
        cohort;  ///< Ran when it crashed; empty without a crash.
    std::vector<std::string>
        failed_streams;  ///< Streams whose callers can be told now.
  };

  bool IsUp() const { return this->up; }
  bool IsProbing() const { return this->probing; }

  /// @return whether a probe is to be sent.
  bool BeginProbe();

  /// Returns whether the endpoint is down and due for another look.
  bool IsProbeDue(kernel::TimePoint now) const;

  /// The connection of `stream` was cut while `cohort` was running.
  void OnConnectionAborted(std::string stream,
                           std::vector<CohortMember> cohort);

  /// @param boot the endpoint's own name for this life, or "".
  ProbeResult OnProbe(bool responded, std::string_view boot_id,
                      kernel::TimePoint now);

 private:
  bool up = true;
  bool probing = false;
  std::string last_boot_id;
  kernel::TimePoint last_probe;
  std::vector<CohortMember> cohort;
  std::vector<std::string> failed_streams;
};

}  // namespace banyanlane::agent
