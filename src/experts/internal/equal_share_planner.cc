#include "experts/internal/equal_share_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "absl/container/inlined_vector.h"

namespace banyanlane::experts {
namespace {

using LayerMap = std::vector<std::vector<std::uint64_t>>;

/// Maximum number of changes to one map for each rank of each layer.
constexpr std::size_t kMaxChangesPerRank = 4;

/// Exponent of the power mean of the ranks' loads. It is high so that the most
/// loaded rank dominates, and low enough that the next ones still count.
constexpr double kPower = 12;

/// Returns `base` to the power of kPower.
double RaiseToPower(double base) {
  const double square = base * base;
  const double fourth = square * square;
  return fourth * fourth * fourth;
}

/// Returns the load of each rank multiplied by its slowdown.
std::vector<double> RankLoads(const LayerMap& layer, const LayerLoad& load,
                              const RankSlowdowns& slowdowns) {
  std::vector<std::size_t> holder_counts(load.size(), 0);
  for (const auto& experts : layer) {
    for (const std::uint64_t expert : experts) ++holder_counts[expert];
  }
  std::vector<double> loads(layer.size(), 0.0);
  for (std::size_t rank = 0; rank < layer.size(); ++rank) {
    for (const std::uint64_t expert : layer[rank])
      loads[rank] += load[expert] / static_cast<double>(holder_counts[expert]);
    loads[rank] *= slowdowns[rank];
  }
  return loads;
}

/// Differences that a change makes to the loads of some ranks. Few ranks hold
/// the same expert, so that most need no allocation.
using Deltas = absl::InlinedVector<std::pair<std::size_t, double>, 8>;

/// One change of a layer's map.
struct Change {
  enum class Kind { kNone, kAdd, kReplace, kSwap, kMove, kDrop };
  Kind kind = Kind::kNone;
  std::size_t from = 0;      ///< The most loaded rank.
  std::size_t to = 0;        ///< The rank that receives the expert.
  std::uint64_t expert = 0;  ///< Expert that `to` receives or `from` drops.
  /// Expert that is removed from `to`, for kReplace and kSwap.
  std::uint64_t displaced = 0;
  double saved = 0;  ///< Reduction of the layer's time, in the unit of loads.
  /// Sum of the costs of all ranks after the change, see LayerSearch::Cost.
  double cost_sum = 0;
};

/// Search for better maps of one layer.
class LayerSearch {
 public:
  /// @param current map in use.
  /// @param start map at which the search starts.
  /// @param copies number of experts that each rank must copy for all layers so
  /// far; shared by the searches of all layers.
  LayerSearch(const LayerMap& current, const LayerMap& start,
              const LayerLoad& load, const RankSlowdowns& slowdowns,
              const MapBounds& bounds, std::vector<std::size_t>& copies)
      : original(current),
        layer(start),
        load(load),
        slowdowns(slowdowns),
        bounds(bounds),
        copies(copies),
        holds(current.size(), std::vector<bool>(load.size(), false)),
        holders(load.size()),
        new_experts(current.size(), 0) {
    for (std::size_t rank = 0; rank < start.size(); ++rank) {
      for (const std::uint64_t expert : start[rank]) {
        this->holds[rank][expert] = true;
        this->holders[expert].push_back(rank);
        if (!this->WasHeldOriginally(rank, expert)) ++this->new_experts[rank];
      }
    }
    this->loads = RankLoads(start, load, slowdowns);
    const double total =
        std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
    this->mean = std::max(total / static_cast<double>(current.size()), 1e-12);
  }

  /// Returns the change to the most loaded rank that saves most time; its kind
  /// is kNone if none saves enough.
  /// @param min_gain fraction of the layer's time that it must save.
  Change FindBestChange(double min_gain) const {
    const auto slowest = static_cast<std::size_t>(
        std::max_element(this->loads.begin(), this->loads.end()) -
        this->loads.begin());
    double cost_sum = 0;
    for (const double rank_load : this->loads)
      cost_sum += this->Cost(rank_load);
    const double time = this->TimeOfCost(cost_sum);
    Change best;
    best.cost_sum = cost_sum * std::pow(1 - min_gain, kPower);
    for (const std::uint64_t expert : this->layer[slowest]) {
      for (std::size_t rank = 0; rank < this->layer.size(); ++rank) {
        const bool is_less_loaded = this->loads[rank] < this->loads[slowest];
        if (is_less_loaded && !this->holds[rank][expert])
          this->TryPlace(expert, slowest, rank, cost_sum, best);
      }
      this->TryDrop(expert, slowest, cost_sum, best);
    }
    best.saved = time - this->TimeOfCost(best.cost_sum);
    return best;
  }

