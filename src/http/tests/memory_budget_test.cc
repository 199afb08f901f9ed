#include "http/internal/memory_budget.h"

#include <criterion/criterion.h>

#include <vector>

namespace banyanlane::http {

Test(memory_budget, grants_memory_in_queue_order) {
  const auto budget = std::make_shared<MemoryBudget>(100);
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

Test(memory_budget, removing_an_entry_grants_the_next_one) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  const auto first = budget->TryReserve(60);
  int calls = 0;
  const auto large = budget->Enqueue(80, [] {});
  const auto small = budget->Enqueue(10, [&calls] { ++calls; });
  cr_expect_not(budget->RemoveFromQueue(large).has_value());
  cr_expect_eq(calls, 1);
  cr_expect(budget->RemoveFromQueue(small).has_value());
}

Test(memory_budget, extending_does_not_wait) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  auto allocation = budget->TryReserve(60);
  cr_expect(allocation->Extend(40));
  cr_expect_not(allocation->Extend(1));
  cr_expect_eq(allocation->bytes(), 100);
}

// Guards against large allocations that leave nothing to small ones.
Test(memory_budget, small_allocations_find_memory_beside_large_ones) {
  constexpr std::uint64_t kMax = 1'000'000;
  constexpr std::uint64_t kLarge = 300'000;
  constexpr std::uint64_t kSmall = 50'000;
  const auto budget = std::make_shared<MemoryBudget>(kMax);
  std::vector<MemoryBudget::Allocation> large;
  while (auto allocation = budget->TryReserve(kLarge))
    large.push_back(std::move(*allocation));
  cr_expect_eq(large.size(), 2);
  int large_calls = 0;
  const auto queued =
      budget->Enqueue(kLarge, [&large_calls] { ++large_calls; });
  cr_expect_eq(budget->QueuedBytes(), kLarge);
  auto small = budget->TryReserve(kSmall);
  cr_assert(small.has_value(), "no small one is ahead");
  cr_expect_not(small->Extend(kLarge), "it would be large");
  large.pop_back();
  cr_expect_eq(large_calls, 1);
  cr_expect_eq(budget->QueuedBytes(), 0);
  cr_expect_eq(budget->RemoveFromQueue(queued)->bytes(), kLarge);
}

Test(memory_budget, one_allocation_may_take_everything) {
  const auto budget = std::make_shared<MemoryBudget>(1'000'000);
  cr_expect(budget->CanHold(1'000'000));
  cr_expect(budget->TryReserve(1'000'000).has_value());
}

Test(memory_budget, releases_a_part) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  auto allocation = budget->TryReserve(100);
  allocation->Reduce(40);
  cr_expect_eq(allocation->bytes(), 60);
  cr_expect(budget->TryReserve(40).has_value());
}

}  // namespace banyanlane::http
