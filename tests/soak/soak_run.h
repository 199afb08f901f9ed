#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/loss_judge.h"
#include "soak/soak_asio.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"
#include "soak/soak_server.h"

namespace banyanlane::soak {

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
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);
  SoakReport Run();

 private:
  void StartTraffic();
  void SendClass(const RequestSpec& spec, asio::yield_context yield);
  void DoPlannedWork(asio::yield_context yield);
  void DoOnePieceOfWork();
  /// Stops a gateway as the platform does, and starts it again.
  void Restart(const std::string& gateway, asio::yield_context yield);
  void Reload(const std::string& gateway);
  void WatchProcesses(asio::yield_context yield);
  void Pause(kernel::Millis time, asio::yield_context yield);
  void CollectLogLines();
  bool HasEnded() const { return kernel::Clock::now() >= this->end; }
  std::string PickGateway();

  const SoakOptions options;
  LossJudge judge;
  SoakFleet fleet;
  asio::io_context io;
  std::mt19937_64 random;
  std::vector<std::shared_ptr<SoakServer>> servers;
  std::vector<std::shared_ptr<SoakCaller>> callers;
  std::set<std::string> restarting;  ///< Gateways that are stopped now.
  kernel::TimePoint end;
  int in_flight = 0;
  SoakReport report;
};

/// Returns a text with all that a run found.
std::string Describe(const SoakReport& report);

}  // namespace banyanlane::soak
