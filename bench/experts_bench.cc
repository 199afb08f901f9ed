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

using namespace experts;  // NOLINT: this file benchmarks only this module.

/// 32 ranks, 64 experts, 4 layers, 3 slots per rank.
constexpr GroupShape kShape{32, 64, 4, 3};
/// Number of periods in a run. Each ends with one report and one rebalancing.
constexpr int kPeriods = 480;
constexpr double kPeriodSeconds = 30;
/// Fraction of the run, at its beginning, that the skew figures leave out,
/// because the initial placement ignores the load.
constexpr double kWarmupFraction = 0.1;
/// Time to transfer the weights of one expert.
constexpr double kMoveSeconds = 0.5;
/// Load of each layer, summed over its experts.
constexpr double kTokensPerSecond = 20'000;

/// Course of the expert popularity and of the speeds of the ranks over a run.
struct Trace {
  std::string name;
  /// Returns the weight of the second of two popularities, 0 to 1. The first
  /// has the remaining weight.
  /// @param progress fraction of the run that has passed.
  std::function<double(double progress)> second_weight;
  bool straggler = false;  ///< Whether one rank is slow in the middle of a run.
};

/// Returns loads in tokens per second that follow a Zipf distribution over a
/// random order of the experts of each layer.
GroupLoad RandomPopularity(std::mt19937_64& random) {
  GroupLoad load(kShape.layers, LayerLoad(kShape.experts));
  for (LayerLoad& layer : load) {
    std::vector<std::size_t> order(kShape.experts);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    double total = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
      constexpr double kZipfExponent = 0.8;
      layer[order[i]] =
          1.0 / std::pow(static_cast<double>(i + 1), kZipfExponent);
      total += layer[order[i]];
    }
    for (double& value : layer) value *= kTokensPerSecond / total;
  }
  return load;
}

GroupLoad Interpolate(const GroupLoad& first, const GroupLoad& second,
                      double second_weight) {
  GroupLoad interpolated = first;
  for (std::size_t l = 0; l < interpolated.size(); ++l) {
    for (std::size_t e = 0; e < interpolated[l].size(); ++e) {
      interpolated[l][e] =
          first[l][e] * (1 - second_weight) + second[l][e] * second_weight;
    }
  }
  return interpolated;
}

/// Returns the load that a report over 2 s would give, with the Poisson noise
/// of counting.
GroupLoad SampleReport(const GroupLoad& load, std::mt19937_64& random) {
  constexpr double kReportSeconds = 2;
  GroupLoad report = load;
  for (LayerLoad& layer : report) {
    for (double& value : layer) {
      std::poisson_distribution<std::int64_t> tokens(value * kReportSeconds);
      value = static_cast<double>(tokens(random)) / kReportSeconds;
    }
  }
  return report;
}

class IBalancer {
 public:
  virtual ~IBalancer() = default;
  /// Updates `placement` once per period.
  /// @return number of experts moved.
  virtual std::size_t Rebalance(const GroupLoad& report,
                                const RankSpeeds& true_speeds,
                                kernel::TimePoint now) = 0;
  Placement placement = RoundRobinPlacement(kShape);
};

class StaticBalancer : public IBalancer {
 public:
  std::size_t Rebalance(const GroupLoad& /*report*/,
                        const RankSpeeds& /*speeds*/,
                        kernel::TimePoint /*now*/) override {
    return 0;
  }
};

/// Builds a new placement each period. The most loaded experts get the most
/// replicas. The replicas are assigned in order of decreasing load, each to the
/// least loaded rank that has a free slot.
class RepackingBalancer : public IBalancer {
 public:
  std::size_t Rebalance(const GroupLoad& report, const RankSpeeds& /*speeds*/,
                        kernel::TimePoint /*now*/) override {
    std::size_t moved = 0;
    for (std::size_t layer = 0; layer < kShape.layers; ++layer) {
      LayerPlacement packed = Pack(report[layer]);
      PlacementPlanner::BalanceShares(packed, report[layer],
                                      RankSpeeds(kShape.ranks, 1.0));
      for (std::size_t rank = 0; rank < kShape.ranks; ++rank) {
        for (const Replica& replica : packed.slots[rank]) {
          const auto& before = this->placement.layers[layer].slots[rank];
          const bool already_placed = std::any_of(
              before.begin(), before.end(),
              [&](const Replica& old) { return old.expert == replica.expert; });
          moved += already_placed ? 0 : 1;
        }
      }
      this->placement.layers[layer] = std::move(packed);
    }
    return moved;
  }

