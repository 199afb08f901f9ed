#include <fmt/format.h>

#include "bench.h"
#include "experts/tests/switch_explorer.h"

namespace banyanlane::bench {
namespace {

void ExploreMapSwitch(std::uint64_t /*seed*/) {
  fmt::print("{:>6} {:>13} {:>7} {:>8} {:>10} {:>9} {:>6}  {}\n", "ranks",
             "coordinators", "losses", "crashes", "states", "switched", "kept",
             "broken");
  const experts::ExploreScope scopes[] = {
      {2, 1, 1, 1}, {2, 2, 1, 1}, {3, 1, 0, 1}, {3, 1, 1, 1}};
  for (const experts::ExploreScope& scope : scopes) {
    const experts::ExploreResult result = experts::ExploreSwitch(scope);
    fmt::print("{:>6} {:>13} {:>7} {:>8} {:>10} {:>9} {:>6}  {}\n", scope.ranks,
               scope.coordinators, scope.losses, scope.crashes, result.states,
               result.switched, result.kept,
               result.violation.empty() ? "nothing" : result.violation);
    std::fflush(stdout);
  }
}

const Registration kMapSwitch({"map-switch",
                               "all interleavings of a switch of expert maps",
                               ExploreMapSwitch});

}  // namespace
}  // namespace banyanlane::bench
