#include "http/internal/body_budget.h"

#include <criterion/criterion.h>

namespace banyanlane::http {

Test(body_budget, grants_memory_in_queue_order) {
  const auto budget = std::make_shared<BodyBudget>(100);
  auto first = budget->TryReserve(60);
  cr_assert(first.has_value());
  int large_calls = 0;
  int small_calls = 0;
  const auto large = budget->Enqueue(80, [&large_calls] { ++large_calls; });
  const auto small = budget->Enqueue(10, [&small_calls] { ++small_calls; });
  cr_expect_not(budget->TryReserve(10).has_value(),
                "earlier requests are queued");
  cr_expect_eq(large_calls + small_calls, 0);
  first.reset();
  cr_expect_eq(large_calls, 1);
  cr_expect_eq(small_calls, 1);
  cr_expect_eq(budget->RemoveFromQueue(large)->bytes(), 80);
  cr_expect_eq(budget->RemoveFromQueue(small)->bytes(), 10);
  cr_expect(budget->TryReserve(100).has_value(), "all memory is released");
}

Test(body_budget, removing_an_entry_grants_the_next_one) {
  const auto budget = std::make_shared<BodyBudget>(100);
  const auto first = budget->TryReserve(60);
  int calls = 0;
  const auto large = budget->Enqueue(80, [] {});
  const auto small = budget->Enqueue(10, [&calls] { ++calls; });
  cr_expect_not(budget->RemoveFromQueue(large).has_value());
  cr_expect_eq(calls, 1);
  cr_expect(budget->RemoveFromQueue(small).has_value());
}

Test(body_budget, extending_does_not_wait) {
  const auto budget = std::make_shared<BodyBudget>(100);
  auto allocation = budget->TryReserve(60);
  cr_expect(allocation->Extend(40));
  cr_expect_not(allocation->Extend(1));
  cr_expect_eq(allocation->bytes(), 100);
}

}  // namespace banyanlane::http