 private:
  static LayerPlacement Pack(const LayerLoad& load) {
    std::vector<std::size_t> replicas(kShape.experts, 1);
    for (std::size_t total_replicas = kShape.experts;
         total_replicas < kShape.ranks * kShape.slots_per_rank;
         ++total_replicas) {
      std::size_t hottest = 0;
      for (std::size_t e = 1; e < load.size(); ++e) {
        const bool can_grow = replicas[e] < kShape.ranks;
        const double replica_load = load[e] / static_cast<double>(replicas[e]);
        if (can_grow && replica_load > load[hottest] / static_cast<double>(
                                                           replicas[hottest]))
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
      std::size_t least_loaded = kShape.ranks;
      for (std::size_t rank = 0; rank < kShape.ranks; ++rank) {
        if (packed.slots[rank].size() >= kShape.slots_per_rank) continue;
        if (least_loaded == kShape.ranks || loads[rank] < loads[least_loaded])
          least_loaded = rank;
      }
      const double share = 1.0 / static_cast<double>(replicas[expert]);
      packed.slots[least_loaded].push_back({expert, share});
      loads[least_loaded] += weight;
    }
    return packed;
  }
};

class PlannerBalancer : public IBalancer {
 public:
  explicit PlannerBalancer(const PlanEconomics& economics)
      : planner(economics) {}

  std::size_t Rebalance(const GroupLoad& report, const RankSpeeds& true_speeds,
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

struct RunResult {
  double mean_skew = 0;   ///< After the warm-up.
  double max_skew = 0;    ///< After the warm-up.
  std::size_t moved = 0;  ///< Experts moved in the whole run.
  /// Experts moved after the warm-up, in which the initial placement is
  /// corrected.
  std::size_t moved_after_warmup = 0;
  /// Step time saved compared to the initial placement, less the time of all
  /// moves, as a percentage of the step time with the initial placement.
  double net_gain_percent = 0;
};

RunResult SimulateRun(IBalancer& balancer, const Trace& trace,
                      std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const GroupLoad first = RandomPopularity(random);
  const GroupLoad second = RandomPopularity(random);
  RunResult result;
  double step_seconds = 0;
  double static_step_seconds = 0;
  const Placement initial_placement = RoundRobinPlacement(kShape);
  for (int period = 0; period < kPeriods; ++period) {
    const double progress = static_cast<double>(period) / kPeriods;
    const GroupLoad load =
        Interpolate(first, second, trace.second_weight(progress));
    RankSpeeds speeds(kShape.ranks, 1.0);
    const bool straggler_is_slow =
        trace.straggler && progress > 0.3 && progress < 0.7;
    if (straggler_is_slow) speeds[5] = 0.6;
    const double skew = Skew(balancer.placement, load, speeds);
    if (progress >= kWarmupFraction)
      result.mean_skew += skew / (kPeriods * (1 - kWarmupFraction));
    if (progress >= kWarmupFraction)
      result.max_skew = std::max(result.max_skew, skew);
    step_seconds += skew * kPeriodSeconds;
    static_step_seconds +=
        Skew(initial_placement, load, speeds) * kPeriodSeconds;
    const auto now =
        kernel::TimePoint{} + kernel::Millis((period + 1) * 30'000);
    const std::size_t moved =
        balancer.Rebalance(SampleReport(load, random), speeds, now);
    result.moved += moved;
    if (progress >= kWarmupFraction) result.moved_after_warmup += moved;
  }
  const double total_seconds =
      step_seconds + static_cast<double>(result.moved) * kMoveSeconds;
  result.net_gain_percent =
      (static_step_seconds - total_seconds) / static_step_seconds * 100;
  return result;
}

void CompareBalancers(std::uint64_t seed) {
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
    std::pair<std::string, std::unique_ptr<IBalancer>> balancers[] = {
        {"never move", std::make_unique<StaticBalancer>()},
        {"each period", std::make_unique<RepackingBalancer>()},
        {"ours, moves are free", std::make_unique<PlannerBalancer>(free_moves)},
        {"ours, skew first", std::make_unique<PlannerBalancer>(skew_first)},
        {"ours, cost first", std::make_unique<PlannerBalancer>(cost_first)},
    };
    for (auto& [name, balancer] : balancers) {
      const RunResult result = SimulateRun(*balancer, trace, seed);
      fmt::print("{:<14} {:<20} {:>9.3f} {:>9.3f} {:>7} {:>7} {:>9.1f}\n",
                 trace.name, name, result.mean_skew, result.max_skew,
                 result.moved, result.moved_after_warmup,
                 result.net_gain_percent);
    }
  }
}

void MeasurePlanningTime(std::uint64_t seed) {
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
    const auto start_time = std::chrono::steady_clock::now();
    const Plan plan = PlacementPlanner({1, 0, 600, 0.5, 1})
                          .Improve(before, load, load, speeds);
    const std::chrono::duration<double> planning_time =
        std::chrono::steady_clock::now() - start_time;
    fmt::print("{:>6} {:>8} {:>7} {:>10.3f} {:>7} {:>12.3f} {:>11.3f}\n",
               shape.ranks, shape.experts, shape.layers, planning_time.count(),
               plan.moves.size(), Skew(before, load, speeds),
               Skew(plan.placement, load, speeds));
  }
}

const Registration kExperts({"experts",
                             "step-time skew and moves on drifting traces",
                             CompareBalancers});
const Registration kExpertsLarge({"experts-large",
                                  "planning time on one core for large groups",
                                  MeasurePlanningTime});

}  // namespace
}  // namespace banyanlane::bench
