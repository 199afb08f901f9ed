#include "catalog/internal/catalog_follower.h"

#include <criterion/criterion.h>

namespace banyanlane::catalog {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

CatalogPage PageOf(std::uint64_t revision, std::vector<CatalogItem> items,
                   bool more = false) {
  return {std::move(items), revision, more};
}

CatalogItem Item(const std::string& key, const std::string& value,
                 std::uint64_t revision) {
  return {key, value, revision, false};
}

CatalogItem Removal(const std::string& key, std::uint64_t revision) {
  return {key, "", revision, true};
}

kernel::Error Failure() {
  return {kernel::ErrorCode::kUnreachable, "test", "", ""};
}

std::string TextOf(const CatalogFollower& follower) {
  std::string text;
  for (const CatalogItem& item : follower.Snapshot().items)
    text += item.key + "=" + item.value + " ";
  return text;
}

CatalogFollower Loaded() {
  CatalogFollower follower(CatalogLimits{}, 1);
  follower.OnResponse(PageOf(10, {Item("a", "1", 3), Item("b", "1", 4)}),
                      kStart);
  return follower;
}

}  // namespace

Test(catalog_follower, reads_all_pages_and_then_watches) {
  CatalogFollower follower(CatalogLimits{}, 1);
  cr_assert(std::holds_alternative<ReadPageStep>(follower.NextStep(kStart)));
  follower.OnResponse(PageOf(10, {Item("a", "1", 3)}, true), kStart);
  cr_assert_not(follower.IsLoaded());
  cr_assert_eq(std::get<ReadPageStep>(follower.NextStep(kStart)).after_key,
               "a");
  cr_assert(follower.OnResponse(PageOf(12, {Item("b", "1", 11)}), kStart));
  cr_assert(follower.IsLoaded());
  // The watch starts at the revision of the first page, so it reports changes
  // between the pages again.
  cr_assert_eq(std::get<WatchStep>(follower.NextStep(kStart)).after_revision,
               10);
  cr_assert_not(follower.OnResponse(PageOf(12, {Item("b", "1", 11)}), kStart));
  cr_assert_eq(TextOf(follower), "a=1 b=1 ");
}

Test(catalog_follower, applies_changes_but_never_an_older_value) {
  CatalogFollower follower = Loaded();
  cr_assert(follower.OnResponse(
      PageOf(12, {Item("a", "2", 11), Removal("b", 12)}), kStart));
  cr_assert_eq(TextOf(follower), "a=2 ");
  cr_assert_not(follower.OnResponse(PageOf(13, {Item("a", "1", 3)}), kStart));
  cr_assert_eq(TextOf(follower), "a=2 ");
  const auto version = follower.Snapshot().version;
  cr_assert_not(follower.OnResponse(PageOf(9, {Item("a", "0", 99)}), kStart),
                "the revision of the store decreased");
  cr_assert_eq(TextOf(follower), "a=2 ");
  cr_assert_eq(follower.Snapshot().version, version);
}

Test(catalog_follower, reloads_when_history_is_unavailable) {
  CatalogFollower follower = Loaded();
  follower.OnResponse(HistoryUnavailable{}, kStart);
  cr_assert(std::holds_alternative<ReadPageStep>(follower.NextStep(kStart)));
  cr_assert(follower.OnResponse(PageOf(30, {Item("b", "2", 29)}), kStart));
  cr_assert_eq(TextOf(follower), "b=2 ",
               "items removed in the gap are deleted");
}

Test(catalog_follower, pauses_longer_after_each_failure) {
  CatalogFollower follower(CatalogLimits{}, 1);
  TimePoint now = kStart;
  kernel::Clock::duration longest{};
  for (int i = 0; i < 12; ++i) {
    follower.OnResponse(Failure(), now);
    const auto until = std::get<PauseStep>(follower.NextStep(now)).until;
    longest = std::max(longest, until - now);
    cr_assert_leq((until - now).count(),
                  kernel::Clock::duration(CatalogLimits{}.max_pause).count());
    now = until;
  }
  cr_assert_geq(longest.count(),
                kernel::Clock::duration(CatalogLimits{}.max_pause).count() / 2);
}

Test(catalog_follower, keeps_removed_items_for_a_grace_period_after_an_outage) {
  CatalogFollower follower = Loaded();
  const TimePoint recovered_at = kStart + Millis(10'000);
  follower.OnResponse(Failure(), recovered_at - Millis(1'000));
  follower.OnResponse(PageOf(20, {Removal("a", 18), Removal("b", 19)}),
                      recovered_at);
  cr_assert_eq(TextOf(follower), "a=1 b=1 ");
  cr_assert(
      follower.OnResponse(PageOf(21, {Item("a", "1", 21)}), recovered_at));
  const auto before = follower.Snapshot().version;
  const TimePoint grace_end = recovered_at + CatalogLimits{}.removal_grace;
  cr_assert(follower.EndGracePeriods(grace_end));
  cr_assert_eq(TextOf(follower), "a=1 ");
  cr_assert_gt(follower.Snapshot().version, before);
  // The next change of the store must have a higher version.
  const auto deleted_version = follower.Snapshot().version;
  follower.OnResponse(PageOf(22, {Item("c", "1", 22)}), grace_end);
  cr_assert_gt(follower.Snapshot().version, deleted_version);
}

Test(catalog_follower, drops_removed_items_at_once_without_an_outage) {
  CatalogFollower follower = Loaded();
  follower.OnResponse(Failure(), kStart + Millis(100));
  cr_assert(follower.OnResponse(PageOf(20, {Removal("a", 18)}),
                                kStart + Millis(300)));
  cr_assert_eq(TextOf(follower), "b=1 ");
}

Test(catalog_follower, offers_a_change_on_any_page_of_a_reload) {
  CatalogFollower follower = Loaded();
  const auto version = follower.Snapshot().version;
  follower.OnResponse(HistoryUnavailable{}, kStart);
  cr_assert_not(
      follower.OnResponse(PageOf(30, {Item("a", "2", 29)}, true), kStart),
      "the version increases only with the last page");
  cr_assert_eq(follower.Snapshot().version, version);
  cr_assert(follower.OnResponse(PageOf(31, {Item("b", "1", 4)}), kStart));
  cr_assert_eq(TextOf(follower), "a=2 b=1 ");
  cr_assert_gt(follower.Snapshot().version, version);
}

Test(catalog_follower, offers_a_change_of_a_reload_that_fails_after_a_page) {
  CatalogFollower follower = Loaded();
  const auto version = follower.Snapshot().version;
  follower.OnResponse(HistoryUnavailable{}, kStart);
  follower.OnResponse(PageOf(30, {Item("a", "2", 29)}, true), kStart);
  follower.OnResponse(HistoryUnavailable{}, kStart);
  cr_assert_not(
      follower.OnResponse(PageOf(32, {Item("a", "2", 29)}, true), kStart));
  cr_assert(follower.OnResponse(PageOf(32, {Item("b", "1", 4)}), kStart));
  cr_assert_gt(follower.Snapshot().version, version);
}

}  // namespace banyanlane::catalog
