#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>

#include "agent/internal/admission.h"
#include "agent/internal/charge_policy.h"
#include "bench.h"
#include "entry/internal/address_selector.h"
#include "entry/internal/retry_budget.h"
#include "entry/internal/route_policy.h"
#include "evidence/crash_evidence.h"
#include "kernel/hash.h"

namespace banyanlane::bench {
namespace {

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

// ---------------------------------------------------------------- reservations

constexpr double kStepSeconds = 0.027;
constexpr int kReservedTokens = 1'024;
constexpr std::int64_t kTokenCapacity = 16'384;
constexpr std::size_t kSlots = 96;
constexpr double kQueueDeadlineSeconds = 8;
constexpr int kSteps = 40'000;

/// A stream on a model engine that makes one token a step and keeps all of them
/// in memory.
struct EngineStream {
  std::string name;
  int priority = 0;
  int will_read = 0;
  int made = 0;
  int arrived = 0;
};

struct ReservationScore {
  int asked = 0;
  int served = 0;
  int high_refused = 0;
  int high_asked = 0;
  std::int64_t read_tokens = 0;
  std::int64_t wasted_tokens = 0;
  int misses = 0;
};

/// Plays callers who reserve far more than they read. In the last third all
/// read to the end.
ReservationScore PlayReservations(agent::IChargePolicy& policy,
                                  std::uint64_t seed, bool surge) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> reads(1.0 / 120);
  // Fewer ask in the surge, where the important ones alone must not fill the
  // engine.
  std::bernoulli_distribution arrives(surge ? 0.12 : 0.32);
  std::bernoulli_distribution is_high(0.1);
  agent::Admission admission({kSlots, kTokenCapacity, 64});
  std::map<std::string, EngineStream> streams;
  std::set<std::string> running;
  ReservationScore score;
  const auto finish = [&](const std::string& name) {
    admission.Remove(name);
    running.erase(name);
    streams.erase(name);
  };
  for (int step = 0; step < kSteps; ++step) {
    const bool surging = surge && step > kSteps * 2 / 3;
    if (arrives(random)) {
      EngineStream stream;
      stream.name = std::to_string(step);
      stream.priority = is_high(random) ? 8 : 2;
      stream.will_read =
          surging
              ? kReservedTokens
              : std::min(kReservedTokens, 1 + static_cast<int>(reads(random)));
      stream.arrived = step;
      ++score.asked;
      score.high_asked += stream.priority > 5 ? 1 : 0;
      agent::CapacityClaim claim{stream.name, stream.priority,
                                 policy.Charge("chat", "org", kReservedTokens),
                                 false};
      std::optional<std::string> displaced;
      const auto verdict = admission.Add(claim, displaced);
      if (displaced) streams.erase(*displaced);
      if (verdict == agent::Admission::Verdict::kFull) {
        score.high_refused += stream.priority > 5 ? 1 : 0;
      } else {
        streams[stream.name] = stream;
        if (verdict == agent::Admission::Verdict::kRun)
          running.insert(stream.name);
      }
    }
    std::vector<std::string> ended;
    std::int64_t held = 0;
    for (const std::string& name : running) {
      EngineStream& stream = streams[name];
      ++stream.made;
      held += stream.made;
      admission.RaiseCharge(name, stream.made);
      if (stream.made >= stream.will_read) ended.push_back(name);
    }
    for (const std::string& name : ended) {
      policy.Observe("chat", "org", streams[name].made);
      score.read_tokens += streams[name].made;
      held -= streams[name].made;
      ++score.served;
      finish(name);
    }
    while (held > kTokenCapacity && !running.empty()) {
      // The engine is out of memory: the least important, latest stream loses
      // what it made.
      const auto victim = *std::min_element(
          running.begin(), running.end(),
          [&](const std::string& left, const std::string& right) {
            const EngineStream& a = streams[left];
            const EngineStream& b = streams[right];
            return std::make_pair(a.priority, -a.arrived) <
                   std::make_pair(b.priority, -b.arrived);
          });
      held -= streams[victim].made;
      score.wasted_tokens += streams[victim].made;
      score.high_refused += streams[victim].priority > 5 ? 1 : 0;
      finish(victim);
    }
    std::vector<std::string> late;
    for (const auto& [name, stream] : streams) {
      const bool waits = running.count(name) == 0;
      if (waits &&
          (step - stream.arrived) * kStepSeconds > kQueueDeadlineSeconds) {
        late.push_back(name);
      }
    }
    for (const std::string& name : late) {
      ++score.misses;
      score.high_refused += streams[name].priority > 5 ? 1 : 0;
      finish(name);
    }
    for (const std::string& name : admission.DequeueRunnable())
      running.insert(name);
  }
  return score;
}

void CompareReservations(std::uint64_t seed) {
  fmt::print("{:<10} {:<16} {:>7} {:>8} {:>13} {:>8} {:>8} {:>13}\n", "callers",
             "charge", "asked", "served%", "read tokens/s", "wasted%",
             "misses%", "high refused%");
  for (const bool surge : {false, true}) {
    std::pair<std::string, std::unique_ptr<agent::IChargePolicy>> ways[] = {
        {"in full", agent::MakeFullCharge()},
        {"constant 0.3", agent::MakeFractionCharge(0.3)},
        {"constant 0.12", agent::MakeFractionCharge(0.12)},
        {"expected 0.9", agent::MakeQuantileCharge(0.9)},
    };
    for (auto& [name, policy] : ways) {
      const ReservationScore s = PlayReservations(*policy, seed, surge);
      const double made = static_cast<double>(s.read_tokens + s.wasted_tokens);
      fmt::print(
          "{:<10} {:<16} {:>7} {:>8.1f} {:>13.0f} {:>8.2f} {:>8.1f} "
          "{:>13.2f}\n",
          surge ? "surge" : "walk away", name, s.asked,
          100.0 * s.served / s.asked,
          static_cast<double>(s.read_tokens) / (kSteps * kStepSeconds),
          100.0 * static_cast<double>(s.wasted_tokens) / made,
          100.0 * s.misses / s.asked, 100.0 * s.high_refused / s.high_asked);
    }
  }
}

// --------------------------------------------------------------------- routing

constexpr std::size_t kEngines = 16;
constexpr std::size_t kPrefixes = 400;
constexpr std::size_t kCachedPrefixes = 30;
constexpr double kReportLagMillis = 1'000;

struct ModelEngine {
  std::list<std::size_t> cached;  ///< Latest first.
  std::deque<double> ends;        ///< When each running request ends.
  double busy_until = 0;          ///< Of the prefill.

