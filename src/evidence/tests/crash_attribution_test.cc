#include "evidence/crash_attribution.h"

#include <criterion/criterion.h>

#include <deque>
#include <memory>
#include <random>

namespace banyanlane::evidence {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

/// Limits with which two crashes belong to one event only if both attempts were
/// sent before it.
AttributionLimits LimitsWithoutEventTime() {
  AttributionLimits limits;
  limits.event_time = Millis(0);
  return limits;
}

CrashAttribution Gateway(const std::string& node = "g1") {
  return {node, LimitsWithoutEventTime()};
}

bool IsQuarantined(const CrashAttribution& gateway, const std::string& key,
                   TimePoint now = kNow) {
  return gateway.QuarantinedUntil({key}, now).has_value();
}

void Send(const std::vector<link::WorkReport>& reports, CrashAttribution& to) {
  for (const link::WorkReport& report : reports) to.Merge(report, kNow);
}

/// Records a crash that ended an attempt sent after all crashes known by now.
CrashAttribution::Reports Crash(CrashAttribution& gateway,
                                const CrashAttribution::Keys& keys,
                                const std::string& crash,
                                TimePoint now = kNow) {
  return gateway.RecordCrash(keys, crash, {now, now}, now);
}

/// Records a crash that ended an attempt sent before any other crash.
CrashAttribution::Reports CrashAtOnce(CrashAttribution& gateway,
                                      const CrashAttribution::Keys& keys,
                                      const std::string& crash) {
  return gateway.RecordCrash(keys, crash, {kNow - Millis(1), kNow}, kNow);
}

/// Lets the windows pass in which attempts are counted.
void Forget(CrashAttribution& gateway) {
  gateway.Expire(kNow + AttributionLimits{}.memory);
  gateway.Expire(kNow + AttributionLimits{}.memory * 2);
}

}  // namespace

Test(crash_attribution, quarantines_work_from_its_third_crash) {
  CrashAttribution gateway = Gateway();
  Crash(gateway, {"work"}, "c1");
  Crash(gateway, {"work"}, "c2");
  Crash(gateway, {"work"}, "c2");
  cr_assert_not(IsQuarantined(gateway, "work"), "the same crash counts once");
  Crash(gateway, {"work"}, "c3");
  cr_assert(IsQuarantined(gateway, "work"));
  cr_assert_not(IsQuarantined(gateway, "other"));
  const auto changes = gateway.TakeChanges();
  cr_assert_eq(changes.size(), 1);
  cr_assert_eq(changes.front().status, WorkStatus::kQuarantined);
}

Test(crash_attribution, adds_up_the_crashes_that_several_gateways_saw) {
  CrashAttribution first = Gateway("g1");
  CrashAttribution second = Gateway("g2");
  Send(Crash(first, {"work"}, "c1"), second);
  Send(Crash(first, {"work"}, "c2"), second);
  // Both had an attempt at the endpoint of the second crash.
  Send(Crash(second, {"work"}, "c2"), first);
  cr_assert_not(IsQuarantined(first, "work"));
  Send(Crash(second, {"work"}, "c3"), first);
  cr_assert(IsQuarantined(first, "work"));
  cr_assert(IsQuarantined(second, "work"));
}

Test(crash_attribution, spares_work_that_endpoints_survive_between_crashes) {
  CrashAttribution gateway = Gateway();
  for (int i = 0; i < 50; ++i) {
    Crash(gateway, {"work"}, "c" + std::to_string(i));
    cr_assert_not(IsQuarantined(gateway, "work"), "crash %d", i);
    gateway.RecordSurvival({"work"}, kNow, kNow);
  }
}

Test(crash_attribution, still_quarantines_work_that_was_sound_until_recently) {
  CrashAttribution gateway = Gateway();
  Crash(gateway, {"work"}, "c0");
  for (int i = 0; i < 1'000; ++i) {
    gateway.RecordBegun({"work"}, kNow, kNow);
    gateway.RecordSurvival({"work"}, kNow, kNow);
  }
  Forget(gateway);
  for (const char* crash : {"c1", "c2", "c3"}) Crash(gateway, {"work"}, crash);
  cr_assert(IsQuarantined(gateway, "work"));
}

