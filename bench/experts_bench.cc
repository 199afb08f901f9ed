#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <numeric>
#include <random>

#include "bench.h"
#include "experts/internal/load_estimator.h"
#include "experts/internal/placement_planner.h"

namespace banyanlane::bench {
namespace {

using namespace experts;  // NOLINT: a benchmark of this one module.

constexpr GroupShape kShape{32, 64, 4, 3};
constexpr int kPeriods = 480;
constexpr double kPeriodSeconds = 30;
constexpr double kStartShare =
    0.1;  ///< Left out of skews: the start from an even deal.
constexpr double kMoveSeconds = 0.5;
constexpr double kTokensPerSecond = 20'000;

/// Expert popularity over time, and speeds of the ranks.
struct Trace {
  std::string name;
  std::function<double(double progress)>
      mix;  ///< Share of the second popularity, 0..1.
  bool straggler = false;
};

/// Zipf popularity over a shuffled order of the experts of each layer.
GroupLoad Popularity(std::mt19937_64& random) {
  GroupLoad load(kShape.layers, LayerLoad(kShape.experts));
  for (LayerLoad& layer : load) {
    std::vector<std::size_t> order(kShape.experts);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    double total = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
      constexpr double kExponent = 0.8;
      layer[order[i]] = 1.0 / std::pow(static_cast<double>(i + 1), kExponent);
      total += layer[order[i]];
    }
    for (double& value : layer) value *= kTokensPerSecond / total;
  }
  return load;
}

GroupLoad Mixed(const GroupLoad& first, const GroupLoad& second, double share) {
  GroupLoad mixed = first;
  for (std::size_t l = 0; l < mixed.size(); ++l) {
    for (std::size_t e = 0; e < mixed[l].size(); ++e) {
      mixed[l][e] = first[l][e] * (1 - share) + second[l][e] * share;
    }
  }
  return mixed;
}

/// What was counted in a short report, with the noise that counting has.
GroupLoad Counted(const GroupLoad& load, std::mt19937_64& random) {
  constexpr double kReportSeconds = 2;
  GroupLoad counted = load;
  for (LayerLoad& layer : counted) {
    for (double& value : layer) {
      std::poisson_distribution<std::int64_t> tokens(value * kReportSeconds);
      value = static_cast<double>(tokens(random)) / kReportSeconds;
    }
  }
  return counted;
}

class IBalancer {
 public:
  virtual ~IBalancer() = default;
  /// @return experts moved.
  virtual std::size_t Step(const GroupLoad& report,
                           const RankSpeeds& true_speeds,
                           kernel::TimePoint now) = 0;
  Placement placement = RoundRobinPlacement(kShape);
};

class NeverMoves : public IBalancer {
 public:
  std::size_t Step(const GroupLoad& /*report*/, const RankSpeeds& /*speeds*/,
                   kernel::TimePoint /*now*/) override {
    return 0;
  }
};

/// Packs anew each period: replicas by load, heaviest first onto the least
/// loaded rank.
class Periodic : public IBalancer {
 public:
  std::size_t Step(const GroupLoad& report, const RankSpeeds& /*speeds*/,
                   kernel::TimePoint /*now*/) override {
    std::size_t moved = 0;
    for (std::size_t layer = 0; layer < kShape.layers; ++layer) {
      LayerPlacement packed = Pack(report[layer]);
      PlacementPlanner::BalanceShares(packed, report[layer],
                                      RankSpeeds(kShape.ranks, 1.0));
      for (std::size_t rank = 0; rank < kShape.ranks; ++rank) {
        for (const Replica& replica : packed.slots[rank]) {
          const auto& before = this->placement.layers[layer].slots[rank];
          const bool there = std::any_of(
              before.begin(), before.end(),
              [&](const Replica& old) { return old.expert == replica.expert; });
          moved += there ? 0 : 1;
        }
      }
      this->placement.layers[layer] = std::move(packed);
    }
    return moved;
  }

