#include "agent/internal/admission.h"

#include <criterion/criterion.h>

#include "agent/internal/charge_policy.h"

namespace banyanlane::agent {
namespace {

using Verdict = Admission::Verdict;

}  // namespace

Test(admission, reserves_capacity_for_high_priority) {
  Admission admission({100, 1'000, 4});
  std::optional<std::string> displaced;
  for (int i = 0; i < 8; ++i) {
    cr_assert(admission.Add({"low" + std::to_string(i), 0, 100, false},
                            displaced) == Verdict::kRun);
  }
  cr_assert(admission.Add({"high", 9, 100, false}, displaced) == Verdict::kRun);
  cr_assert(admission.Add({"low", 0, 100, false}, displaced) ==
            Verdict::kQueued);
  cr_assert(admission.DequeueRunnable().empty());
}

Test(admission, queues_by_priority_and_displaces_the_lowest) {
  Admission admission({1, 1'000, 2});
  std::optional<std::string> displaced;
  admission.Add({"first", 5, 1, false}, displaced);
  admission.Add({"low", 1, 1, false}, displaced);
  admission.Add({"middle", 5, 1, false}, displaced);
  cr_assert(admission.Add({"lowest", 0, 1, false}, displaced) ==
            Verdict::kFull);
  cr_assert(admission.Add({"high", 9, 1, false}, displaced) ==
            Verdict::kQueued);
  cr_assert_eq(*displaced, "low");
  admission.Remove("first");
  cr_assert_eq(admission.DequeueRunnable().at(0), "high");
}

Test(admission, runs_a_suspect_alone) {
  Admission admission({8, 1'000, 8});
  std::optional<std::string> displaced;
  admission.Add({"first", 0, 1, false}, displaced);
  cr_assert(admission.Add({"suspect", 0, 1, true}, displaced) ==
            Verdict::kQueued);
  cr_assert(admission.Add({"next", 0, 1, false}, displaced) ==
            Verdict::kQueued);
  admission.Remove("first");
  cr_assert_eq(admission.DequeueRunnable().size(), 1);
  cr_assert_eq(admission.Running(), 1);
  admission.Remove("suspect");
  cr_assert_eq(admission.DequeueRunnable().at(0), "next");
}

Test(admission, raises_a_charge_but_never_lowers_it) {
  Admission admission({8, 1'000, 8});
  std::optional<std::string> displaced;
  admission.Add({"one", 0, 100, false}, displaced);
  admission.RaiseCharge("one", 50);
  cr_assert_eq(admission.ChargedTokens(), 100);
  admission.RaiseCharge("one", 300);
  cr_assert_eq(admission.ChargedTokens(), 300);
  admission.Remove("one");
  cr_assert_eq(admission.ChargedTokens(), 0);
}

Test(charge_policy, charges_the_quantile_once_it_has_enough_samples) {
  const auto policy = MakeQuantileCharge(0.9);
  cr_assert_eq(policy->Charge("chat", "org", 1'000), 1'000);
  for (int i = 1; i <= 20; ++i) policy->Observe("chat", "org", i * 10);
  cr_assert_eq(policy->Charge("chat", "org", 1'000), 180);
  cr_assert_eq(policy->Charge("chat", "other", 1'000), 180);
  cr_assert_eq(policy->Charge("chat", "org", 50), 50);
  cr_assert_eq(policy->Charge("notes", "org", 1'000), 1'000);
}

}  // namespace banyanlane::agent
