#include "http/internal/body_budget.h"

#include <criterion/criterion.h>

namespace banyanlane::http {

Test(body_budget, gives_memory_in_the_order_of_waiting) {
  const auto budget = std::make_shared<BodyBudget>(100);
  auto first = budget->Take(60);
  cr_assert(first.has_value());
  int large_calls = 0;
  int small_calls = 0;
  const auto large = budget->Wait(80, [&large_calls] { ++large_calls; });
  const auto small = budget->Wait(10, [&small_calls] { ++small_calls; });
  cr_expect_not(budget->Take(10).has_value(), "earlier requests are queued");
  cr_expect_eq(large_calls + small_calls, 0);
  first.reset();
  cr_expect_eq(large_calls, 1);
  cr_expect_eq(small_calls, 1);
  cr_expect_eq(budget->Leave(large)->bytes(), 80);
  cr_expect_eq(budget->Leave(small)->bytes(), 10);
  cr_expect(budget->Take(100).has_value(), "all memory is released");
}

Test(body_budget, one_that_leaves_lets_the_next_in) {
  const auto budget = std::make_shared<BodyBudget>(100);
  const auto first = budget->Take(60);
  int calls = 0;
  const auto large = budget->Wait(80, [] {});
  const auto small = budget->Wait(10, [&calls] { ++calls; });
  cr_expect_not(budget->Leave(large).has_value());
  cr_expect_eq(calls, 1);
  cr_expect(budget->Leave(small).has_value());
}

Test(body_budget, growing_does_not_wait) {
  const auto budget = std::make_shared<BodyBudget>(100);
  auto lease = budget->Take(60);
  cr_expect(lease->Grow(40));
  cr_expect_not(lease->Grow(1));
  cr_expect_eq(lease->bytes(), 100);
}

}  // namespace banyanlane::http
