#include <criterion/criterion.h>

#include "experts/tests/switch_explorer.h"

namespace banyanlane::experts {
namespace {

void CheckEveryInterleaving(const ExploreScope& scope) {
  const ExploreResult result = ExploreSwitch(scope);
  cr_assert(result.violation.empty(), "%s", result.violation.c_str());
  cr_assert_gt(result.switched, 0);
  cr_assert_gt(result.kept, 0);
}

}  // namespace

// The bench "map-switch" explores three ranks with a crash and a loss, which
// takes minutes.
Test(map_switch, holds_for_three_ranks_when_the_coordinator_crashes) {
  CheckEveryInterleaving({3, 1, 0, 1});
}

Test(map_switch, holds_for_two_ranks_with_a_crash_and_a_loss) {
  CheckEveryInterleaving({2, 1, 1, 1});
}

Test(map_switch, holds_for_two_ranks_and_two_coordinators) {
  CheckEveryInterleaving({2, 2, 1, 1});
}

}  // namespace banyanlane::experts