 private:
  static LayerPlacement Pack(const LayerLoad& load) {
    std::vector<std::size_t> replicas(kShape.experts, 1);
    for (std::size_t extra = kShape.experts;
         extra < kShape.ranks * kShape.slots_per_rank; ++extra) {
      std::size_t hottest = 0;
      for (std::size_t e = 1; e < load.size(); ++e) {
        const bool can_grow = replicas[e] < kShape.ranks;
        const double own = load[e] / static_cast<double>(replicas[e]);
        if (can_grow &&
            own > load[hottest] / static_cast<double>(replicas[hottest]))
          hottest = e;
      }
      ++replicas[hottest];
    }
    std::vector<std::pair<double, std::size_t>> items;
    for (std::size_t e = 0; e < load.size(); ++e) {
      for (std::size_t i = 0; i < replicas[e]; ++i) {
        items.emplace_back(load[e] / static_cast<double>(replicas[e]), e);
      }
    }
    std::sort(items.rbegin(), items.rend());
    LayerPlacement packed;
    packed.slots.resize(kShape.ranks);
    std::vector<double> loads(kShape.ranks, 0.0);
    for (const auto& [weight, expert] : items) {
      std::size_t best = kShape.ranks;
      for (std::size_t rank = 0; rank < kShape.ranks; ++rank) {
        if (packed.slots[rank].size() >= kShape.slots_per_rank) continue;
        if (best == kShape.ranks || loads[rank] < loads[best]) best = rank;
      }
      const double share = 1.0 / static_cast<double>(replicas[expert]);
      packed.slots[best].push_back({expert, share});
      loads[best] += weight;
    }
    return packed;
  }
};

class Ours : public IBalancer {
 public:
  explicit Ours(const PlanEconomics& economics) : planner(economics) {}

  std::size_t Step(const GroupLoad& report, const RankSpeeds& true_speeds,
                   kernel::TimePoint now) override {
    this->loads.OnReport(report, now);
    std::vector<double> work(kShape.ranks, 1.0);
    std::vector<double> times;
    for (const double speed : true_speeds) times.push_back(1.0 / speed);
    this->speeds.OnStepTimes(times, work);
    if (!this->loads.IsReady()) return 0;
    Plan plan = this->planner.Improve(
        this->placement, this->loads.PlanningLoad(),
        this->loads.EvaluationLoad(), this->speeds.Speeds());
    this->placement = std::move(plan.placement);
    return plan.moves.size();
  }

