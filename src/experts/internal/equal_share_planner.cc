#include "experts/internal/equal_share_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace banyanlane::experts {
namespace {

using LayerMap = std::vector<std::vector<std::uint64_t>>;

/// Changes that are made to one map at most, as a multiple of its layers and
/// ranks.
constexpr std::size_t kChangesPerRank = 4;

/// Power under which loads are summed: high, so that the most loaded rank
/// counts most, and not so high that the next ones count for nothing.
constexpr double kPower = 12;

double RaiseToPower(double base) {
  const double square = base * base;
  const double fourth = square * square;
  return fourth * fourth * fourth;
}

std::vector<double> LoadsOf(const LayerMap& layer, const LayerLoad& load,
                            const RankPaces& paces) {
  std::vector<std::size_t> holders(load.size(), 0);
  for (const auto& experts : layer) {
    for (const std::uint64_t expert : experts) ++holders[expert];
  }
  std::vector<double> loads(layer.size(), 0.0);
  for (std::size_t rank = 0; rank < layer.size(); ++rank) {
    for (const std::uint64_t expert : layer[rank])
      loads[rank] += load[expert] / static_cast<double>(holders[expert]);
    loads[rank] *= paces[rank];
  }
  return loads;
}

/// What a change does to the loads of some ranks.
using Deltas = std::vector<std::pair<std::size_t, double>>;

/// One change of a layer's map.
struct Change {
  enum class Kind { kNone, kAdd, kReplace, kSwap, kMove, kDrop };
  Kind kind = Kind::kNone;
  std::size_t from = 0;      ///< The most loaded rank.
  std::size_t to = 0;        ///< The rank that takes the expert.
  std::uint64_t expert = 0;  ///< Given to `to`.
  std::uint64_t other = 0;   ///< Given up by `to`.
  double saved = 0;          ///< Of the layer's time, in tokens.
};

/// One layer while it is improved.
class LayerSearch {
 public:
  /// @param copies how many experts each rank has still to copy in all layers.
  LayerSearch(const LayerMap& current, const LayerLoad& load,
              const RankPaces& paces, const MapBounds& bounds,
              std::vector<std::size_t>& copies)
      : before(current),
        layer(current),
        load(load),
        paces(paces),
        bounds(bounds),
        copies(copies),
        held(current.size(), std::vector<bool>(load.size(), false)),
        holders(load.size(), 0),
        fresh(current.size(), 0) {
    for (std::size_t rank = 0; rank < current.size(); ++rank) {
      for (const std::uint64_t expert : current[rank]) {
        this->held[rank][expert] = true;
        ++this->holders[expert];
      }
    }
    this->loads = LoadsOf(current, load, paces);
    const double total =
        std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
    this->mean = std::max(total / static_cast<double>(current.size()), 1e-12);
  }

  /// Returns the change that relieves the most loaded rank best.
  /// @param least_gain part of the layer's time that it must save.
  Change Best(double least_gain) const {
    const auto slowest = static_cast<std::size_t>(
        std::max_element(this->loads.begin(), this->loads.end()) -
        this->loads.begin());
    double sum = 0;
    for (const double rank : this->loads) sum += this->CostOf(rank);
    Change best;
    best.saved = this->Time(sum) * least_gain;
    for (const std::uint64_t expert : this->layer[slowest]) {
      for (std::size_t rank = 0; rank < this->layer.size(); ++rank) {
        const bool colder = this->loads[rank] < this->loads[slowest];
        if (colder && !this->held[rank][expert])
          this->TryBring(expert, slowest, rank, sum, best);
      }
      this->TryDrop(expert, slowest, sum, best);
    }
    return best;
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
    this->loads = LoadsOf(this->layer, this->load, this->paces);
  }

  const LayerMap& result() const { return this->layer; }

 private:
  double CostOf(double rank_load) const {
    return RaiseToPower(std::max(0.0, rank_load) / this->mean);
  }

