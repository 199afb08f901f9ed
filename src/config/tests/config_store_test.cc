#include "config/internal/config_store.h"

#include <criterion/criterion.h>

#include <random>

#include "config/internal/watch_plan.h"
#include "kernel/hash.h"

namespace banyanlane::config {
namespace {

std::string TextOf(const std::string& profile) {
  return "[profile:" + profile + "]\nclass = chat\nservice = model\n";
}

ConfigOffer Offer(std::uint64_t revision, const std::string& text) {
  return {revision, kernel::Digest(text), text};
}

std::string ProblemOf(const std::string& text) {
  const auto parsed = ParseConfig(text, "f.ini");
  const kernel::Error* error = kernel::ErrorOf(parsed);
  return error == nullptr ? "" : error->detail;
}

}  // namespace

Test(config_store, adopts_only_complete_valid_and_newer_revisions) {
  const auto audit = std::make_shared<kernel::AuditTrail>();
  ConfigStore store(audit);
  const kernel::TimePoint now;
  cr_assert(store.Offer(Offer(5, TextOf("a")), "platform", now) ==
            OfferOutcome::kAdopted);
  cr_assert(store.Offer(Offer(5, TextOf("a")), "peer", now) ==
            OfferOutcome::kSame);
  cr_assert(store.Offer(Offer(4, TextOf("b")), "peer", now) ==
            OfferOutcome::kOlder);
  cr_assert(store.Offer(Offer(5, TextOf("b")), "peer", now) ==
            OfferOutcome::kRefused);
  cr_assert(store.Offer(Offer(6, "nonsense"), "peer", now) ==
            OfferOutcome::kRefused);
  cr_assert(store.Offer({7, "wrong", TextOf("b")}, "peer", now) ==
            OfferOutcome::kRefused);
  cr_assert(store.Offer(Offer(8, std::string(kMaxConfigBytes + 1, 'x')), "peer",
                        now) == OfferOutcome::kRefused);
  cr_assert_eq(store.Current()->revision, 5);
  cr_assert_not_null(store.Current()->FindProfile("a"));
  const std::size_t recorded = audit->Records().size();
  cr_assert(store.Offer(Offer(8, std::string(kMaxConfigBytes + 1, 'x')), "peer",
                        now) == OfferOutcome::kRefused);
  cr_assert_eq(audit->Records().size(), recorded,
               "the same refusal is recorded once");
}

Test(config_store, never_adopts_an_older_revision_in_any_order_of_offers) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    ConfigStore store(std::make_shared<kernel::AuditTrail>());
    std::vector<std::uint64_t> seen;
    store.Subscribe(
        [&seen](const ConfigPtr& config) { seen.push_back(config->revision); });
    std::uint64_t highest_valid = 0;
    for (int i = 0; i < 40; ++i) {
      const std::uint64_t revision = 1 + random() % 20;
      const bool valid = random() % 4 != 0;
      const std::string text =
          valid ? TextOf("p" + std::to_string(revision)) : "broken";
      store.Offer(Offer(revision, text), "peer", {});
      if (valid) highest_valid = std::max(highest_valid, revision);
      const std::uint64_t in_force =
          store.Current() ? store.Current()->revision : 0;
      cr_assert_eq(in_force, highest_valid, "seed %lu", seed);
    }
    cr_assert(std::is_sorted(seen.begin(), seen.end()), "seed %lu", seed);
  }
}

Test(profile_parser, names_file_line_and_field) {
  const std::pair<std::string, std::string> cases[] = {
      {TextOf("a"), ""},
      {"[profile:a]\nclass = jazz\nservice = m\n",
       "f.ini:2: [profile:a] class: must be chat or service"},
      {"[profile:a]\nclass = chat\n",
       "f.ini:1: [profile:a] service: required, but missing"},
      {"[profile:a]\nclass = service\nservice = t\n",
       "f.ini:1: [profile:a] path_prefix: a service profile needs a prefix "
       "that begins with /"},
      {"[profile:a]\nclass = chat\nservice = m\n\ndeadline_ms = 5\n",
       "f.ini:5: [profile:a] deadline_ms: 5 is outside 10..86400000"},
      {"[profile:a]\nclass = chat\nservice = m\ncolour = red\n",
       "f.ini:4: [profile:a] colour: unknown field"},
      {"[profile:a]\nclass = chat\nservice = m\nrepeatable = perhaps\n",
       "f.ini:4: [profile:a] repeatable: not a boolean"},
      {"[jazz]\nx = 1\n", "f.ini:1: [jazz] : unknown kind of section"},
      {"; nothing\n", "f.ini: holds no profile"},
  };
  for (const auto& [text, problem] : cases) {
    cr_expect_eq(ProblemOf(text), problem, "%s", ProblemOf(text).c_str());
  }
}

Test(watch_plan, read_rate_does_not_grow_with_the_number_of_entries) {
  for (const int entries : {9, 90, 390}) {
    auto list = std::make_shared<membership::InstanceList>();
    for (int i = 0; i < entries; ++i) {
      list->instances.push_back({"e" + std::to_string(i),
                                 membership::InstanceRole::kEntry,
                                 membership::InstanceState::kLive, "a",
                                 "d" + std::to_string(i % 4), ""});
    }
    int watchers = 0;
    double polls_per_second = 0;
    for (const auto& entry : list->instances) {
      const WatchPlan plan = PlanWatch(list, entry.id);
      watchers += plan.watches ? 1 : 0;
      if (!plan.watches)
        polls_per_second += 1'000.0 / static_cast<double>(plan.pause.count());
    }
    cr_assert_eq(watchers, 8);
    cr_assert_lt(polls_per_second, 1.0);
  }
}

}  // namespace banyanlane::config
