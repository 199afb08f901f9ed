#include "experts/internal/placement_planner.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>

namespace banyanlane::experts {
namespace {

constexpr int kMaxBalanceRounds = 24;
/// Ratio of the slowest rank's time to the mean up to which a layer is
/// balanced.
constexpr double kBalancedRatio = 1.01;
/// Minimum number of the ranks with the least time that are tried as the target
/// of a move.
constexpr std::size_t kMinColdRanksTried = 6;
/// In large groups one rank in this many is tried as the target of a move.
constexpr std::size_t kColdRanksDivisor = 8;
constexpr std::size_t kHotExpertsTried = 4;
constexpr std::size_t kMaxMovesPerLayer = 1'024;
/// Maximum number of moves that are evaluated together, since a single one
/// seldom reduces the time of the slowest rank.
constexpr std::size_t kMovesPerBatch = 8;

/// Working state of one layer: the slots that hold each expert, and the time of
/// each rank.
class LayerState {
 public:
  LayerState(LayerPlacement& placement, const LayerLoad& load,
             const RankSpeeds& speeds)
      : placement(placement), load(load), speeds(speeds), holders(load.size()) {
    for (std::size_t rank = 0; rank < placement.slots.size(); ++rank) {
      for (std::size_t slot = 0; slot < placement.slots[rank].size(); ++slot) {
        this->holders[placement.slots[rank][slot].expert].push_back(
            {rank, slot});
      }
    }
    this->times = RankTimes(placement, load, speeds);
  }

  struct Place {
    std::size_t rank;
    std::size_t slot;
  };

  const std::vector<double>& Times() const { return this->times; }
  const std::vector<Place>& Holders(std::size_t expert) const {
    return this->holders[expert];
  }

  double MaxTime() const {
    return *std::max_element(this->times.begin(), this->times.end());
  }

  bool Holds(std::size_t rank, std::size_t expert) const {
    const auto& places = this->holders[expert];
    return std::any_of(
        places.begin(), places.end(),
        [rank](const Place& place) { return place.rank == rank; });
  }

  /// Sets the shares of one expert's replicas so that the times of its ranks
  /// are as equal as possible.
  void BalanceExpert(std::size_t expert) {
    const auto& places = this->holders[expert];
    if (places.size() < 2 || this->load[expert] <= 0) return;
    // Distributes the expert's load over its ranks, beginning with the rank
    // that has the least time without it.
    double expert_load = this->load[expert];
    std::vector<std::pair<double, double>>
        base_times;  // Time without the expert, and speed.
    for (const Place& place : places) {
      const double own = this->load[expert] * this->ReplicaAt(place).share;
      base_times.emplace_back(
          this->times[place.rank] - own / this->speeds[place.rank],
          this->speeds[place.rank]);
    }
    const double level = FillLevel(base_times, expert_load);
    for (std::size_t i = 0; i < places.size(); ++i) {
      const double amount =
          std::max(0.0, level - base_times[i].first) * base_times[i].second;
      this->ReplicaAt(places[i]).share = amount / this->load[expert];
      this->times[places[i].rank] =
          base_times[i].first + amount / base_times[i].second;
    }
  }

  void BalanceAll() {
    for (int round = 0; round < kMaxBalanceRounds; ++round) {
      const double before = this->MaxTime();
      for (std::size_t expert = 0; expert < this->load.size(); ++expert) {
        this->BalanceExpert(expert);
      }
      constexpr double kConvergedRatio = 0.9995;
      if (this->MaxTime() > before * kConvergedRatio) return;
    }
  }

