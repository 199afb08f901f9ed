#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "experts/internal/rank_service.h"

namespace banyanlane::experts {

class SimulatedEngine;

/// Size of a group and of the links of its ranks' machines.
struct SimulatedGroupShape {
  std::size_t ranks = 0;
  std::size_t layers = 0;
  std::size_t experts = 0;  ///< Number of experts in each layer.
  std::size_t max_experts_per_rank = 0;
  /// Bytes per second that a machine's link carries in each direction.
  double link_bytes_per_second = 0;
  /// Time in which a rank copies one expert.
  kernel::Millis copy_time{110};
};

/// Rank agents of one group on simulated engines, links and time. Messages are
/// encoded as on real links, and wait while an earlier one occupies the link of
/// the sender's or the receiver's machine.
class SimulatedGroup {
 public:
  explicit SimulatedGroup(const SimulatedGroupShape& shape);
  ~SimulatedGroup();
  SimulatedGroup(const SimulatedGroup&) = delete;
  SimulatedGroup& operator=(const SimulatedGroup&) = delete;

  void Run(kernel::Millis length);

  /// Makes other experts the most selected ones.
  void ShiftDemand() { ++this->demand_phase; }

  /// Restarts the agent of one rank. Its engine continues.
  void RestartAgent(std::size_t rank);

  /// Stops the agent of one rank gracefully. Its engine continues.
  void StopAgent(std::size_t rank);
  /// Returns whether the agent of a rank that was stopped has ended.
  bool HasEnded(std::size_t rank) const { return this->nodes[rank].has_ended; }
  std::uint64_t StepCount() const { return this->step; }

  /// Returns the largest number of bytes that one machine has sent or received
  /// within one second.
  std::size_t MaxBytesInOneSecond() const { return this->max_bytes; }
  /// Returns the longest time that a message has waited for the links.
  kernel::Millis MaxDelay() const { return this->max_delay; }
  int MapChanges() const { return this->map_changes; }
  /// Returns whether all ranks have used the same map in each step.
  bool HadOneMapInEachStep() const { return this->had_one_map; }
  /// Returns the longest time from one step to the next.
  kernel::Millis MaxStepPause() const { return this->max_pause; }
  /// Returns the load of the most loaded rank relative to the mean, for the
  /// map in use and averaged over layers.
  double Skew() const;

 private:
  friend class SimulatedEngine;
  class Link;
  class Peers;
  /// Bytes that one machine has transferred in one direction.
  struct Traffic {
    kernel::TimePoint free_at;
    std::map<kernel::TimePoint, std::size_t> recent;
    std::size_t recent_bytes = 0;
  };
  struct Node {
    std::unique_ptr<SimulatedEngine> engine;
    std::shared_ptr<RankService> service;
    std::shared_ptr<Peers> peers;
    std::map<std::size_t, std::shared_ptr<Link>> links;  ///< By peer.
    std::set<std::size_t> targets;
    Traffic out;
    Traffic in;
    std::uint64_t incarnation = 0;
    bool is_stopping = false;
    bool has_ended = false;
  };

  void Schedule(kernel::Millis delay, std::function<void()> run);
  void Start(std::size_t rank);
  /// Closes the links of an agent whose process ends.
  void CloseLinks(std::size_t rank);
  /// Ends the agent of a rank if its stop is over.
  /// @return whether it has ended.
  bool EndIfStopped(std::size_t rank);
  void Tick(std::size_t rank, std::uint64_t incarnation);
  void BeginStep();
  void SetTargets(std::size_t from, const std::vector<std::string>& addresses);
  void Transmit(std::size_t from, std::size_t to, const link::Message& message);
  /// Occupies a link for the time that `bytes` take, and returns its end.
  kernel::TimePoint Occupy(Traffic& traffic, std::size_t bytes,
                           kernel::TimePoint from);
  double SelectionsOf(std::size_t layer, std::size_t expert) const;

  SimulatedGroupShape shape;
  kernel::TimePoint now = kernel::TimePoint{} + std::chrono::hours(1);
  std::multimap<kernel::TimePoint, std::function<void()>> events;
  std::vector<Node> nodes;
  std::size_t demand_phase = 0;
  std::uint64_t step = 0;
  kernel::TimePoint last_step_at;
  std::size_t max_bytes = 0;
  kernel::Millis max_delay{0};
  kernel::Millis max_pause{0};
  int map_changes = 0;
  bool had_one_map = true;
};

}  // namespace banyanlane::experts