Test(crash_attribution, ignores_late_reports_of_crashes_that_were_cleared) {
  CrashAttribution slow = Gateway("slow");
  std::vector<link::WorkReport> late;
  for (const char* crash : {"c1", "c2"}) late = Crash(slow, {"work"}, crash);
  CrashAttribution gateway = Gateway();
  Send(late, gateway);
  for (int i = 0; i < 5; ++i) gateway.RecordSurvival({"work"}, kNow, kNow);
  Send(late, gateway);
  Crash(gateway, {"work"}, "c3");
  cr_assert_not(IsQuarantined(gateway, "work"));
}

Test(crash_attribution, releases_work_that_other_gateways_saw_survive) {
  CrashAttribution first = Gateway("g1");
  CrashAttribution second = Gateway("g2");
  for (const char* crash : {"c1", "c2", "c3"})
    Send(Crash(first, {"work"}, crash), second);
  cr_assert(IsQuarantined(first, "work"));
  for (int i = 0; i < 3; ++i)
    Send(second.RecordSurvival({"work"}, kNow, kNow), first);
  cr_assert_not(IsQuarantined(first, "work"));
  cr_assert_not(IsQuarantined(second, "work"));
}

Test(crash_attribution, tells_a_gateway_that_connects_later) {
  CrashAttribution gateway = Gateway();
  for (const char* crash : {"c1", "c2", "c3"}) Crash(gateway, {"work"}, crash);
  CrashAttribution later = Gateway("g9");
  Send(gateway.All(kNow), later);
  cr_assert(IsQuarantined(later, "work"));
}

Test(crash_attribution, forgets_evidence_after_its_lifetime) {
  CrashAttribution gateway = Gateway();
  for (const char* crash : {"c1", "c2", "c3"}) Crash(gateway, {"work"}, crash);
  const TimePoint end = kNow + AttributionLimits{}.lifetime;
  gateway.Expire(end - Millis(1));
  cr_assert_eq(gateway.All(kNow).size(), 1);
  gateway.Expire(end);
  cr_assert(gateway.All(kNow).empty());
  cr_assert_not(IsQuarantined(gateway, "work"));
}

Test(crash_attribution, agrees_between_gateways_whatever_the_delay_of_reports) {
  constexpr int kGateways = 4;
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<CrashAttribution>> gateways;
    /// Reports on their way, by sender and receiver. Links keep their order.
    std::deque<link::WorkReport> links[kGateways][kGateways];
    for (int i = 0; i < kGateways; ++i) {
      gateways.push_back(std::make_unique<CrashAttribution>(
          "g" + std::to_string(i), LimitsWithoutEventTime()));
    }
    const auto deliver = [&](int from, int to) {
      auto& link = links[from][to];
      if (link.empty()) return;
      gateways[to]->Merge(link.front(), kNow);
      link.pop_front();
    };
    const auto send = [&](int from, const CrashAttribution::Reports& reports) {
      for (int to = 0; to < kGateways; ++to)
        links[from][to].insert(links[from][to].end(), reports.begin(),
                               reports.end());
    };
    for (int i = 0; i < 12; ++i) {
      const auto crash = "c" + std::to_string(i);
      const int observer = static_cast<int>(random() % kGateways);
      send(observer, Crash(*gateways[observer], {"poison", "sound"}, crash));
      for (int k = 0; k < 8; ++k) {
        const int other = static_cast<int>(random() % kGateways);
        send(other, gateways[other]->RecordSurvival({"sound"}, kNow, kNow));
        for (int n = 0; n < 4; ++n)
          deliver(static_cast<int>(random() % kGateways),
                  static_cast<int>(random() % kGateways));
      }
    }
    for (int from = 0; from < kGateways; ++from) {
      for (int to = 0; to < kGateways; ++to) {
        while (!links[from][to].empty()) deliver(from, to);
      }
    }
    for (const auto& gateway : gateways) {
      cr_assert(IsQuarantined(*gateway, "poison"), "seed %u", seed);
      cr_assert_not(IsQuarantined(*gateway, "sound"), "seed %u", seed);
    }
  }
}

Test(crash_attribution, spares_popular_work_when_many_endpoints_are_lost) {
  CrashAttribution gateway = Gateway();
  int crashes = 0;
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 30; ++i) {
      gateway.RecordBegun({"popular"}, kNow, kNow);
      gateway.RecordSurvival({"popular"}, kNow, kNow);
    }
    for (int i = 0; i < 16; ++i) {
      CrashAtOnce(gateway, {"popular"}, "c" + std::to_string(++crashes));
      cr_assert_not(IsQuarantined(gateway, "popular"), "crash %d", crashes);
    }
    Forget(gateway);
  }
}

