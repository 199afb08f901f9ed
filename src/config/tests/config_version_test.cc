#include "config/config_version.h"

#include <criterion/criterion.h>

#include "config/internal/config_store.h"
#include "kernel/hash.h"

namespace banyanlane::config {
namespace {

constexpr std::uint64_t kBefore = 1;
constexpr std::uint64_t kAfter = 2;

ConfigOffer OfferOf(std::uint64_t revision, const std::string& profile,
                    std::uint64_t era, bool confirmed) {
  const std::string text =
      "[profile:" + profile + "]\nclass = chat\nservice = model\n";
  return {revision, kernel::Digest(text), text, era, confirmed};
}

}  // namespace

Test(config_version, orders_by_revision_within_an_era_and_where_none_is_known) {
  cr_assert(Replaces({6, kAfter, false}, {5, kAfter, true}));
  cr_assert_not(Replaces({5, kAfter, true}, {5, kAfter, false}));
  cr_assert_not(Replaces({4, kAfter, true}, {5, kAfter, false}));
  cr_assert(Replaces({6, 0, false}, {5, kAfter, true}));
  cr_assert_not(Replaces({5, 0, true}, {6, kAfter, true}));
}

Test(config_version, keeps_a_lost_revision_until_the_new_era_is_confirmed) {
  cr_assert_not(Replaces({4, kAfter, false}, {5, kBefore, true}));
  cr_assert(Replaces({5, kAfter, false}, {5, kBefore, true}));
  cr_assert(Replaces({4, kAfter, true}, {5, kBefore, true}));
}

Test(config_version,
     prefers_a_lost_revision_to_the_copy_but_not_to_its_successor) {
  cr_assert(Replaces({5, kBefore, true}, {4, kAfter, false}));
  cr_assert_not(Replaces({5, kBefore, true}, {5, kAfter, false}));
  cr_assert_not(Replaces({5, kBefore, true}, {4, kAfter, true}));
}

Test(config_store, adopts_a_revision_that_was_given_again_after_a_restore) {
  ConfigStore store(std::make_shared<kernel::AuditTrail>());
  const kernel::TimePoint now;
  store.Offer(OfferOf(7, "lost", kBefore, true), "platform", now);
  cr_assert(store.Offer(OfferOf(5, "copy", kAfter, false), "platform", now) ==
            OfferOutcome::kOlder);
  cr_assert(store.Offer(OfferOf(7, "again", kAfter, true), "peer", now) ==
            OfferOutcome::kAdopted);
  cr_assert(store.Offer(OfferOf(7, "lost", kBefore, true), "peer", now) ==
            OfferOutcome::kOlder);
  cr_assert(store.Offer(OfferOf(9, "late", kBefore, true), "peer", now) ==
            OfferOutcome::kOlder);
  cr_assert_not_null(store.Current()->FindProfile("again"));
}

Test(config_store, learns_that_the_revision_in_force_outlasted_a_restore) {
  ConfigStore store(std::make_shared<kernel::AuditTrail>());
  const kernel::TimePoint now;
  int adoptions = 0;
  store.Subscribe([&adoptions](const ConfigPtr&) { ++adoptions; });
  store.Offer(OfferOf(7, "a", kBefore, true), "platform", now);
  cr_assert(store.Offer(OfferOf(7, "a", kAfter, false), "platform", now) ==
            OfferOutcome::kSame);
  cr_assert_eq(store.Current()->era, kAfter);
  cr_assert(store.Offer(OfferOf(7, "a", kAfter, true), "platform", now) ==
            OfferOutcome::kSame);
  cr_assert(store.Current()->confirmed);
  cr_assert(store.Offer(OfferOf(7, "a", kBefore, false), "peer", now) ==
            OfferOutcome::kSame);
  cr_assert(store.Current()->confirmed);
  cr_assert_eq(adoptions, 1);
}

}  // namespace banyanlane::config