  /// Returns whether the bounds on copies still allow a change of this layer
  /// that was found before other layers were changed.
  bool IsAllowed(const Change& change) const {
    switch (change.kind) {
      case Change::Kind::kNone:
      case Change::Kind::kDrop:
        return true;
      case Change::Kind::kSwap:
        return this->CanAdd(change.to, change.expert) &&
               this->CanAdd(change.from, change.displaced);
      case Change::Kind::kAdd:
      case Change::Kind::kReplace:
      case Change::Kind::kMove:
        return this->CanAdd(change.to, change.expert);
    }
    return false;
  }

  void Apply(const Change& change) {
    switch (change.kind) {
      case Change::Kind::kNone:
        break;
      case Change::Kind::kAdd:
        this->AddExpert(change.to, change.expert);
        break;
      case Change::Kind::kReplace:
        this->RemoveExpert(change.to, change.displaced);
        this->AddExpert(change.to, change.expert);
        break;
      case Change::Kind::kSwap:
        this->RemoveExpert(change.to, change.displaced);
        this->RemoveExpert(change.from, change.expert);
        this->AddExpert(change.to, change.expert);
        this->AddExpert(change.from, change.displaced);
        break;
      case Change::Kind::kMove:
        this->RemoveExpert(change.from, change.expert);
        this->AddExpert(change.to, change.expert);
        break;
      case Change::Kind::kDrop:
        this->RemoveExpert(change.from, change.expert);
        break;
    }
    this->loads = RankLoads(this->layer, this->load, this->slowdowns);
  }

  double HighestLoad() const {
    return *std::max_element(this->loads.begin(), this->loads.end());
  }

  /// Adds copies of experts that only one rank holds, the most loaded ones
  /// first, in rounds of one copy for each rank with a free place. A copy that
  /// /// would raise its rank's load above `max_load` is not added.
  /// @param allowed number of copies that may be added; lowered by those that
  /// are.
  void FillFreePlaces(double max_load, std::size_t& allowed) {
    std::vector<std::uint64_t> single = this->SingleExperts();
    std::vector<std::size_t> ranks(this->layer.size());
    std::iota(ranks.begin(), ranks.end(), std::size_t{0});
    std::sort(ranks.begin(), ranks.end(), [this](auto left, auto right) {
      return this->loads[left] < this->loads[right];
    });
    bool has_added = true;
    while (has_added) {
      has_added = false;
      for (const std::size_t rank : ranks) {
        if (allowed == 0) return;
        if (!this->AddSingleExpert(rank, max_load, single)) continue;
        --allowed;
        has_added = true;
      }
    }
  }

  const LayerMap& layer_map() const { return this->layer; }

 private:
  double Cost(double rank_load) const {
    return RaiseToPower(std::max(0.0, rank_load) / this->mean);
  }

  /// Returns the layer's time that corresponds to a sum of costs.
  double TimeOfCost(double cost_sum) const {
    return std::pow(std::max(cost_sum, 0.0), 1 / kPower) * this->mean;
  }

  /// Returns the experts that only one rank holds, the most loaded ones first.
  std::vector<std::uint64_t> SingleExperts() const {
    std::vector<std::uint64_t> single;
    for (std::uint64_t expert = 0; expert < this->load.size(); ++expert) {
      if (this->holders[expert].size() == 1) single.push_back(expert);
    }
    std::sort(single.begin(), single.end(), [this](auto left, auto right) {
      return this->load[left] > this->load[right];
    });
    return single;
  }

