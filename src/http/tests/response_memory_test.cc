#include "http/internal/response_memory.h"

#include <criterion/criterion.h>

namespace banyanlane::http {
namespace {

constexpr std::uint64_t kMaxBytes = 100'000;
constexpr kernel::Millis kPatience{1'000};

struct Budget {
  std::shared_ptr<ResponseMemory> NewResponse() const {
    return std::make_shared<ResponseMemory>(this->budget, this->tracker,
                                            this->held);
  }

  std::shared_ptr<MemoryBudget> budget =
      std::make_shared<MemoryBudget>(kMaxBytes);
  std::shared_ptr<ConnectionTracker> tracker =
      std::make_shared<ConnectionTracker>(1, kPatience);
  std::shared_ptr<std::atomic<std::uint64_t>> held =
      std::make_shared<std::atomic<std::uint64_t>>(0);
};

}  // namespace

Test(response_memory, counts_what_responses_hold) {
  const Budget budget;
  const auto first = budget.NewResponse();
  cr_expect(first->Resize(60'000));
  cr_expect_eq(*budget.held, 60'000);
  {
    const auto second = budget.NewResponse();
    cr_expect_not(second->Resize(50'000));
    cr_expect(second->Resize(40'000));
    cr_expect_not(first->Resize(60'001));
    cr_expect_eq(*budget.held, 100'000);
  }
  cr_expect_eq(*budget.held, 60'000);
  cr_expect(first->Resize(20'000));
  cr_expect(budget.NewResponse()->Resize(50'000));
  cr_expect(first->Resize(0));
  cr_expect_eq(*budget.held, 0);
}

Test(response_memory, does_not_count_small_responses) {
  const Budget budget;
  const auto large = budget.NewResponse();
  cr_expect(large->Resize(kMaxBytes));
  cr_expect(budget.NewResponse()->Resize(kUncountedResponseBytes));
  cr_expect_not(budget.NewResponse()->Resize(kUncountedResponseBytes + 1));
}

}  // namespace banyanlane::http
