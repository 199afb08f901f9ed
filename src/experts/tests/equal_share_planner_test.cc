#include "experts/internal/equal_share_planner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>

#include "experts/internal/map_codec.h"

namespace banyanlane::experts {
namespace {

constexpr std::size_t kRanks = 16;
constexpr std::size_t kExperts = 64;
constexpr std::size_t kLayers = 4;
constexpr double kMinGain = 0.015;
constexpr MapBounds kBounds{5, 2, 3};

const RankSlowdowns kNoSlowdown(kRanks, 1.0);

ExpertMap RoundRobinMap() {
  ExpertMap map(kLayers, std::vector<std::vector<std::uint64_t>>(kRanks));
  for (auto& layer : map) {
    for (std::size_t expert = 0; expert < kExperts; ++expert)
      layer[expert % kRanks].push_back(expert);
  }
  return map;
}

/// Returns a load that is inversely proportional to the position of an expert
/// in a random order.
GroupLoad SkewedLoad(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  GroupLoad load(kLayers, LayerLoad(kExperts));
  for (LayerLoad& layer : load) {
    std::vector<std::size_t> order(kExperts);
    for (std::size_t i = 0; i < kExperts; ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), random);
    for (std::size_t i = 0; i < kExperts; ++i)
      layer[order[i]] = 1'000.0 / static_cast<double>(i + 1);
  }
  return load;
}

void CheckBounds(const ExpertMap& before, const ExpertMap& after) {
  std::vector<std::size_t> copies(kRanks, 0);
  for (std::size_t layer = 0; layer < kLayers; ++layer) {
    std::set<std::uint64_t> placed;
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      const auto& prior = before[layer][rank];
      const auto& current = after[layer][rank];
      cr_assert_leq(current.size(), kBounds.max_experts_per_rank);
      cr_assert_eq(
          std::set<std::uint64_t>(current.begin(), current.end()).size(),
          current.size());
      placed.insert(current.begin(), current.end());
      std::size_t copied = 0;
      for (const std::uint64_t expert : current)
        copied += std::count(prior.begin(), prior.end(), expert) == 0 ? 1 : 0;
      cr_assert_leq(copied, kBounds.max_new_experts_per_rank);
      copies[rank] += copied;
    }
    cr_assert_eq(placed.size(), kExperts, "every expert has a holder");
  }
  for (const std::size_t count : copies)
    cr_assert_leq(count, kBounds.max_copies);
}

}  // namespace

Test(equal_share_planner, keeps_to_its_bounds_and_halves_the_skew) {
  const EqualSharePlanner planner(kBounds, kMinGain);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const GroupLoad load = SkewedLoad(seed);
    ExpertMap map = RoundRobinMap();
    const double min_time = MinMapStepTime(load, kNoSlowdown);
    const double before = MapStepTime(map, load, kNoSlowdown) / min_time;
    for (int change = 0; change < 3; ++change) {
      const ExpertMap better = planner.Improve(map, load, kNoSlowdown);
      CheckBounds(map, better);
      cr_assert_leq(MapStepTime(better, load, kNoSlowdown),
                    MapStepTime(map, load, kNoSlowdown));
      map = better;
    }
    const double after = MapStepTime(map, load, kNoSlowdown) / min_time;
    cr_assert_lt(after - 1, (before - 1) / 2, "seed %d: %f to %f",
                 static_cast<int>(seed), before, after);
  }
}

Test(equal_share_planner, takes_work_from_a_slow_rank) {
  const EqualSharePlanner planner(kBounds, kMinGain);
  RankSlowdowns slowdowns = kNoSlowdown;
  slowdowns[3] = 5;
  const GroupLoad load = SkewedLoad(1);
  ExpertMap map = RoundRobinMap();
  for (int change = 0; change < 6; ++change)
    map = planner.Improve(map, load, slowdowns);
  cr_assert_lt(
      MapStepTime(map, load, slowdowns), 1.5 * MinMapStepTime(load, slowdowns),
      "%f",
      MapStepTime(map, load, slowdowns) / MinMapStepTime(load, slowdowns));
}

Test(equal_share_planner, moves_no_expert_without_a_saving) {
  const EqualSharePlanner planner(kBounds, kMinGain);
  const GroupLoad uniform(kLayers, LayerLoad(kExperts, 1.0));
  cr_assert_eq(
      CopiesBetween(RoundRobinMap(),
                    planner.Improve(RoundRobinMap(), uniform, kNoSlowdown)),
      0);
  const GroupLoad none(kLayers, LayerLoad(kExperts, 0.0));
  cr_assert_eq(
      CopiesBetween(RoundRobinMap(),
                    planner.Improve(RoundRobinMap(), none, kNoSlowdown)),
      0);
}

Test(map_codec, restores_maps_and_rejects_truncated_input) {
  const ExpertMap map = RoundRobinMap();
  const auto flat = FlattenMap(map);
  cr_assert(UnflattenMap(flat) == map);
  for (std::size_t length = 2; length < flat.size(); ++length) {
    const std::vector<std::uint64_t> truncated(
        flat.begin(), flat.begin() + static_cast<std::ptrdiff_t>(length));
    cr_assert(UnflattenMap(truncated).empty(), "%zu", length);
  }
}

}  // namespace banyanlane::experts