  /// Puts `expert` into a slot whose expert has other replicas.
  void Replace(const Place& place, std::size_t expert) {
    Replica& replica = this->ReplicaAt(place);
    const std::size_t old_expert = replica.expert;
    const double old_load = this->load[old_expert] * replica.share;
    this->times[place.rank] -= old_load / this->speeds[place.rank];
    auto& old_places = this->holders[old_expert];
    old_places.erase(std::remove_if(old_places.begin(), old_places.end(),
                                    [&place](const Place& other) {
                                      return other.rank == place.rank &&
                                             other.slot == place.slot;
                                    }),
                     old_places.end());
    // The first of the other replicas receives its share until the shares are
    // balanced.
    Replica& successor = this->ReplicaAt(old_places.front());
    successor.share += replica.share;
    this->times[old_places.front().rank] +=
        old_load / this->speeds[old_places.front().rank];
    replica = Replica{expert, 0.0};
    this->holders[expert].push_back(place);
    this->BalanceExpert(old_expert);
    this->BalanceExpert(expert);
  }

  Replica& ReplicaAt(const Place& place) {
    return this->placement.slots[place.rank][place.slot];
  }

 private:
  /// Returns the time that ranks reach when `amount` of load is added to the
  /// ranks with the least time first.
  /// @param base_times time before and speed of each rank.
  static double FillLevel(std::vector<std::pair<double, double>> base_times,
                          double amount) {
    std::sort(base_times.begin(), base_times.end());
    double speed = 0;
    double level = base_times.front().first;
    for (std::size_t i = 0; i < base_times.size(); ++i) {
      speed += base_times[i].second;
      const bool last = i + 1 == base_times.size();
      const double next = last ? std::numeric_limits<double>::infinity()
                               : base_times[i + 1].first;
      const double capacity = (next - level) * speed;
      if (amount <= capacity) return level + amount / speed;
      amount -= capacity;
      level = next;
    }
    return level;
  }

