#include <criterion/criterion.h>

#include "catalog/internal/catalog_follower.h"

namespace banyanlane::catalog {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr std::uint64_t kBefore = 4;
constexpr std::uint64_t kAfter = 5;

CatalogItem Item(const std::string& key, const std::string& value,
                 std::uint64_t revision) {
  return {key, value, revision, false};
}

CatalogItem Removal(const std::string& key, std::uint64_t revision) {
  return {key, "", revision, true};
}

CatalogPage PageOf(std::optional<std::uint64_t> era, std::uint64_t revision,
                   std::vector<CatalogItem> items) {
  return {std::move(items), revision, false, era};
}

std::string TextOf(const CatalogFollower& follower) {
  std::string text;
  for (const CatalogItem& item : follower.Snapshot().items)
    text += item.key + "=" + item.value + " ";
  return text;
}

/// Returns a follower that has read items and a change of `a`, and then watches
/// from revision 100.
CatalogFollower Watching(CatalogFollower::IsNewer is_newer = nullptr) {
  CatalogFollower follower(CatalogLimits{}, 1, std::move(is_newer));
  follower.OnResponse(
      PageOf(kBefore, 50, {Item("a", "1", 3), Item("b", "1", 4)}), kStart);
  follower.OnResponse(PageOf(kBefore, 100, {Item("a", "2", 100)}), kStart);
  return follower;
}

/// Lets `follower` read the restored store, whose revision is 90.
void ReadRestored(CatalogFollower& follower, std::vector<CatalogItem> items) {
  follower.OnResponse(HistoryUnavailable{kAfter}, kStart);
  cr_assert(std::holds_alternative<ReadPageStep>(follower.NextStep(kStart)));
  follower.OnResponse(PageOf(kAfter, 90, std::move(items)), kStart);
  cr_assert_not(follower.IsFailing());
  cr_assert_eq(std::get<WatchStep>(follower.NextStep(kStart)).after_revision,
               90);
}

const TimePoint kGraceEnd = kStart + CatalogLimits{}.rewrite_grace;

}  // namespace

Test(restored_store, is_read_again_with_revisions_below_the_known_ones) {
  CatalogFollower follower = Watching();
  const auto version = follower.Snapshot().version;
  ReadRestored(follower,
               {Item("a", "2", 100), Item("b", "1", 4), Item("c", "1", 89)});
  cr_assert_eq(TextOf(follower), "a=2 b=1 c=1 ");
  cr_assert_gt(follower.Snapshot().version, version);
}

Test(restored_store, is_noticed_by_a_watch_from_a_revision_given_out_again) {
  CatalogFollower follower = Watching();
  cr_assert_not(
      follower.OnResponse(PageOf(kAfter, 120, {Item("b", "9", 110)}), kStart));
  cr_assert(std::holds_alternative<ReadPageStep>(follower.NextStep(kStart)));
  cr_assert(follower.OnResponse(
      PageOf(kAfter, 120, {Item("a", "7", 95), Item("b", "9", 110)}),
      kGraceEnd));
  cr_assert(follower.EndGracePeriods(kGraceEnd + Millis(1)));
  cr_assert_eq(TextOf(follower), "a=7 b=9 ");
}

Test(restored_store, keeps_the_known_value_until_it_is_written_again) {
  CatalogFollower follower = Watching();
  ReadRestored(follower, {Item("a", "1", 3), Item("b", "1", 4)});
  cr_assert_eq(TextOf(follower), "a=2 b=1 ", "a=1 is a copy from before");
  cr_assert(
      follower.OnResponse(PageOf(kAfter, 91, {Item("a", "3", 91)}), kStart));
  cr_assert_eq(TextOf(follower), "a=3 b=1 ");
  cr_assert(follower.EndGracePeriods(kGraceEnd));
  cr_assert_eq(TextOf(follower), "a=3 b=1 ");
}