Test(crash_attribution, spares_work_of_several_gateways_that_one_event_ended) {
  CrashAttribution first = Gateway("g1");
  CrashAttribution second = Gateway("g2");
  for (const char* crash : {"c1", "c2", "c3"})
    Send(CrashAtOnce(first, {"work"}, crash), second);
  for (const char* crash : {"c4", "c5", "c6"})
    Send(CrashAtOnce(second, {"work"}, crash), first);
  cr_assert_not(IsQuarantined(first, "work"));
  cr_assert_not(IsQuarantined(second, "work"));
}

Test(crash_attribution, counts_no_survivals_from_before_the_first_crash) {
  CrashAttribution first = Gateway("g1");
  CrashAttribution second = Gateway("g2");
  for (int i = 0; i < 1'000; ++i) {
    for (CrashAttribution* gateway : {&first, &second}) {
      gateway->RecordBegun({"work"}, kNow, kNow);
      gateway->RecordSurvival({"work"}, kNow, kNow);
    }
  }
  for (const char* crash : {"c1", "c2", "c3"})
    Send(Crash(first, {"work"}, crash), second);
  cr_assert(IsQuarantined(first, "work"));
  cr_assert(IsQuarantined(second, "work"));
}

Test(crash_attribution, takes_crashes_in_quick_succession_for_one_event) {
  const AttributionLimits limits;
  const auto crash_in_turn = [&limits](kernel::Millis pause) {
    CrashAttribution gateway("g1", limits);
    TimePoint lost_at = kNow;
    for (int i = 0; i < 10; ++i) {
      const TimePoint sent_at = lost_at;
      lost_at += pause;
      gateway.RecordCrash({"work"}, "c" + std::to_string(i), {sent_at, lost_at},
                          lost_at);
    }
    return IsQuarantined(gateway, "work");
  };
  cr_assert_not(crash_in_turn(limits.event_time / 10));
  cr_assert(crash_in_turn(limits.event_time));
}

Test(crash_attribution, needs_a_permit_for_doubtful_work_until_it_has_begun) {
  CrashAttribution gateway = Gateway();
  CrashAtOnce(gateway, {"work"}, "c1");
  CrashAtOnce(gateway, {"work"}, "c2");
  Crash(gateway, {"work"}, "c3");
  const auto needs_permit = [&gateway](TimePoint now) {
    return gateway.DoubtfulKey({"other", "work"}, now).has_value();
  };
  const TimePoint later = kNow + AttributionLimits{}.permit_free_time;
  cr_assert_not(needs_permit(later - Millis(1)));
  cr_assert(needs_permit(later));
  gateway.RecordBegun({"work"}, later, later);
  cr_assert_not(needs_permit(later));
}

Test(crash_attribution, needs_no_permit_after_one_event_that_ended_all) {
  CrashAttribution gateway = Gateway();
  for (int i = 0; i < 20; ++i)
    CrashAtOnce(gateway, {"work"}, "c" + std::to_string(i));
  cr_assert_not(
      gateway.DoubtfulKey({"work"}, kNow + AttributionLimits{}.permit_free_time)
          .has_value());
}

Test(crash_attribution, is_not_cleared_by_an_attempt_sent_before_the_crashes) {
  CrashAttribution gateway = Gateway();
  for (const char* crash : {"c1", "c2", "c3"}) {
    Crash(gateway, {"work"}, crash);
    gateway.RecordSurvival({"work"}, kNow - Millis(1), kNow);
  }
  cr_assert(IsQuarantined(gateway, "work"));
}

Test(crash_attribution, tries_quarantined_work_again_one_attempt_at_a_time) {
  CrashAttribution gateway = Gateway();
  for (const char* crash : {"c1", "c2", "c3"}) Crash(gateway, {"work"}, crash);
  const TimePoint end = *gateway.QuarantinedUntil({"work"}, kNow);
  cr_assert_geq((end - kNow).count(),
                TimePoint::duration(AttributionLimits{}.quarantine).count());
  cr_assert_not(IsQuarantined(gateway, "work", end));
  cr_assert(gateway.TryProbe({"work"}, end));
  cr_assert(IsQuarantined(gateway, "work", end), "the probe is in progress");
  Crash(gateway, {"work"}, "c4", end);
  const TimePoint next = *gateway.QuarantinedUntil({"work"}, end);
  cr_assert_geq(
      (next - end).count(),
      TimePoint::duration(AttributionLimits{}.quarantine * 2).count());
  cr_assert(gateway.TryProbe({"work"}, next));
  gateway.RecordSurvival({"work"}, next, next);
  cr_assert_not(IsQuarantined(gateway, "work", next));
  cr_assert_not(gateway.TryProbe({"work"}, next), "the work is cleared");
}