  /// Adds one of the experts in `single` to `rank` and removes it from the
  /// list.
  /// @return false if none can be added.
  bool AddSingleExpert(std::size_t rank, double max_load,
                       std::vector<std::uint64_t>& single) {
    const bool has_place =
        this->layer[rank].size() < this->bounds.max_experts_per_rank &&
        this->MayCopy(rank);
    if (!has_place) return false;
    const auto found =
        std::find_if(single.begin(), single.end(), [&](std::uint64_t expert) {
          return !this->holds[rank][expert] &&
                 this->loads[rank] + this->HalfLoad(expert, rank) <= max_load;
        });
    if (found == single.end()) return false;
    const std::size_t holder = this->holders[*found].front();
    this->loads[rank] += this->HalfLoad(*found, rank);
    this->loads[holder] -= this->HalfLoad(*found, holder);
    this->AddExpert(rank, *found);
    single.erase(found);
    return true;
  }

  /// Returns the time that `rank` needs for half of the load of `expert`.
  double HalfLoad(std::uint64_t expert, std::size_t rank) const {
    return this->ShareOf(expert, 2) * this->slowdowns[rank];
  }

  bool WasHeldOriginally(std::size_t rank, std::uint64_t expert) const {
    const auto& experts = this->original[rank];
    return std::find(experts.begin(), experts.end(), expert) != experts.end();
  }

  bool CanAdd(std::size_t rank, std::uint64_t expert) const {
    return this->WasHeldOriginally(rank, expert) || this->MayCopy(rank);
  }

  /// Returns whether the bounds allow one more copy to `rank`.
  bool MayCopy(std::size_t rank) const {
    return this->new_experts[rank] < this->bounds.max_new_experts_per_rank &&
           this->copies[rank] < this->bounds.max_copies;
  }

  double ShareOf(std::uint64_t expert, std::size_t count) const {
    return this->load[expert] / static_cast<double>(count);
  }

  /// Adds `amount` to the deltas of all ranks that hold `expert`, except
  /// `skip`.
  void AddToOtherHolders(Deltas& deltas, std::uint64_t expert, double amount,
                         std::size_t skip) const {
    for (const std::size_t rank : this->holders[expert]) {
      if (rank != skip) deltas.emplace_back(rank, amount);
    }
  }

  void TryPlace(std::uint64_t expert, std::size_t from, std::size_t to,
                double cost_sum, Change& best) const {
    if (!this->CanAdd(to, expert)) return;
    const std::size_t count = this->holders[expert].size();
    const double current_share = this->ShareOf(expert, count);
    const double new_share = this->ShareOf(expert, count + 1);
    Deltas added = {{to, new_share}};
    this->AddToOtherHolders(added, expert, new_share - current_share,
                            this->layer.size());
    const Deltas moved = {{from, -current_share}, {to, current_share}};
    if (this->layer[to].size() < this->bounds.max_experts_per_rank) {
      this->KeepIfBetter({Change::Kind::kAdd, from, to, expert, expert, 0, 0},
                         added, cost_sum, best);
      this->KeepIfBetter({Change::Kind::kMove, from, to, expert, expert, 0, 0},
                         moved, cost_sum, best);
    }
    for (const std::uint64_t displaced : this->layer[to]) {
      if (displaced == expert) continue;
      this->TryExchange(
          {Change::Kind::kNone, from, to, expert, displaced, 0, 0}, added,
          moved, cost_sum, best);
    }
  }

  void TryExchange(Change change, const Deltas& added, const Deltas& moved,
                   double cost_sum, Change& best) const {
    const std::size_t count = this->holders[change.displaced].size();
    const double share = this->ShareOf(change.displaced, count);
    if (count > 1) {
      Deltas deltas = added;
      deltas.emplace_back(change.to, -share);
      this->AddToOtherHolders(
          deltas, change.displaced,
          this->ShareOf(change.displaced, count - 1) - share, change.to);
      change.kind = Change::Kind::kReplace;
      this->KeepIfBetter(change, deltas, cost_sum, best);
    }
    const bool can_swap = !this->holds[change.from][change.displaced] &&
                          this->CanAdd(change.from, change.displaced);
    if (can_swap) {
      Deltas deltas = moved;
      deltas.emplace_back(change.to, -share);
      deltas.emplace_back(change.from, share);
      change.kind = Change::Kind::kSwap;
      this->KeepIfBetter(change, deltas, cost_sum, best);
    }
  }