Test(restored_store, prevails_when_nothing_is_written_again) {
  CatalogFollower follower = Watching();
  ReadRestored(follower, {Item("a", "1", 3), Item("b", "1", 4)});
  cr_assert_not(follower.EndGracePeriods(kGraceEnd - Millis(1)));
  const auto version = follower.Snapshot().version;
  cr_assert(follower.EndGracePeriods(kGraceEnd));
  cr_assert_eq(TextOf(follower), "a=1 b=1 ");
  cr_assert_gt(follower.Snapshot().version, version);
  cr_assert(follower.Snapshot().items.front().confirmed);
}

Test(restored_store, does_not_bring_a_removed_item_back_at_once) {
  CatalogFollower follower = Watching();
  follower.OnResponse(PageOf(kBefore, 101, {Removal("b", 101)}), kStart);
  ReadRestored(follower, {Item("a", "2", 80), Item("b", "1", 4)});
  cr_assert_eq(TextOf(follower), "a=2 ");
  cr_assert(
      follower.OnResponse(PageOf(kAfter, 95, {Item("b", "5", 95)}), kStart));
  cr_assert_eq(TextOf(follower), "a=2 b=5 ", "it was written again");
}

Test(restored_store, keeps_an_item_that_it_lacks_for_the_grace_period) {
  CatalogFollower follower = Watching();
  ReadRestored(follower, {Item("b", "1", 4)});
  cr_assert_eq(TextOf(follower), "a=2 b=1 ");
  cr_assert(follower.EndGracePeriods(kStart + CatalogLimits{}.removal_grace));
  cr_assert_eq(TextOf(follower), "b=1 ");
}

Test(restored_store, is_used_at_once_where_the_writer_gives_a_later_number) {
  CatalogFollower follower =
      Watching([](const CatalogItem& offered, const CatalogItem& known) {
        return offered.value >= known.value;
      });
  ReadRestored(follower, {Item("a", "3", 60), Item("b", "0", 2)});
  cr_assert_eq(TextOf(follower), "a=3 b=1 ");
}

Test(restored_store, never_yields_to_a_late_response_from_before) {
  CatalogFollower follower = Watching();
  ReadRestored(follower, {Item("a", "3", 89), Item("b", "1", 4)});
  follower.OnResponse(PageOf(kAfter, 92, {Item("a", "4", 92)}), kStart);
  cr_assert_not(follower.OnResponse(
      PageOf(kBefore, 200, {Item("a", "late", 199)}), kStart));
  cr_assert(follower.IsFailing());
  cr_assert_not(follower.OnResponse(HistoryUnavailable{kBefore}, kStart));
  cr_assert_eq(TextOf(follower), "a=4 b=1 ");
  const TimePoint later = kStart + CatalogLimits{}.max_pause * 2;
  cr_assert(std::holds_alternative<WatchStep>(follower.NextStep(later)));
}

Test(restored_store, is_followed_through_a_second_restore) {
  CatalogFollower follower = Watching();
  ReadRestored(follower, {Item("a", "3", 89)});
  follower.OnResponse(HistoryUnavailable{kAfter + 1}, kStart);
  follower.OnResponse(
      PageOf(kAfter + 1, 40, {Item("a", "1", 3), Item("d", "1", 39)}), kStart);
  cr_assert_eq(TextOf(follower), "a=2 b=1 d=1 ");
  follower.OnResponse(PageOf(kAfter + 1, 41, {Item("a", "5", 41)}), kStart);
  follower.EndGracePeriods(kGraceEnd);
  cr_assert_eq(TextOf(follower), "a=5 d=1 ");
}

Test(restored_store, is_not_suspected_without_an_era) {
  CatalogFollower follower = Watching();
  cr_assert(follower.OnResponse(
      PageOf(std::nullopt, 110, {Item("a", "3", 110)}), kStart));
  follower.OnResponse(HistoryUnavailable{}, kStart);
  cr_assert_not(follower.IsFailing());
  cr_assert_eq(follower.era(), kBefore);
  cr_assert(
      follower.OnResponse(PageOf(kBefore, 120, {Item("a", "3", 110)}), kStart),
      "b was removed");
}

}  // namespace banyanlane::catalog