  /// Returns the layer's time that a sum of costs stands for.
  double Time(double sum) const {
    return std::pow(std::max(sum, 0.0), 1 / kPower) * this->mean;
  }

  bool WasHeld(std::size_t rank, std::uint64_t expert) const {
    const auto& experts = this->before[rank];
    return std::find(experts.begin(), experts.end(), expert) != experts.end();
  }

  bool MayTake(std::size_t rank, std::uint64_t expert) const {
    if (this->WasHeld(rank, expert)) return true;
    return this->fresh[rank] < this->bounds.spare &&
           this->copies[rank] < this->bounds.copies;
  }

  double Share(std::uint64_t expert, std::size_t count) const {
    return this->load[expert] / static_cast<double>(count);
  }

  /// Adds `each` to the holders of `expert` other than `skip`.
  void Spread(Deltas& deltas, std::uint64_t expert, double each,
              std::size_t skip) const {
    for (std::size_t rank = 0; rank < this->layer.size(); ++rank) {
      if (rank != skip && this->held[rank][expert])
        deltas.emplace_back(rank, each);
    }
  }

  void TryBring(std::uint64_t expert, std::size_t from, std::size_t to,
                double sum, Change& best) const {
    if (!this->MayTake(to, expert)) return;
    const std::size_t count = this->holders[expert];
    const double now = this->Share(expert, count);
    const double then = this->Share(expert, count + 1);
    Deltas added = {{to, then}};
    this->Spread(added, expert, then - now, this->layer.size());
    const Deltas moved = {{from, -now}, {to, now}};
    if (this->layer[to].size() < this->bounds.places) {
      this->Offer({Change::Kind::kAdd, from, to, expert, expert, 0}, added, sum,
                  best);
      this->Offer({Change::Kind::kMove, from, to, expert, expert, 0}, moved,
                  sum, best);
    }
    for (const std::uint64_t other : this->layer[to]) {
      if (other != expert)
        this->TryExchange({Change::Kind::kNone, from, to, expert, other, 0},
                          added, moved, sum, best);
    }
  }

  void TryExchange(Change change, const Deltas& added, const Deltas& moved,
                   double sum, Change& best) const {
    const std::size_t count = this->holders[change.other];
    const double share = this->Share(change.other, count);
    if (count > 1) {
      Deltas deltas = added;
      deltas.emplace_back(change.to, -share);
      this->Spread(deltas, change.other,
                   this->Share(change.other, count - 1) - share, change.to);
      change.kind = Change::Kind::kReplace;
      this->Offer(change, deltas, sum, best);
    }
    const bool can_swap = !this->held[change.from][change.other] &&
                          this->MayTake(change.from, change.other);
    if (can_swap) {
      Deltas deltas = moved;
      deltas.emplace_back(change.to, -share);
      deltas.emplace_back(change.from, share);
      change.kind = Change::Kind::kSwap;
      this->Offer(change, deltas, sum, best);
    }
  }

  void TryDrop(std::uint64_t expert, std::size_t from, double sum,
               Change& best) const {
    const std::size_t count = this->holders[expert];
    if (count < 2) return;
    const double share = this->Share(expert, count);
    Deltas deltas = {{from, -share}};
    this->Spread(deltas, expert, this->Share(expert, count - 1) - share, from);
    this->Offer({Change::Kind::kDrop, from, from, expert, expert, 0}, deltas,
                sum, best);
  }

  void Offer(Change change, Deltas deltas, double sum, Change& best) const {
    std::sort(deltas.begin(), deltas.end());
    double changed = sum;
    for (std::size_t i = 0; i < deltas.size();) {
      const std::size_t rank = deltas[i].first;
      double delta = 0;
      for (; i < deltas.size() && deltas[i].first == rank; ++i)
        delta += deltas[i].second;
      delta *= this->paces[rank];
      changed += this->CostOf(this->loads[rank] + delta) -
                 this->CostOf(this->loads[rank]);
    }
    change.saved = this->Time(sum) - this->Time(changed);
    if (change.saved > best.saved) best = change;
  }