  LayerPlacement& placement;
  const LayerLoad& load;
  const RankSpeeds& speeds;
  std::vector<std::vector<Place>> holders;
  std::vector<double> times;
};

/// Returns the slot of `rank` with the least load among those whose expert has
/// other replicas.
std::optional<std::size_t> SlotToReplace(LayerState& state,
                                         const LayerPlacement& placement,
                                         const LayerLoad& load,
                                         std::size_t rank) {
  std::optional<std::size_t> best;
  double min_served = std::numeric_limits<double>::infinity();
  for (std::size_t slot = 0; slot < placement.slots[rank].size(); ++slot) {
    const Replica& replica = placement.slots[rank][slot];
    if (state.Holders(replica.expert).size() < 2) continue;
    const double served = load[replica.expert] * replica.share;
    if (served >= min_served) continue;
    min_served = served;
    best = slot;
  }
  return best;
}

/// Returns the experts that cause most load on `rank`, the highest load first.
std::vector<std::size_t> HotExperts(const LayerPlacement& placement,
                                    const LayerLoad& load, std::size_t rank) {
  std::vector<Replica> replicas = placement.slots[rank];
  std::sort(replicas.begin(), replicas.end(),
            [&load](const Replica& left, const Replica& right) {
              return load[left.expert] * left.share >
                     load[right.expert] * right.share;
            });
  std::vector<std::size_t> experts;
  experts.reserve(replicas.size());
  for (const Replica& replica : replicas) experts.push_back(replica.expert);
  if (experts.size() > kHotExpertsTried) experts.resize(kHotExpertsTried);
  return experts;
}

/// Adds one replica of a hot expert of the slowest rank to a cold rank.
/// @return the move, or nothing if none reduces the time of the slowest rank.
std::optional<Move> RelieveSlowest(LayerPlacement& placement,
                                   const LayerLoad& load,
                                   const RankSpeeds& speeds) {
  LayerState state(placement, load, speeds);
  const auto& times = state.Times();
  const auto slowest = static_cast<std::size_t>(
      std::max_element(times.begin(), times.end()) - times.begin());
  std::vector<std::size_t> cold_ranks(times.size());
  std::iota(cold_ranks.begin(), cold_ranks.end(), 0);
  const std::size_t tried_count = std::min(
      cold_ranks.size(),
      std::max(kMinColdRanksTried, cold_ranks.size() / kColdRanksDivisor));
  std::partial_sort(
      cold_ranks.begin(),
      cold_ranks.begin() + static_cast<std::ptrdiff_t>(tried_count),
      cold_ranks.end(), [&times](std::size_t left, std::size_t right) {
        return times[left] < times[right];
      });
  cold_ranks.resize(tried_count);
  for (const std::size_t expert : HotExperts(placement, load, slowest)) {
    for (const std::size_t rank : cold_ranks) {
      if (rank == slowest || state.Holds(rank, expert)) continue;
      const auto slot = SlotToReplace(state, placement, load, rank);
      if (!slot) continue;
      const LayerPlacement before = placement;
      LayerState trial(placement, load, speeds);
      const double slow_before = trial.Times()[slowest];
      const double cold_before = trial.Times()[rank];
      trial.Replace({rank, *slot}, expert);
      const bool helps = trial.Times()[slowest] < slow_before &&
                         trial.Times()[rank] < slow_before &&
                         cold_before < slow_before &&
                         trial.MaxTime() <= slow_before;
      if (helps) return Move{0, rank, *slot, expert};
      placement = before;
    }
  }
  return std::nullopt;
}

double SlowestTime(const LayerPlacement& placement, const LayerLoad& load,
                   const RankSpeeds& speeds) {
  const auto times = RankTimes(placement, load, speeds);
  return *std::max_element(times.begin(), times.end());
}

}  // namespace

void PlacementPlanner::BalanceShares(LayerPlacement& placement,
                                     const LayerLoad& load,
                                     const RankSpeeds& speeds) {
  LayerState(placement, load, speeds).BalanceAll();
}

Plan PlacementPlanner::Improve(const Placement& current,
                               const GroupLoad& planning_load,
                               const GroupLoad& evaluation_load,
                               const RankSpeeds& speeds) const {
  Plan plan;
  plan.placement = current;
  const double total_time =
      std::max(MinStepTime(evaluation_load, speeds), 1e-9);
  for (std::size_t layer = 0; layer < current.layers.size(); ++layer) {
    this->ImproveLayer(layer, plan.placement.layers[layer],
                       planning_load[layer], evaluation_load[layer], speeds,
                       total_time, plan.moves);
    // Changing shares moves no weights, so they are based on the most accurate
    // estimate, the mean of both.
    LayerLoad mean = planning_load[layer];
    for (std::size_t expert = 0; expert < mean.size(); ++expert) {
      mean[expert] = (mean[expert] + evaluation_load[layer][expert]) / 2;
    }
    BalanceShares(plan.placement.layers[layer], mean, speeds);
  }
  return plan;
}

void PlacementPlanner::ImproveLayer(std::size_t layer,
                                    LayerPlacement& placement,
                                    const LayerLoad& planning_load,
                                    const LayerLoad& evaluation_load,
                                    const RankSpeeds& speeds, double total_time,
                                    std::vector<Move>& moves) const {
  BalanceShares(placement, planning_load, speeds);
  const double total_speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
  const double mean =
      std::accumulate(planning_load.begin(), planning_load.end(), 0.0) /
      total_speed;
  std::size_t moves_made = 0;
  while (moves_made < kMaxMovesPerLayer) {
    LayerPlacement trial = placement;
    std::vector<Move> batch;
    while (batch.size() < kMovesPerBatch &&
           SlowestTime(trial, planning_load, speeds) > mean * kBalancedRatio) {
      auto move = RelieveSlowest(trial, planning_load, speeds);
      if (!move) break;
      move->layer = layer;
      batch.push_back(*move);
    }
    if (batch.empty()) return;
    BalanceShares(trial, planning_load, speeds);
    const double saved_time = SlowestTime(placement, evaluation_load, speeds) -
                              SlowestTime(trial, evaluation_load, speeds);
    const double saved_s = saved_time / total_time *
                           this->economics.lifetime_s *
                           this->economics.busy_share;
    const double benefit = saved_s * this->economics.skew_weight;
    const double cost = static_cast<double>(batch.size()) *
                        this->economics.move_s * this->economics.move_weight;
    if (benefit <= cost) return;
    placement = std::move(trial);
    moves.insert(moves.end(), batch.begin(), batch.end());
    moves_made += batch.size();
  }
}

}  // namespace banyanlane::experts
