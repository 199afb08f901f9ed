#include "direct/internal/work_keys.h"

#include <criterion/criterion.h>

namespace banyanlane::direct {

Test(work_keys, names_the_parts_in_order) {
  const auto keys = PartKeys({"a", "b"}, 8);
  cr_assert_eq(keys.size(), 2);
  cr_expect_eq(keys[0], "part:a");
  cr_expect_eq(keys[1], "part:b");
}

// Guards against evidence whose size callers choose.
Test(work_keys, are_short_and_differ_for_long_ids) {
  const std::string long_id(15'000, 'i');
  const auto keys = PartKeys({long_id, long_id + "j", long_id}, 8);
  cr_expect_lt(keys[0].size(), 100);
  cr_expect_neq(keys[0], keys[1]);
  cr_expect_eq(keys[0], keys[2]);
}

// Guards against look-ups whose number callers choose.
Test(work_keys, has_no_more_than_the_maximum) {
  const std::vector<std::string> ids(1'000, "a");
  cr_expect_eq(PartKeys(ids, 8).size(), 8);
  cr_expect_lt(PartKeyMemory(ids, 8), 1'000);
}

}  // namespace banyanlane::direct
