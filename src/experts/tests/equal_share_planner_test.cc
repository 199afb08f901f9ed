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
constexpr double kLeastGain = 0.015;
constexpr MapBounds kBounds{5, 2, 3};

const RankPaces kUsual(kRanks, 1.0);

ExpertMap InTurn() {
  ExpertMap map(kLayers, std::vector<std::vector<std::uint64_t>>(kRanks));
  for (auto& layer : map) {
    for (std::size_t expert = 0; expert < kExperts; ++expert)
      layer[expert % kRanks].push_back(expert);
  }
  return map;
}

/// Demand that falls with the rank of an expert's popularity.
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
      const auto& had = before[layer][rank];
      const auto& has = after[layer][rank];
      cr_assert_leq(has.size(), kBounds.places);
      cr_assert_eq(std::set<std::uint64_t>(has.begin(), has.end()).size(),
                   has.size());
      placed.insert(has.begin(), has.end());
      std::size_t fresh = 0;
      for (const std::uint64_t expert : has)
        fresh += std::count(had.begin(), had.end(), expert) == 0 ? 1 : 0;
      cr_assert_leq(fresh, kBounds.spare);
      copies[rank] += fresh;
    }
    cr_assert_eq(placed.size(), kExperts, "every expert has a holder");
  }
  for (const std::size_t count : copies) cr_assert_leq(count, kBounds.copies);
}

}  // namespace

Test(even_planner, keeps_to_its_bounds_and_halves_the_skew) {
  const EvenPlanner planner(kBounds, kLeastGain);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const GroupLoad load = SkewedLoad(seed);
    ExpertMap map = InTurn();
    const double least = LeastMapTime(load, kUsual);
    const double before = MapTime(map, load, kUsual) / least;
    for (int change = 0; change < 3; ++change) {
      const ExpertMap better = planner.Improve(map, load, kUsual);
      CheckBounds(map, better);
      cr_assert_leq(MapTime(better, load, kUsual), MapTime(map, load, kUsual));
      map = better;
    }
    const double after = MapTime(map, load, kUsual) / least;
    cr_assert_lt(after - 1, (before - 1) / 2, "seed %d: %f to %f",
                 static_cast<int>(seed), before, after);
  }
}

Test(even_planner, takes_work_from_a_slow_rank) {
  const EvenPlanner planner(kBounds, kLeastGain);
  RankPaces paces = kUsual;
  paces[3] = 5;
  const GroupLoad load = SkewedLoad(1);
  ExpertMap map = InTurn();
  for (int change = 0; change < 6; ++change)
    map = planner.Improve(map, load, paces);
  cr_assert_lt(MapTime(map, load, paces), 1.5 * LeastMapTime(load, paces), "%f",
               MapTime(map, load, paces) / LeastMapTime(load, paces));
}

Test(even_planner, moves_nothing_that_saves_nothing) {
  const EvenPlanner planner(kBounds, kLeastGain);
  const GroupLoad even(kLayers, LayerLoad(kExperts, 1.0));
  cr_assert_eq(CopiesBetween(InTurn(), planner.Improve(InTurn(), even, kUsual)),
               0);
  const GroupLoad none(kLayers, LayerLoad(kExperts, 0.0));
  cr_assert_eq(CopiesBetween(InTurn(), planner.Improve(InTurn(), none, kUsual)),
               0);
}

Test(map_codec, returns_what_it_wrote_and_refuses_what_is_cut) {
  const ExpertMap map = InTurn();
  const auto flat = FlattenMap(map);
  cr_assert(UnflattenMap(flat) == map);
  for (std::size_t length = 2; length < flat.size(); ++length) {
    const std::vector<std::uint64_t> cut(
        flat.begin(), flat.begin() + static_cast<std::ptrdiff_t>(length));
    cr_assert(UnflattenMap(cut).empty(), "%zu", length);
  }
}

}  // namespace banyanlane::experts
