#include "experts/internal/even_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace banyanlane::experts {
namespace {

using LayerMap = std::vector<std::vector<std::uint64_t>>;

/// Changes that are tried on one layer before it is left as it is.
constexpr int kMostChanges = 96;
/// Power under which loads are summed: high, so that the most loaded rank
/// counts most, and not so high that the next ones count for nothing.
constexpr int kPower = 12;

std::vector<double> LoadsOf(const LayerMap& layer, const LayerLoad& load) {
  std::vector<std::size_t> holders(load.size(), 0);
  for (const auto& experts : layer) {
    for (const std::uint64_t expert : experts) ++holders[expert];
  }
  std::vector<double> loads(layer.size(), 0.0);
  for (std::size_t rank = 0; rank < layer.size(); ++rank) {
    for (const std::uint64_t expert : layer[rank])
      loads[rank] += load[expert] / static_cast<double>(holders[expert]);
  }
  return loads;
}

/// One layer while it is improved.
class LayerSearch {
 public:
  LayerSearch(const LayerMap& current, const LayerLoad& load,
              const MapBounds& bounds)
      : before(current),
        layer(current),
        load(load),
        bounds(bounds),
        held(current.size(), std::vector<bool>(load.size(), false)),
        holders(load.size(), 0),
        fresh(current.size(), 0) {
    for (std::size_t rank = 0; rank < current.size(); ++rank) {
      for (const std::uint64_t expert : current[rank]) {
        this->held[rank][expert] = true;
        ++this->holders[expert];
      }
    }
    this->loads = LoadsOf(current, load);
    const double total =
        std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
    this->mean = std::max(total / static_cast<double>(current.size()), 1e-12);
  }

  /// Makes the change that helps the most loaded rank most. @return whether
  /// there was one.
  bool Step(double least_gain) {
    const auto slowest = static_cast<std::size_t>(
        std::max_element(this->loads.begin(), this->loads.end()) -
        this->loads.begin());
    Change best;
    best.cost = this->Cost(this->loads) * (1 - least_gain);
    for (const std::uint64_t expert : this->layer[slowest]) {
      for (std::size_t rank = 0; rank < this->layer.size(); ++rank) {
        if (this->loads[rank] >= this->loads[slowest]) continue;
        if (!this->held[rank][expert]) this->TryBring(expert, slowest, rank, best);
      }
      this->TryDrop(expert, slowest, best);
    }
    if (best.kind == Change::Kind::kNone) return false;
    this->Apply(best);
    return true;
  }

  const LayerMap& result() const { return this->layer; }

 private:
  struct Change {
    enum class Kind { kNone, kAdd, kReplace, kSwap, kMove, kDrop };
    Kind kind = Kind::kNone;
    std::size_t from = 0;      ///< The most loaded rank.
    std::size_t to = 0;        ///< The rank that takes the expert.
    std::uint64_t expert = 0;  ///< Given to `to`.
    std::uint64_t other = 0;   ///< Given up by `to`.
    double cost = 0;
  };

  double Cost(const std::vector<double>& ranks) const {
    double sum = 0;
    for (const double rank : ranks) sum += std::pow(rank / this->mean, kPower);
    return sum;
  }

  bool WasHeld(std::size_t rank, std::uint64_t expert) const {
    const auto& experts = this->before[rank];
    return std::find(experts.begin(), experts.end(), expert) != experts.end();
  }

  bool MayTake(std::size_t rank, std::uint64_t expert) const {
    return this->WasHeld(rank, expert) ||
           this->fresh[rank] < this->bounds.spare;
  }

  /// Adds to `ranks` what a change in the number of holders does to those of
  /// `expert`, without `skip`.
  void Spread(std::vector<double>& ranks, std::uint64_t expert, double each,
              std::size_t skip) const {
    for (std::size_t rank = 0; rank < this->layer.size(); ++rank) {
      if (rank != skip && this->held[rank][expert]) ranks[rank] += each;
    }
  }

  double Share(std::uint64_t expert, std::size_t count) const {
    return this->load[expert] / static_cast<double>(count);
  }

  void TryBring(std::uint64_t expert, std::size_t from, std::size_t to,
                Change& best) const {
    if (!this->MayTake(to, expert)) return;
    const std::size_t count = this->holders[expert];
    const double now = this->Share(expert, count);
    const double then = this->Share(expert, count + 1);
    std::vector<double> added = this->loads;
    this->Spread(added, expert, then - now, this->layer.size());
    added[to] += then;
    std::vector<double> moved = this->loads;
    moved[from] -= now;
    moved[to] += now;
    if (this->layer[to].size() < this->bounds.places) {
      this->Offer({Change::Kind::kAdd, from, to, expert, expert, 0}, added,
                  best);
      this->Offer({Change::Kind::kMove, from, to, expert, expert, 0}, moved,
                  best);
    }
    for (const std::uint64_t other : this->layer[to]) {
      if (other == expert) continue;
      this->TryExchange(expert, other, from, to, added, moved, best);
    }
  }

