#pragma once

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "limits/internal/shared_rate_limits.h"

namespace banyanlane::limits {

/// Gateways in simulated time that send requests to one server. Requests for
/// which there is no permit go elsewhere.
class SimulatedGateways {
 public:
  /// @param size number of gateways; each is linked to at most 96 others.
  /// @param per_second requests a second of each gateway.
  SimulatedGateways(std::size_t size, const std::vector<double>& per_second,
                    std::uint64_t seed);
  ~SimulatedGateways();

  /// Lets `span` pass.
  void Run(kernel::Millis span);
  /// Sets what the server names in its responses; 0 for no limit.
  void SetLimit(double per_second) { this->limit = per_second; }
  /// Restarts the process of a gateway, which is down for two seconds.
  void Restart(std::size_t gateway);
  /// Cuts the links of a gateway to the others, or restores them.
  void SetCut(std::size_t gateway, bool is_cut);
  /// Cuts the links between the two halves of the gateways, or restores them.
  void SetSplit(bool split);
  /// Multiplies the traffic of all gateways.
  void SetTraffic(double factor) { this->traffic = factor; }
  /// Starts the gateways from `first` on, which were down, or stops them.
  void SetRunning(std::size_t first, bool is_running);

  /// Returns the largest number of requests that the server got in any four
  /// seconds since `since`.
  int MostInFourSeconds(kernel::TimePoint since) const;
  /// Returns the number of requests that the server got since `since`.
  int CountSince(kernel::TimePoint since) const;
  kernel::TimePoint Now() const { return this->now; }

 private:
  struct Gateway;
  struct Delivery;

  /// Starts the processes whose down time is over.
  void StartProcesses();
  void DeliverMessages();
  /// Lets one gateway send requests and messages, and receive responses.
  void Step(std::size_t gateway);
  void ConnectAll();
  void SetLink(std::size_t left, std::size_t right, bool is_up);
  void SendRequests(Gateway& gateway);
  void ReceiveResponses(Gateway& gateway);
  bool IsNear(std::size_t left, std::size_t right) const;
  double ReachOf(std::size_t gateway) const;

  kernel::TimePoint now;
  std::minstd_rand random;
  double limit = 0;
  double traffic = 1;
  bool is_split = false;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::vector<bool>> links;
  std::deque<Delivery> deliveries;
  std::vector<kernel::TimePoint> arrivals;
};

}  // namespace banyanlane::limits
