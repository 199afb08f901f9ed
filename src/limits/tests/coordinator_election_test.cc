#include "limits/internal/coordinator_election.h"

#include <criterion/criterion.h>

namespace banyanlane::limits {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr ElectionLimits kLimits{};
constexpr std::uint64_t kOwn = 50;
constexpr std::uint64_t kLink = 3;
constexpr std::uint64_t kOtherLink = 4;

}  // namespace

Test(coordinator_election, does_not_act_before_others_know_it) {
  CoordinatorElection election(kOwn, kLimits);
  cr_assert_not(election.Step(kNow).has_value(), "it does not take part yet");
  election.Join(kNow);
  cr_assert_eq(election.Step(kNow)->candidate, kOwn);
  cr_assert_not(election.MayAct(kNow + kLimits.hold_off - Millis{1}));
  cr_assert(election.MayAct(kNow + kLimits.hold_off));
}

Test(coordinator_election, follows_a_higher_candidate_only) {
  CoordinatorElection election(kOwn, kLimits);
  election.Join(kNow);
  const TimePoint later = kNow + kLimits.hold_off;
  cr_assert_not(election.OnNews(kLink, {kOwn - 1, 9}, later));
  cr_assert(election.MayAct(later));
  cr_assert(election.OnNews(kLink, {kOwn + 1, 1}, later));
  cr_assert_not(election.MayAct(later));
  cr_assert_eq(*election.Parent(), kLink);
  cr_assert_not(election.OnNews(kOtherLink, {kOwn + 1, 1}, later),
                "news is forwarded once");
  cr_assert_eq(*election.Parent(), kLink);
  cr_assert(election.OnNews(kOtherLink, {kOwn + 1, 2}, later));
  cr_assert_eq(*election.Parent(), kOtherLink,
               "the latest news came first from there");
}

Test(coordinator_election, replaces_a_silent_coordinator_for_good) {
  CoordinatorElection election(kOwn, kLimits);
  election.Join(kNow);
  election.OnNews(kLink, {kOwn + 1, 7}, kNow);
  const TimePoint lost = kNow + kLimits.timeout + Millis{1};
  cr_assert_eq(election.Step(lost)->candidate, kOwn);
  cr_assert_not(election.OnNews(kOtherLink, {kOwn + 1, 7}, lost),
                "old news still goes round");
  cr_assert_not(election.MayAct(lost), "others may still ask the previous one");
  cr_assert(election.MayAct(lost + kLimits.hold_off));
}

Test(coordinator_election, looks_for_another_way_when_its_link_is_lost) {
  CoordinatorElection election(kOwn, kLimits);
  election.Join(kNow);
  election.OnNews(kLink, {kOwn + 1, 7}, kNow);
  election.OnLinkDown(kOtherLink, kNow);
  cr_assert_eq(*election.Parent(), kLink);
  election.OnLinkDown(kLink, kNow);
  cr_assert_not(election.Parent().has_value());
  cr_assert(election.OnNews(kOtherLink, {kOwn + 1, 8}, kNow + Millis{500}));
  cr_assert_eq(*election.Parent(), kOtherLink);
}

}  // namespace banyanlane::limits