 private:
  LoadEstimator loads{kShape, kernel::Millis(120'000)};
  SpeedEstimator speeds{kShape.ranks};
  PlacementPlanner planner;
};

struct Score {
  double skew = 0;
  double worst = 0;
  std::size_t moved = 0;
  std::size_t moved_late =
      0;  ///< After the first tenth, when the start has been mended.
  double net_gain_percent = 0;
};

Score Play(IBalancer& balancer, const Trace& trace, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const GroupLoad first = Popularity(random);
  const GroupLoad second = Popularity(random);
  Score score;
  double busy = 0;
  double unmoved = 0;
  const Placement start = RoundRobinPlacement(kShape);
  for (int period = 0; period < kPeriods; ++period) {
    const double progress = static_cast<double>(period) / kPeriods;
    const GroupLoad load = Mixed(first, second, trace.mix(progress));
    RankSpeeds speeds(kShape.ranks, 1.0);
    const bool slow = trace.straggler && progress > 0.3 && progress < 0.7;
    if (slow) speeds[5] = 0.6;
    const double skew = Skew(balancer.placement, load, speeds);
    if (progress >= kStartShare)
      score.skew += skew / (kPeriods * (1 - kStartShare));
    if (progress >= kStartShare) score.worst = std::max(score.worst, skew);
    busy += skew * kPeriodSeconds;
    unmoved += Skew(start, load, speeds) * kPeriodSeconds;
    const auto now =
        kernel::TimePoint{} + kernel::Millis((period + 1) * 30'000);
    const std::size_t moved = balancer.Step(Counted(load, random), speeds, now);
    score.moved += moved;
    if (progress >= kStartShare) score.moved_late += moved;
  }
  const double spent = busy + static_cast<double>(score.moved) * kMoveSeconds;
  score.net_gain_percent = (unmoved - spent) / unmoved * 100;
  return score;
}

void Compare(std::uint64_t seed) {
  const Trace traces[] = {
      {"friday-monday", [](double p) { return p; }},
      {"fast-swing",
       [](double p) { return std::fmod(p * 4, 2.0) < 1.0 ? 0.0 : 1.0; }},
      {"straggler", [](double) { return 0.0; }, true},
      {"noise-only", [](double) { return 0.0; }},
  };
  PlanEconomics skew_first;
  skew_first.move_s = kMoveSeconds;
  skew_first.skew_weight = 4;
  PlanEconomics cost_first = skew_first;
  cost_first.skew_weight = 1;
  cost_first.move_weight = 4;
  PlanEconomics free_moves = skew_first;
  free_moves.move_weight = 0;
  fmt::print("{:<14} {:<20} {:>9} {:>9} {:>7} {:>7} {:>9}\n", "trace", "way",
             "mean skew", "worst", "moves", "late", "net gain%");
  for (const Trace& trace : traces) {
    std::pair<std::string, std::unique_ptr<IBalancer>> ways[] = {
        {"never move", std::make_unique<NeverMoves>()},
        {"each period", std::make_unique<Periodic>()},
        {"ours, moves are free", std::make_unique<Ours>(free_moves)},
        {"ours, skew first", std::make_unique<Ours>(skew_first)},
        {"ours, cost first", std::make_unique<Ours>(cost_first)},
    };
    for (auto& [name, way] : ways) {
      const Score score = Play(*way, trace, seed);
      fmt::print("{:<14} {:<20} {:>9.3f} {:>9.3f} {:>7} {:>7} {:>9.1f}\n",
                 trace.name, name, score.skew, score.worst, score.moved,
                 score.moved_late, score.net_gain_percent);
    }
  }
}

void PlanLarge(std::uint64_t seed) {
  fmt::print("{:>6} {:>8} {:>7} {:>10} {:>7} {:>12} {:>11}\n", "ranks",
             "experts", "layers", "seconds", "moves", "skew before",
             "skew after");
  const GroupShape shapes[] = {
      {64, 64, 60, 2}, {128, 128, 60, 2}, {256, 256, 60, 2}};
  for (const GroupShape& shape : shapes) {
    std::mt19937_64 random(seed);
    GroupLoad load(shape.layers, LayerLoad(shape.experts));
    for (LayerLoad& layer : load) {
      std::lognormal_distribution<double> popularity(0.0, 0.7);
      for (double& value : layer) value = popularity(random);
    }
    const Placement before = RoundRobinPlacement(shape);
    const RankSpeeds speeds(shape.ranks, 1.0);
    const auto begun = std::chrono::steady_clock::now();
    const Plan plan = PlacementPlanner({1, 0, 600, 0.5, 1})
                          .Improve(before, load, load, speeds);
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begun;
    fmt::print("{:>6} {:>8} {:>7} {:>10.3f} {:>7} {:>12.3f} {:>11.3f}\n",
               shape.ranks, shape.experts, shape.layers, took.count(),
               plan.moves.size(), Skew(before, load, speeds),
               Skew(plan.placement, load, speeds));
  }
}

const Registration kCompare({"experts",
                             "step-time skew and moves on drifting traces",
                             Compare});
const Registration kLarge({"experts-large",
                           "planning time of one core at large shapes",
                           PlanLarge});

}  // namespace
}  // namespace banyanlane::bench