  void TryExchange(std::uint64_t expert, std::uint64_t other, std::size_t from,
                   std::size_t to, const std::vector<double>& added,
                   const std::vector<double>& moved, Change& best) const {
    const std::size_t count = this->holders[other];
    const double share = this->Share(other, count);
    if (count > 1) {
      std::vector<double> ranks = added;
      ranks[to] -= share;
      this->Spread(ranks, other, this->Share(other, count - 1) - share, to);
      this->Offer({Change::Kind::kReplace, from, to, expert, other, 0}, ranks,
                  best);
    }
    if (!this->held[from][other] && this->MayTake(from, other)) {
      std::vector<double> ranks = moved;
      ranks[to] -= share;
      ranks[from] += share;
      this->Offer({Change::Kind::kSwap, from, to, expert, other, 0}, ranks,
                  best);
    }
  }

  void TryDrop(std::uint64_t expert, std::size_t from, Change& best) const {
    const std::size_t count = this->holders[expert];
    if (count < 2) return;
    const double share = this->Share(expert, count);
    std::vector<double> ranks = this->loads;
    ranks[from] -= share;
    this->Spread(ranks, expert, this->Share(expert, count - 1) - share, from);
    this->Offer({Change::Kind::kDrop, from, from, expert, expert, 0}, ranks,
                best);
  }

  void Offer(Change change, const std::vector<double>& ranks,
             Change& best) const {
    change.cost = this->Cost(ranks);
    if (change.cost < best.cost) best = change;
  }

  void Give(std::size_t rank, std::uint64_t expert) {
    this->layer[rank].push_back(expert);
    this->held[rank][expert] = true;
    ++this->holders[expert];
    if (!this->WasHeld(rank, expert)) ++this->fresh[rank];
  }

  void Take(std::size_t rank, std::uint64_t expert) {
    auto& experts = this->layer[rank];
    experts.erase(std::find(experts.begin(), experts.end(), expert));
    this->held[rank][expert] = false;
    --this->holders[expert];
    if (!this->WasHeld(rank, expert)) --this->fresh[rank];
  }

  void Apply(const Change& change) {
    switch (change.kind) {
      case Change::Kind::kNone:
        break;
      case Change::Kind::kAdd:
        this->Give(change.to, change.expert);
        break;
      case Change::Kind::kReplace:
        this->Take(change.to, change.other);
        this->Give(change.to, change.expert);
        break;
      case Change::Kind::kSwap:
        this->Take(change.to, change.other);
        this->Take(change.from, change.expert);
        this->Give(change.to, change.expert);
        this->Give(change.from, change.other);
        break;
      case Change::Kind::kMove:
        this->Take(change.from, change.expert);
        this->Give(change.to, change.expert);
        break;
      case Change::Kind::kDrop:
        this->Take(change.from, change.expert);
        break;
    }
    this->loads = LoadsOf(this->layer, this->load);
  }

  const LayerMap& before;
  LayerMap layer;
  const LayerLoad& load;
  const MapBounds& bounds;
  std::vector<std::vector<bool>> held;  ///< By rank and expert.
  std::vector<std::size_t> holders;     ///< By expert.
  std::vector<std::size_t> fresh;  ///< Experts new to each rank.
  std::vector<double> loads;
  double mean = 0;
};

}  // namespace

double MapTime(const ExpertMap& map, const GroupLoad& load) {
  double time = 0;
  for (std::size_t layer = 0; layer < map.size(); ++layer) {
    const auto loads = LoadsOf(map[layer], load[layer]);
    time += *std::max_element(loads.begin(), loads.end());
  }
  return time;
}

double LeastMapTime(const GroupLoad& load, std::size_t ranks) {
  double time = 0;
  for (const LayerLoad& layer : load)
    time += std::accumulate(layer.begin(), layer.end(), 0.0);
  return time / static_cast<double>(std::max<std::size_t>(1, ranks));
}

std::size_t CopiesBetween(const ExpertMap& before, const ExpertMap& after) {
  std::size_t copies = 0;
  for (std::size_t layer = 0; layer < after.size(); ++layer) {
    for (std::size_t rank = 0; rank < after[layer].size(); ++rank) {
      const auto& had = before[layer][rank];
      for (const std::uint64_t expert : after[layer][rank]) {
        if (std::find(had.begin(), had.end(), expert) == had.end()) ++copies;
      }
    }
  }
  return copies;
}

ExpertMap EvenPlanner::Improve(const ExpertMap& current,
                               const GroupLoad& load) const {
  ExpertMap improved;
  for (std::size_t layer = 0; layer < current.size(); ++layer) {
    LayerSearch search(current[layer], load[layer], this->bounds);
    for (int change = 0; change < kMostChanges; ++change) {
      if (!search.Step(this->least_gain)) break;
    }
    improved.push_back(search.result());
  }
  return improved;
}

}  // namespace banyanlane::experts