  void Give(std::size_t rank, std::uint64_t expert) {
    this->layer[rank].push_back(expert);
    this->held[rank][expert] = true;
    ++this->holders[expert];
    if (this->WasHeld(rank, expert)) return;
    ++this->fresh[rank];
    ++this->copies[rank];
  }

  void Take(std::size_t rank, std::uint64_t expert) {
    auto& experts = this->layer[rank];
    experts.erase(std::find(experts.begin(), experts.end(), expert));
    this->held[rank][expert] = false;
    --this->holders[expert];
    if (this->WasHeld(rank, expert)) return;
    --this->fresh[rank];
    --this->copies[rank];
  }

  const LayerMap& before;
  LayerMap layer;
  const LayerLoad& load;
  const RankPaces& paces;
  const MapBounds& bounds;
  std::vector<std::size_t>& copies;     ///< By rank, over all layers.
  std::vector<std::vector<bool>> held;  ///< By rank and expert.
  std::vector<std::size_t> holders;     ///< By expert.
  std::vector<std::size_t> fresh;       ///< Experts new to each rank.
  std::vector<double> loads;
  double mean = 0;
};

double SavedBy(const Change& change) {
  return change.kind == Change::Kind::kNone ? 0 : change.saved;
}

}  // namespace

double MapTime(const ExpertMap& map, const GroupLoad& load,
               const RankPaces& paces) {
  double time = 0;
  for (std::size_t layer = 0; layer < map.size(); ++layer) {
    const auto loads = LoadsOf(map[layer], load[layer], paces);
    time += *std::max_element(loads.begin(), loads.end());
  }
  return time;
}

double LeastMapTime(const GroupLoad& load, const RankPaces& paces) {
  double speed = 0;
  for (const double pace : paces) speed += 1 / pace;
  double time = 0;
  for (const LayerLoad& layer : load)
    time += std::accumulate(layer.begin(), layer.end(), 0.0);
  return speed > 0 ? time / speed : 0;
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

ExpertMap EvenPlanner::Improve(const ExpertMap& current, const GroupLoad& load,
                               const RankPaces& paces) const {
  const std::size_t ranks = current.empty() ? 0 : current.front().size();
  std::vector<std::size_t> copies(ranks, 0);
  std::vector<LayerSearch> layers;
  layers.reserve(current.size());
  for (std::size_t layer = 0; layer < current.size(); ++layer)
    layers.emplace_back(current[layer], load[layer], paces, this->bounds,
                        copies);
  std::vector<Change> best;
  best.reserve(layers.size());
  for (const LayerSearch& layer : layers)
    best.push_back(layer.Best(this->least_gain));
  // The copies of a rank are shared by the layers: the change that saves most
  // comes first.
  const std::size_t most = kChangesPerRank * ranks * current.size();
  for (std::size_t made = 0; made < most; ++made) {
    const auto chosen = static_cast<std::size_t>(
        std::max_element(best.begin(), best.end(),
                         [](const Change& left, const Change& right) {
                           return SavedBy(left) < SavedBy(right);
                         }) -
        best.begin());
    if (best.empty() || best[chosen].kind == Change::Kind::kNone) break;
    // What was best before may take more copies than are left by now.
    const Change renewed = layers[chosen].Best(this->least_gain);
    const bool still_best = renewed.kind != Change::Kind::kNone &&
                            renewed.saved >= best[chosen].saved;
    best[chosen] = renewed;
    if (!still_best) continue;
    layers[chosen].Apply(renewed);
    best[chosen] = layers[chosen].Best(this->least_gain);
  }
  ExpertMap improved;
  for (const LayerSearch& layer : layers) improved.push_back(layer.result());
  return improved;
}

}  // namespace banyanlane::experts