Test(crash_attribution, does_not_end_the_quarantine_of_all_gateways_at_once) {
  CrashAttribution first = Gateway("g1");
  CrashAttribution second = Gateway("g2");
  for (const char* crash : {"c1", "c2", "c3"})
    Send(Crash(first, {"work"}, crash), second);
  cr_assert_neq(first.QuarantinedUntil({"work"}, kNow)->time_since_epoch(),
                second.QuarantinedUntil({"work"}, kNow)->time_since_epoch());
}

Test(crash_attribution, finds_the_part_that_different_requests_have_in_common) {
  CrashAttribution gateway = Gateway();
  for (int i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i);
    gateway.RecordBegun({"first", "own" + number}, kNow, kNow);
    Crash(gateway, {"first", "poison", "own" + number}, "c" + number);
    gateway.RecordSurvival({"first", "other"}, kNow, kNow);
  }
  cr_assert(IsQuarantined(gateway, "poison"));
  cr_assert_not(IsQuarantined(gateway, "first"));
  cr_assert_not(IsQuarantined(gateway, "own0"));
}

Test(crash_attribution, spares_a_common_part_when_nothing_survives_a_storm) {
  CrashAttribution first = Gateway("g1");
  CrashAttribution second = Gateway("g2");
  for (int i = 0; i < 20; ++i) {
    const std::string crash = "c" + std::to_string(i);
    Send(Crash(first, {"first", "poison"}, crash), second);
    // Endpoints begin to respond to sound requests, and the next crash ends
    // them.
    for (int k = 0; k < 5; ++k) {
      Send(first.RecordBegun({"first"}, kNow, kNow), second);
      Send(second.RecordBegun({"first"}, kNow, kNow), first);
    }
    cr_assert_not(IsQuarantined(first, "first"), "crash %d", i);
    cr_assert_not(IsQuarantined(second, "first"), "crash %d", i);
  }
  cr_assert(IsQuarantined(first, "poison"));
  cr_assert(IsQuarantined(second, "poison"));
}

Test(crash_attribution, explains_a_crash_by_the_part_that_is_begun_least) {
  CrashAttribution gateway = Gateway();
  for (const char* crash : {"c1", "c2", "c3"}) {
    Crash(gateway, {"first", "poison"}, crash);
    gateway.RecordBegun({"first"}, kNow, kNow);
  }
  cr_assert(IsQuarantined(gateway, "poison"));
  cr_assert_not(IsQuarantined(gateway, "first"));
  // Nothing but the quarantined part explains these crashes either.
  Crash(gateway, {"first", "poison"}, "c4");
  cr_assert_not(IsQuarantined(gateway, "first"));
}

Test(crash_attribution, needs_no_permit_once_other_work_explains_the_crashes) {
  CrashAttribution gateway = Gateway();
  for (const char* crash : {"c1", "c2", "c3"}) Crash(gateway, {"first"}, crash);
  gateway.RecordBegun({"first"}, kNow, kNow);
  CrashAttribution other = Gateway("g2");
  for (const char* crash : {"c1", "c2", "c3"})
    Send(Crash(other, {"poison"}, crash), gateway);
  cr_assert(IsQuarantined(gateway, "poison"));
  cr_assert_not(IsQuarantined(gateway, "first"));
  cr_assert(gateway.All(kNow).size() == 1, "no crash is left of the other");
}

Test(crash_attribution, finds_work_that_crashes_endpoints_among_many_others) {
  CrashAttribution gateway = Gateway();
  const std::size_t bound = AttributionLimits{}.max_records;
  for (const char* crash : {"c1", "c2"}) Crash(gateway, {"poison"}, crash);
  for (std::size_t i = 0; i < bound * 2; ++i) {
    Crash(gateway, {"k" + std::to_string(i)}, "c");
    if (i % 500 == 0) cr_assert_leq(gateway.All(kNow).size(), bound);
  }
  cr_assert_gt(gateway.All(kNow).size(), 1);
  Crash(gateway, {"poison"}, "c3");
  cr_assert(IsQuarantined(gateway, "poison"));
}

}  // namespace banyanlane::evidence
