#include "entry/internal/retry_budget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "entry/internal/address_selector.h"
#include "entry/internal/organisation_limits.h"

namespace banyanlane::entry {

Test(retry_budget, allows_a_share_of_first_attempts) {
  config::Profile profile;
  profile.name = "chat";
  profile.retry_budget_percent = 10;
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnFirstAttempt(profile, "org");
    while (budget.TakeRetry(profile, "org")) ++retries;
  }
  // 10 percent of the first attempts, and the initial balance of two.
  cr_assert_eq(retries, 102);
  cr_assert(budget.TakeRetry(profile, "other"),
            "organisations do not share a budget");
  profile.retry_budget_percent = 0;
  cr_assert_not(budget.TakeRetry(profile, "third"));
}

Test(retry_budget, removes_unused_balances) {
  config::Profile profile;
  profile.name = "chat";
  profile.retry_budget_percent = 10;
  RetryBudget budget;
  for (int i = 0; i < 100; ++i)
    budget.OnFirstAttempt(profile, "org" + std::to_string(i));
  budget.RemoveUnused();
  cr_assert_eq(budget.Size(), 100);
  budget.OnFirstAttempt(profile, "org7");
  budget.RemoveUnused();
  cr_assert_eq(budget.Size(), 1);
}

Test(organisation_limits, gives_each_entry_its_share) {
  config::Profile profile;
  profile.name = "chat";
  profile.organisation_concurrency = 10;
  OrganisationLimits limits;
  int acquired = 0;
  while (limits.Acquire(profile, "org", 3)) ++acquired;
  cr_assert_eq(acquired, 4);
  cr_assert(limits.Acquire(profile, "other", 3));
  limits.Release(profile, "org");
  cr_assert(limits.Acquire(profile, "org", 3));
  cr_assert_not(limits.Acquire(profile, "org", 3));
}

Test(address_selector,
     selects_the_same_addresses_at_every_entry_and_no_leaving_ones) {
  auto list = std::make_shared<membership::InstanceList>();
  for (int i = 0; i < 9; ++i) {
    const std::string id = "e" + std::to_string(i);
    list->instances.push_back({id, membership::InstanceRole::kEntry,
                               membership::InstanceState::kLive, id,
                               "d" + std::to_string(i % 3), ""});
  }
  const AddressSelector first("e0", "e0", 3, kernel::Millis(1));
  const AddressSelector second("e5", "e5", 3, kernel::Millis(1));
  const auto selected = first.Select(list, "org", false).addresses;
  cr_assert(selected == second.Select(list, "org", false).addresses);
  std::set<std::string> domains;
  for (const std::string& address : selected) {
    domains.insert(std::to_string((address[1] - '0') % 3));
  }
  cr_assert_eq(domains.size(), 3);
  for (auto& instance : list->instances) {
    if (instance.id == selected[0])
      instance.state = membership::InstanceState::kLeaving;
  }
  const auto without_leaving = first.Select(list, "org", false).addresses;
  cr_assert(std::find(without_leaving.begin(), without_leaving.end(),
                      selected[0]) == without_leaving.end());
  const auto stopping = first.Select(list, "any", true).addresses;
  cr_assert(std::find(stopping.begin(), stopping.end(), "e0") ==
            stopping.end());
}

}  // namespace banyanlane::entry