  void TryDrop(std::uint64_t expert, std::size_t from, double cost_sum,
               Change& best) const {
    const std::size_t count = this->holders[expert].size();
    if (count < 2) return;
    const double share = this->ShareOf(expert, count);
    Deltas deltas = {{from, -share}};
    this->AddToOtherHolders(deltas, expert,
                            this->ShareOf(expert, count - 1) - share, from);
    this->KeepIfBetter({Change::Kind::kDrop, from, from, expert, expert, 0, 0},
                       deltas, cost_sum, best);
  }

  void KeepIfBetter(Change change, Deltas deltas, double cost_sum,
                    Change& best) const {
    std::sort(deltas.begin(), deltas.end());
    double changed = cost_sum;
    for (std::size_t i = 0; i < deltas.size();) {
      const std::size_t rank = deltas[i].first;
      double delta = 0;
      for (; i < deltas.size() && deltas[i].first == rank; ++i)
        delta += deltas[i].second;
      delta *= this->slowdowns[rank];
      changed +=
          this->Cost(this->loads[rank] + delta) - this->Cost(this->loads[rank]);
    }
    if (changed >= best.cost_sum) return;
    change.cost_sum = changed;
    best = change;
  }

  void AddExpert(std::size_t rank, std::uint64_t expert) {
    this->layer[rank].push_back(expert);
    this->holds[rank][expert] = true;
    this->holders[expert].push_back(rank);
    if (this->WasHeldOriginally(rank, expert)) return;
    ++this->new_experts[rank];
    ++this->copies[rank];
  }

  void RemoveExpert(std::size_t rank, std::uint64_t expert) {
    auto& experts = this->layer[rank];
    experts.erase(std::find(experts.begin(), experts.end(), expert));
    this->holds[rank][expert] = false;
    auto& ranks = this->holders[expert];
    ranks.erase(std::find(ranks.begin(), ranks.end(), rank));
    if (this->WasHeldOriginally(rank, expert)) return;
    --this->new_experts[rank];
    --this->copies[rank];
  }

