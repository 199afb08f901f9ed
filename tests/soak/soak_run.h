#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/loss_judge.h"
#include "soak/soak.h"
#include "soak/soak_asio.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"
#include "soak/soak_server.h"

namespace banyanlane::soak {

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

}  // namespace banyanlane::soak
