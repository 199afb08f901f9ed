#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "soak/loss_judge.h"
#include "soak/traffic_mix.h"

namespace banyanlane::soak {

/// How the processes of gateways are run.
struct GatewayProcesses {
  std::string binary;  ///< Path of the program.
  /// Limit on descriptors of each process, or 0 for that of this process.
  int descriptors = 0;
  /// Number of processors that all gateways share, or 0 for all.
  int processors = 0;
};

/// Kinds of planned work in a run.
struct WorkPlan {
  bool stops = true;
  bool reloads = true;
  bool configurations = true;
  /// Mean time between two pieces of work.
  kernel::Millis pause{2'000};
};

struct SoakOptions {
  TrafficMix mix;
  GatewayProcesses processes;
  WorkPlan plan;
  std::uint64_t seed = 1;
  kernel::Millis duration{20'000};
  /// See LossBounds.
  kernel::Millis unread_slack = LossBounds{}.unread_slack;
};

/// Result of a run.
struct SoakReport {
  std::vector<Finding> findings;
  std::string summary;
  std::size_t requests = 0;
  int stops = 0;
  int reloads = 0;
  int configurations = 0;
  int late_exits = 0;      ///< Stops that lasted longer than the grace period.
  int unplanned_ends = 0;  ///< Processes that ended by themselves.
  int peak_memory_kb = 0;
  int peak_descriptors = 0;
  /// Lines of the gateways' logs about the requests of the findings.
  std::vector<std::string> log_lines;
};

/// Runs real gateways before sound servers while callers send and the operator
/// does planned work, and judges from the sockets what was lost.
SoakReport RunSoak(SoakOptions options);

/// Returns a text with all that a run found.
std::string Describe(const SoakReport& report);

}  // namespace banyanlane::soak