  bool Use(std::size_t prefix) {
    const auto found =
        std::find(this->cached.begin(), this->cached.end(), prefix);
    const bool hit = found != this->cached.end();
    if (hit) this->cached.erase(found);
    this->cached.push_front(prefix);
    if (this->cached.size() > kCachedPrefixes) this->cached.pop_back();
    return hit;
  }
};

void PlayRoute(const std::string& name, entry::IRoutePolicy& policy,
               std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> weights;
  for (std::size_t i = 0; i < kPrefixes; ++i)
    weights.push_back(1.0 / static_cast<double>(i + 1));
  std::discrete_distribution<std::size_t> prefixes(weights.begin(),
                                                   weights.end());
  std::exponential_distribution<double> gaps(1.0 / 16);
  std::vector<ModelEngine> engines(kEngines);
  std::vector<entry::EndpointView> views(kEngines);
  std::vector<std::int64_t> since_report(kEngines, 0);
  std::vector<std::int64_t> reported(kEngines, 0);
  for (std::size_t i = 0; i < kEngines; ++i)
    views[i].node = "engine-" + std::to_string(i);
  std::vector<double> first_token;
  int hits = 0;
  constexpr int kRequests = 40'000;
  double now = 0;
  double next_report = 0;
  for (int request = 0; request < kRequests; ++request) {
    now += gaps(random);
    if (now >= next_report) {
      next_report = now + kReportLagMillis;
      for (std::size_t i = 0; i < kEngines; ++i) {
        auto& ends = engines[i].ends;
        ends.erase(std::remove_if(ends.begin(), ends.end(),
                                  [now](double end) { return end <= now; }),
                   ends.end());
        reported[i] = static_cast<std::int64_t>(ends.size());
        since_report[i] = 0;
      }
    }
    for (std::size_t i = 0; i < kEngines; ++i)
      views[i].load = reported[i] + since_report[i];
    const std::size_t prefix = prefixes(random);
    entry::RouteRequest route;
    route.affinity = "prefix-" + std::to_string(prefix);
    const std::size_t chosen = policy.Choose(views, route);
    ++since_report[chosen];
    ModelEngine& engine = engines[chosen];
    const bool hit = engine.Use(prefix);
    hits += hit ? 1 : 0;
    const double prefill = hit ? 40 : 230;
    engine.busy_until = std::max(engine.busy_until, now) + prefill;
    first_token.push_back(engine.busy_until - now);
    engine.ends.push_back(engine.busy_until + 2'000);
  }
  fmt::print("{:<22} {:>9.1f} {:>12.0f} {:>12.0f} {:>12.0f}\n", name,
             100.0 * hits / kRequests, Quantile(first_token, 0.5),
             Quantile(first_token, 0.95), Quantile(first_token, 0.99));
}

void CompareRoutes(std::uint64_t seed) {
  fmt::print("{:<22} {:>9} {:>12} {:>12} {:>12}\n", "route", "cached%",
             "first p50 ms", "first p95 ms", "first p99 ms");
  PlayRoute("random", *entry::MakeRandomRoute(seed), seed);
  PlayRoute("least loaded", *entry::MakeLeastLoadedRoute(seed), seed);
  for (const double bound : {1.1, 1.25, 1.5, 2.0, 4.0}) {
    PlayRoute(fmt::format("affinity, bound {}", bound),
              *entry::MakeAffinityRoute(bound), seed);
  }
}

// --------------------------------------------------------------------- retries

/// A third of the endpoints fails what it gets for a while; the others have a
/// tenth to spare.
void PlayRetries(const std::string& name, bool budgeted, std::uint64_t seed) {
  config::Profile profile;
  profile.name = "chat";
  profile.retry_budget_percent = 10;
  constexpr int kAttempts = 4;
  constexpr int kSeconds = 90;
  constexpr int kPerSecond = 1'100;
  constexpr int kCapacity = 1'200;
  entry::RetryBudget budget;
  std::mt19937_64 random(seed);
  std::string row;
  double totals[3] = {0, 0, 0};
  int answered[3] = {0, 0, 0};
  int excess = 0;  // Attempts above capacity in the second before fail too.
  for (int second = 0; second < kSeconds; ++second) {
    const int phase = second / 30;
    int attempts = 0;
    const double overload =
        excess > 0 ? std::min(0.9, excess / static_cast<double>(kCapacity)) : 0;
    std::bernoulli_distribution fails(
        std::min(0.95, (phase == 1 ? 1.0 / 3 : 0.001) + overload));
    for (int request = 0; request < kPerSecond; ++request) {
      const std::string organisation = "org" + std::to_string(request % 50);
      budget.OnFirstAttempt(profile, organisation);
      for (int attempt = 1; attempt <= kAttempts; ++attempt) {
        ++attempts;
        if (!fails(random)) {
          ++answered[phase];
          break;
        }
        if (attempt == kAttempts) break;
        if (budgeted && !budget.TakeRetry(profile, organisation)) break;
      }
    }
    const int capacity = phase == 1 ? kCapacity * 2 / 3 : kCapacity;
    excess = attempts - capacity;
    totals[phase] += attempts;
  }
  constexpr double kPhaseRequests = 30.0 * kPerSecond;
  fmt::print(
      "{:<18} {:>8.3f} {:>8.3f} {:>8.3f} {:>10.1f} {:>10.1f} {:>10.1f}\n", name,
      totals[0] / kPhaseRequests, totals[1] / kPhaseRequests,
      totals[2] / kPhaseRequests, 100 * answered[0] / kPhaseRequests,
      100 * answered[1] / kPhaseRequests, 100 * answered[2] / kPhaseRequests);
}

void CompareRetries(std::uint64_t seed) {
  fmt::print("{:<18} {:^26} {:^32}\n", "", "attempts per request",
             "answered %");
  fmt::print("{:<18} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}\n", "way", "before",
             "during", "after", "before", "during", "after");
  PlayRetries("naive, 4 attempts", false, seed);
  PlayRetries("budget of 10%", true, seed);
}

// ---------------------------------------------------------------------- poison

enum class PoisonWay { kNone, kById, kEvidence };

/// Each of `poisons` requests is sent again `kResends` times under new ids;
/// every one crashes the endpoint that runs it. Others run beside it.
void PlayPoison(const std::string& name, PoisonWay way, std::size_t endpoints,
                std::uint64_t seed) {
  constexpr int kPoisons = 20;
  constexpr int kResends = 10;
  constexpr int kAttempts = 3;
  constexpr int kNeighbours = 15;
  constexpr std::int64_t kCrashLimit = 2;
  std::mt19937_64 random(seed);
  evidence::CrashEvidence evidence{kernel::Millis(600'000)};
  const kernel::TimePoint now;
  std::map<std::string, int> crashes_of_id;
  int lost = 0;
  std::set<std::string> innocent_quarantined;
  int crash_number = 0;
  for (int poison = 0; poison < kPoisons; ++poison) {
    const std::string work = "poison" + std::to_string(poison);
    for (int resend = 0; resend < kResends; ++resend) {
      const std::string id = work + "/" + std::to_string(resend);
      for (int attempt = 0; attempt < kAttempts; ++attempt) {
        if (way == PoisonWay::kById && crashes_of_id[id] >= kCrashLimit) break;
        const auto standing = evidence.CrashStatusOf(work, now);
        if (way == PoisonWay::kEvidence &&
            standing == evidence::CrashStatus::kQuarantined)
          break;
        const bool alone = way == PoisonWay::kEvidence &&
                           standing == evidence::CrashStatus::kSuspect;
        ++lost;
        ++crashes_of_id[id];
        if (way != PoisonWay::kEvidence) continue;
        const std::string crash = std::to_string(++crash_number);
        evidence.RecordCrash(work, crash, alone, kCrashLimit, now);
        for (int i = 0; !alone && i < kNeighbours; ++i) {
          // Popular work is beside many crashes; it runs alone next and is
          // cleared.
          const std::string neighbour =
              "popular" + std::to_string(random() % 40);
          evidence.RecordCrash(neighbour, crash, false, kCrashLimit, now);
          if (evidence.CrashStatusOf(neighbour, now) ==
              evidence::CrashStatus::kQuarantined) {
            innocent_quarantined.insert(neighbour);
          }
          evidence.RecordClearance(neighbour, now);
        }
      }
    }
  }
  fmt::print("{:<22} {:>9} {:>15.1f} {:>18}\n", name, endpoints,
             static_cast<double>(lost) / kPoisons, innocent_quarantined.size());
}

void ComparePoison(std::uint64_t seed) {
  fmt::print("{:<22} {:>9} {:>15} {:>18}\n", "way", "endpoints",
             "lost per poison", "false quarantines");
  for (const std::size_t endpoints : {16, 600}) {
    PlayPoison("no protection", PoisonWay::kNone, endpoints, seed);
    PlayPoison("counted by id", PoisonWay::kById, endpoints, seed);
    PlayPoison("evidence by work", PoisonWay::kEvidence, endpoints, seed);
  }
}

// ------------------------------------------------------------------- isolation

/// One organisation floods the entries that its addresses name.
void CompareIsolation(std::uint64_t /*seed*/) {
  fmt::print("{:>8} {:>14} {:>7} {:>22} {:>24}\n", "entries", "organisations",
             "subset", "entries it can flood%", "others without an entry%");
  for (const auto& [entries, organisations] :
       {std::pair{9, 10}, {60, 1'200}, {390, 7'400}}) {
    auto list = std::make_shared<membership::InstanceList>();
    list->version = 1;
    for (int i = 0; i < entries; ++i) {
      membership::Instance instance;
      instance.id = "entry-" + std::to_string(i);
      instance.address = instance.id;
      instance.failure_domain = "d" + std::to_string(i % 4);
      list->instances.push_back(instance);
    }
    for (const std::size_t subset :
         {std::size_t{3}, static_cast<std::size_t>(entries)}) {
      const entry::AddressSelector book("none", "none", subset,
                                        kernel::Millis(30'000));
      const auto flooded = book.Select(list, "flooder", false).addresses;
      int cut_off = 0;
      for (int i = 0; i < organisations; ++i) {
        const auto own =
            book.Select(list, "organisation-" + std::to_string(i), false)
                .addresses;
        const bool all = std::all_of(
            own.begin(), own.end(), [&](const std::string& address) {
              return std::find(flooded.begin(), flooded.end(), address) !=
                     flooded.end();
            });
        cut_off += all ? 1 : 0;
      }
      fmt::print("{:>8} {:>14} {:>7} {:>22.1f} {:>24.2f}\n", entries,
                 organisations, subset,
                 100.0 * static_cast<double>(flooded.size()) / entries,
                 100.0 * cut_off / organisations);
    }
  }
}

const Registration kReservations({"reservations",
                                  "what charging expected use is worth",
                                  CompareReservations});
const Registration kRoutes({"routing", "time to first token by way of routing",
                            CompareRoutes});
const Registration kRetries({"retries",
                             "attempts while a failure domain is lost",
                             CompareRetries});
const Registration kPoison({"poison", "endpoints lost to poison requests",
                            ComparePoison});
const Registration kIsolation({"isolation",
                               "who a flooding organisation reaches",
                               CompareIsolation});

}  // namespace
}  // namespace banyanlane::bench