  const LayerMap& original;
  LayerMap layer;
  const LayerLoad& load;
  const RankSlowdowns& slowdowns;
  const MapBounds& bounds;
  std::vector<std::size_t>& copies;               ///< By rank, for all layers.
  std::vector<std::vector<bool>> holds;           ///< By rank and expert.
  std::vector<std::vector<std::size_t>> holders;  ///< Ranks by expert.
  std::vector<std::size_t> new_experts;  ///< Number of copied experts by rank.
  /// By rank, see RankLoads.
  std::vector<double> loads;
  /// Mean of the loads before any change.
  double mean = 0;
};

/// Returns the number of experts that each rank must copy to switch from
/// `before` to `after`.
std::vector<std::size_t> CopiesByRank(const ExpertMap& before,
                                      const ExpertMap& after) {
  std::vector<std::size_t> copies(after.empty() ? 0 : after.front().size(), 0);
  for (std::size_t layer = 0; layer < after.size(); ++layer) {
    for (std::size_t rank = 0; rank < after[layer].size(); ++rank) {
      const auto& had = before[layer][rank];
      for (const std::uint64_t expert : after[layer][rank]) {
        if (std::find(had.begin(), had.end(), expert) == had.end())
          ++copies[rank];
      }
    }
  }
  return copies;
}

double SavedTime(const Change& change) {
  return change.kind == Change::Kind::kNone ? 0 : change.saved;
}

/// Returns the highest number of changes that a search makes.
std::size_t MaxChanges(const std::vector<LayerSearch>& layers) {
  const std::size_t ranks =
      layers.empty() ? 0 : layers.front().layer_map().size();
  return kMaxChangesPerRank * ranks * layers.size();
}

/// Makes the changes that save most, until none saves `min_gain` of a layer's
/// time.
void MakeChanges(std::vector<LayerSearch>& layers, double min_gain) {
  std::vector<Change> best;
  best.reserve(layers.size());
  for (const LayerSearch& layer : layers)
    best.push_back(layer.FindBestChange(min_gain));
  // All layers share the limit on a rank's copies, so the change that saves
  // most is made first.
  for (std::size_t made = 0; made < MaxChanges(layers); ++made) {
    const auto chosen = static_cast<std::size_t>(
        std::max_element(best.begin(), best.end(),
                         [](const Change& left, const Change& right) {
                           return SavedTime(left) < SavedTime(right);
                         }) -
        best.begin());
    if (best.empty() || best[chosen].kind == Change::Kind::kNone) return;
    // An earlier change may have used up the copies that this one needs.
    if (layers[chosen].IsAllowed(best[chosen]))
      layers[chosen].Apply(best[chosen]);
    best[chosen] = layers[chosen].FindBestChange(min_gain);
  }
}

}  // namespace

double MapStepTime(const ExpertMap& map, const GroupLoad& load,
                   const RankSlowdowns& slowdowns) {
  double time = 0;
  for (std::size_t layer = 0; layer < map.size(); ++layer) {
    const auto loads = RankLoads(map[layer], load[layer], slowdowns);
    time += *std::max_element(loads.begin(), loads.end());
  }
  return time;
}

double MinMapStepTime(const GroupLoad& load, const RankSlowdowns& slowdowns) {
  double speed = 0;
  for (const double slowdown : slowdowns) speed += 1 / slowdown;
  double time = 0;
  for (const LayerLoad& layer : load)
    time += std::accumulate(layer.begin(), layer.end(), 0.0);
  return speed > 0 ? time / speed : 0;
}

std::size_t CopiesBetween(const ExpertMap& before, const ExpertMap& after) {
  const auto copies = CopiesByRank(before, after);
  return std::accumulate(copies.begin(), copies.end(), std::size_t{0});
}

std::size_t MaxCopiesOfRank(const ExpertMap& before, const ExpertMap& after) {
  const auto copies = CopiesByRank(before, after);
  return copies.empty() ? 0 : *std::max_element(copies.begin(), copies.end());
}

ExpertMap EqualSharePlanner::FillFreePlaces(const ExpertMap& current,
                                            const ExpertMap& planned,
                                            const GroupLoad& load,
                                            const RankSlowdowns& slowdowns,
                                            double max_load_ratio,
                                            std::size_t max_total) const {
  std::vector<std::size_t> copies = CopiesByRank(current, planned);
  const std::size_t planned_total =
      std::accumulate(copies.begin(), copies.end(), std::size_t{0});
  std::size_t allowed = max_total - std::min(max_total, planned_total);
  ExpertMap filled;
  for (std::size_t layer = 0; layer < planned.size(); ++layer) {
    LayerSearch search(current[layer], planned[layer], load[layer], slowdowns,
                       this->bounds, copies);
    search.FillFreePlaces(max_load_ratio * search.HighestLoad(), allowed);
    filled.push_back(search.layer_map());
  }
  return filled;
}

std::vector<ExpertMap> EqualSharePlanner::ImproveInStages(
    const ExpertMap& current, const GroupLoad& load,
    const RankSlowdowns& slowdowns) const {
  const std::size_t ranks = current.empty() ? 0 : current.front().size();
  std::vector<std::size_t> copies(ranks, 0);
  MapBounds stage_bounds = this->bounds;
  std::vector<LayerSearch> layers;
  layers.reserve(current.size());
  for (std::size_t layer = 0; layer < current.size(); ++layer)
    layers.emplace_back(current[layer], current[layer], load[layer], slowdowns,
                        stage_bounds, copies);
  std::vector<ExpertMap> stages;
  for (stage_bounds.max_copies = 1;
       stage_bounds.max_copies <= this->bounds.max_copies;
       ++stage_bounds.max_copies) {
    MakeChanges(layers, this->min_gain);
    ExpertMap improved;
    for (const LayerSearch& layer : layers)
      improved.push_back(layer.layer_map());
    stages.push_back(std::move(improved));
    // If no rank has copied as much as it may, more copies change nothing.
    const bool is_limited = std::any_of(
        copies.begin(), copies.end(),
        [&](std::size_t count) { return count == stage_bounds.max_copies; });
    if (!is_limited) break;
  }
  return stages;
}

ExpertMap EqualSharePlanner::Improve(const ExpertMap& current,
                                     const GroupLoad& load,
                                     const RankSlowdowns& slowdowns) const {
  return this->ImproveInStages(current, load, slowdowns).back();
}

}  // namespace banyanlane::experts
