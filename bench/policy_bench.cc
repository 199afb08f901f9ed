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

/// Request on a simulated model engine. While the request runs, the engine
/// generates one token for it per step. The engine holds the tokens in memory
/// until the request ends.
struct EngineStream {
  std::string name;
  int priority = 0;
  int tokens_to_read = 0;
  int generated_tokens = 0;
  int arrival_step = 0;
};

struct ReservationResult {
  int requests = 0;
  int completed_requests = 0;
  /// Requests of high priority that were refused, dropped by the engine or
  /// still queued after the queue deadline.
  int high_priority_failed = 0;
  int high_priority_requests = 0;
  std::int64_t tokens_read = 0;    ///< Tokens of completed requests.
  std::int64_t wasted_tokens = 0;  ///< Tokens of dropped requests.
  int deadline_misses = 0;  ///< Requests removed from the queue as overdue.
};

/// Simulates callers that reserve far more tokens than they read.
/// @param surge whether all requests of the last third of the run read every
/// token that they reserve.
ReservationResult SimulateReservations(agent::IChargePolicy& policy,
                                       std::uint64_t seed, bool surge) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> read_lengths(1.0 / 120);
  // A surge run has fewer requests, so that those of high priority alone do not
  // fill the engine.
  std::bernoulli_distribution arrives(surge ? 0.12 : 0.32);
  std::bernoulli_distribution is_high_priority(0.1);
  agent::Admission admission({kSlots, kTokenCapacity, 64});
  std::map<std::string, EngineStream> streams;
  std::set<std::string> running;
  ReservationResult result;
  const auto remove_stream = [&](const std::string& name) {
    admission.Remove(name);
    running.erase(name);
    streams.erase(name);
  };
  for (int step = 0; step < kSteps; ++step) {
    const bool is_surging = surge && step > kSteps * 2 / 3;
    if (arrives(random)) {
      EngineStream stream;
      stream.name = std::to_string(step);
      stream.priority = is_high_priority(random) ? 8 : 2;
      stream.tokens_to_read =
          is_surging ? kReservedTokens
                     : std::min(kReservedTokens,
                                1 + static_cast<int>(read_lengths(random)));
      stream.arrival_step = step;
      ++result.requests;
      result.high_priority_requests += stream.priority > 5 ? 1 : 0;
      agent::CapacityClaim claim{stream.name, stream.priority,
                                 policy.Charge("chat", "org", kReservedTokens),
                                 false};
      std::optional<std::string> displaced;
      const auto verdict = admission.Add(claim, displaced);
      if (displaced) streams.erase(*displaced);
      if (verdict == agent::Admission::Verdict::kFull) {
        result.high_priority_failed += stream.priority > 5 ? 1 : 0;
      } else {
        streams[stream.name] = stream;
        if (verdict == agent::Admission::Verdict::kRun)
          running.insert(stream.name);
      }
    }
    std::vector<std::string> completed;
    std::int64_t held_tokens = 0;
    for (const std::string& name : running) {
      EngineStream& stream = streams[name];
      ++stream.generated_tokens;
      held_tokens += stream.generated_tokens;
      admission.RaiseCharge(name, stream.generated_tokens);
      if (stream.generated_tokens >= stream.tokens_to_read)
        completed.push_back(name);
    }
    for (const std::string& name : completed) {
      policy.Observe("chat", "org", streams[name].generated_tokens);
      result.tokens_read += streams[name].generated_tokens;
      held_tokens -= streams[name].generated_tokens;
      ++result.completed_requests;
      remove_stream(name);
    }
    while (held_tokens > kTokenCapacity && !running.empty()) {
      // The engine is out of memory and drops the latest of the streams with
      // the lowest priority. The generated tokens are wasted.
      const auto dropped = *std::min_element(
          running.begin(), running.end(),
          [&](const std::string& left, const std::string& right) {
            const EngineStream& a = streams[left];
            const EngineStream& b = streams[right];
            return std::make_pair(a.priority, -a.arrival_step) <
                   std::make_pair(b.priority, -b.arrival_step);
          });
      held_tokens -= streams[dropped].generated_tokens;
      result.wasted_tokens += streams[dropped].generated_tokens;
      result.high_priority_failed += streams[dropped].priority > 5 ? 1 : 0;
      remove_stream(dropped);
    }
    std::vector<std::string> overdue;
    for (const auto& [name, stream] : streams) {
      const bool is_queued = running.count(name) == 0;
      if (is_queued &&
          (step - stream.arrival_step) * kStepSeconds > kQueueDeadlineSeconds) {
        overdue.push_back(name);
      }
    }
    for (const std::string& name : overdue) {
      ++result.deadline_misses;
      result.high_priority_failed += streams[name].priority > 5 ? 1 : 0;
      remove_stream(name);
    }
    for (const std::string& name : admission.DequeueRunnable())
      running.insert(name);
  }
  return result;
}

void CompareReservations(std::uint64_t seed) {
  fmt::print("{:<10} {:<16} {:>7} {:>8} {:>13} {:>8} {:>8} {:>13}\n", "callers",
             "charge", "asked", "served%", "read tokens/s", "wasted%",
             "misses%", "high refused%");
  for (const bool surge : {false, true}) {
    std::pair<std::string, std::unique_ptr<agent::IChargePolicy>> policies[] = {
        {"in full", agent::MakeFullCharge()},
        {"constant 0.3", agent::MakeFractionCharge(0.3)},
        {"constant 0.12", agent::MakeFractionCharge(0.12)},
        {"expected 0.9", agent::MakeQuantileCharge(0.9)},
    };
    for (auto& [name, policy] : policies) {
      const ReservationResult result =
          SimulateReservations(*policy, seed, surge);
      const double generated_tokens =
          static_cast<double>(result.tokens_read + result.wasted_tokens);
      fmt::print(
          "{:<10} {:<16} {:>7} {:>8.1f} {:>13.0f} {:>8.2f} {:>8.1f} "
          "{:>13.2f}\n",
          surge ? "surge" : "walk away", name, result.requests,
          100.0 * result.completed_requests / result.requests,
          static_cast<double>(result.tokens_read) / (kSteps * kStepSeconds),
          100.0 * static_cast<double>(result.wasted_tokens) / generated_tokens,
          100.0 * result.deadline_misses / result.requests,
          100.0 * result.high_priority_failed / result.high_priority_requests);
    }
  }
}

// --------------------------------------------------------------------- routing

constexpr std::size_t kEngines = 16;
constexpr std::size_t kPrefixes = 400;
constexpr std::size_t kCachedPrefixes = 30;
constexpr double kReportIntervalMillis = 1'000;

struct SimulatedEngine {
  /// Cached prefixes, the most recently used first.
  std::list<std::size_t> cached;
  std::deque<double> end_times_millis;  ///< End time of each running request.
  double prefill_end_millis = 0;  ///< Time when all queued prefills are done.

  /// Makes `prefix` the most recently used one.
  /// @return whether it was cached before.
  bool UsePrefix(std::size_t prefix) {
    const auto found =
        std::find(this->cached.begin(), this->cached.end(), prefix);
    const bool is_cached = found != this->cached.end();
    if (is_cached) this->cached.erase(found);
    this->cached.push_front(prefix);
    if (this->cached.size() > kCachedPrefixes) this->cached.pop_back();
    return is_cached;
  }
};

void SimulateRouting(const std::string& name, entry::IRoutePolicy& policy,
                     std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> weights;
  for (std::size_t i = 0; i < kPrefixes; ++i)
    weights.push_back(1.0 / static_cast<double>(i + 1));
  std::discrete_distribution<std::size_t> prefixes(weights.begin(),
                                                   weights.end());
  std::exponential_distribution<double> arrival_gaps_millis(1.0 / 16);
  std::vector<SimulatedEngine> engines(kEngines);
  std::vector<entry::EndpointView> views(kEngines);
  std::vector<std::int64_t> sent_since_report(kEngines, 0);
  std::vector<std::int64_t> reported_load(kEngines, 0);
  for (std::size_t i = 0; i < kEngines; ++i)
    views[i].node = "engine-" + std::to_string(i);
  std::vector<double> first_token_millis;
  int cache_hits = 0;
  constexpr int kRequests = 40'000;
  double now_millis = 0;
  double next_report_millis = 0;
  for (int request = 0; request < kRequests; ++request) {
    now_millis += arrival_gaps_millis(random);
    if (now_millis >= next_report_millis) {
      next_report_millis = now_millis + kReportIntervalMillis;
      for (std::size_t i = 0; i < kEngines; ++i) {
        auto& end_times_millis = engines[i].end_times_millis;
        end_times_millis.erase(
            std::remove_if(
                end_times_millis.begin(), end_times_millis.end(),
                [now_millis](double end) { return end <= now_millis; }),
            end_times_millis.end());
        reported_load[i] = static_cast<std::int64_t>(end_times_millis.size());
        sent_since_report[i] = 0;
      }
    }
    for (std::size_t i = 0; i < kEngines; ++i)
      views[i].load = reported_load[i] + sent_since_report[i];
    const std::size_t prefix = prefixes(random);
    entry::RouteRequest route_request;
    route_request.affinity = "prefix-" + std::to_string(prefix);
    const std::size_t chosen = policy.Choose(views, route_request);
    ++sent_since_report[chosen];
    SimulatedEngine& engine = engines[chosen];
    const bool is_cached = engine.UsePrefix(prefix);
    cache_hits += is_cached ? 1 : 0;
    const double prefill_millis = is_cached ? 40 : 230;
    engine.prefill_end_millis =
        std::max(engine.prefill_end_millis, now_millis) + prefill_millis;
    first_token_millis.push_back(engine.prefill_end_millis - now_millis);
    engine.end_times_millis.push_back(engine.prefill_end_millis + 2'000);
  }
  fmt::print("{:<22} {:>9.1f} {:>12.0f} {:>12.0f} {:>12.0f}\n", name,
             100.0 * cache_hits / kRequests, Quantile(first_token_millis, 0.5),
             Quantile(first_token_millis, 0.95),
             Quantile(first_token_millis, 0.99));
}

void CompareRouting(std::uint64_t seed) {
  fmt::print("{:<22} {:>9} {:>12} {:>12} {:>12}\n", "route", "cached%",
             "first p50 ms", "first p95 ms", "first p99 ms");
  SimulateRouting("random", *entry::MakeRandomRoute(seed), seed);
  SimulateRouting("least loaded", *entry::MakeLeastLoadedRoute(seed), seed);
  for (const double bound : {1.1, 1.25, 1.5, 2.0, 4.0}) {
    SimulateRouting(fmt::format("affinity, bound {}", bound),
                    *entry::MakeAffinityRoute(bound), seed);
  }
}

// --------------------------------------------------------------------- retries

/// Simulates three phases of 30 s. In the second phase a third of the endpoints
/// is lost and fails its requests. The capacity of all endpoints is about a
/// tenth above the request rate. Prints the number of attempts per request and
/// the percentage of successful requests for each phase.
void SimulateRetries(const std::string& name, bool use_budget,
                     std::uint64_t seed) {
  config::Profile profile;
  profile.name = "chat";
  profile.retry_budget_percent = 10;
  constexpr int kMaxAttempts = 4;
  constexpr int kSeconds = 90;
  constexpr int kRequestsPerSecond = 1'100;
  constexpr int kCapacityPerSecond = 1'200;  // Attempts.
  entry::RetryBudget budget;
  std::mt19937_64 random(seed);
  std::string row;
  double phase_attempts[3] = {0, 0, 0};
  int phase_successes[3] = {0, 0, 0};
  // Attempts above capacity in the previous second, which make more attempts
  // fail in this one.
  int excess_attempts = 0;
  for (int second = 0; second < kSeconds; ++second) {
    const int phase = second / 30;
    int attempts = 0;
    const double overload_failure_ratio =
        excess_attempts > 0
            ? std::min(0.9, excess_attempts /
                                static_cast<double>(kCapacityPerSecond))
            : 0;
    std::bernoulli_distribution attempt_fails(std::min(
        0.95, (phase == 1 ? 1.0 / 3 : 0.001) + overload_failure_ratio));
    for (int request = 0; request < kRequestsPerSecond; ++request) {
      const std::string organisation = "org" + std::to_string(request % 50);
      budget.OnFirstAttempt(profile, organisation);
      for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
        ++attempts;
        if (!attempt_fails(random)) {
          ++phase_successes[phase];
          break;
        }
        if (attempt == kMaxAttempts) break;
        if (use_budget && !budget.TakeRetry(profile, organisation)) break;
      }
    }
    const int capacity =
        phase == 1 ? kCapacityPerSecond * 2 / 3 : kCapacityPerSecond;
    excess_attempts = attempts - capacity;
    phase_attempts[phase] += attempts;
  }
  constexpr double kPhaseRequests = 30.0 * kRequestsPerSecond;
  fmt::print(
      "{:<18} {:>8.3f} {:>8.3f} {:>8.3f} {:>10.1f} {:>10.1f} {:>10.1f}\n", name,
      phase_attempts[0] / kPhaseRequests, phase_attempts[1] / kPhaseRequests,
      phase_attempts[2] / kPhaseRequests,
      100 * phase_successes[0] / kPhaseRequests,
      100 * phase_successes[1] / kPhaseRequests,
      100 * phase_successes[2] / kPhaseRequests);
}

void CompareRetries(std::uint64_t seed) {
  fmt::print("{:<18} {:^26} {:^32}\n", "", "attempts per request",
             "answered %");
  fmt::print("{:<18} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}\n", "way", "before",
             "during", "after", "before", "during", "after");
  SimulateRetries("naive, 4 attempts", false, seed);
  SimulateRetries("budget of 10%", true, seed);
}

// ---------------------------------------------------------------------- poison

enum class PoisonProtection { kNone, kByRequestId, kByWork };

/// Simulates requests that crash every endpoint on which they run. Callers send
/// each one `kSubmissions` times under different ids. Unless it runs
/// alone, `kConcurrentRequests` other requests run on the endpoint at the same
/// time.
/// @param endpoints number of endpoints, which is only printed.
void SimulatePoison(const std::string& name, PoisonProtection protection,
                    std::size_t endpoints, std::uint64_t seed) {
  constexpr int kPoisonRequests = 20;
  constexpr int kSubmissions = 10;
  constexpr int kMaxAttempts = 3;
  constexpr int kConcurrentRequests = 15;
  constexpr std::int64_t kCrashLimit = 2;
  std::mt19937_64 random(seed);
  evidence::CrashEvidence evidence{kernel::Millis(600'000)};
  const kernel::TimePoint now;
  std::map<std::string, int> crashes_of_id;
  int crashed_endpoints = 0;
  std::set<std::string> falsely_quarantined;
  int last_crash_number = 0;
  for (int poison = 0; poison < kPoisonRequests; ++poison) {
    const std::string work = "poison" + std::to_string(poison);
    for (int submission = 0; submission < kSubmissions; ++submission) {
      const std::string id = work + "/" + std::to_string(submission);
      for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
        if (protection == PoisonProtection::kByRequestId &&
            crashes_of_id[id] >= kCrashLimit)
          break;
        const auto work_status = evidence.CrashStatusOf(work, now);
        if (protection == PoisonProtection::kByWork &&
            work_status == evidence::CrashStatus::kQuarantined)
          break;
        const bool runs_alone = protection == PoisonProtection::kByWork &&
                                work_status == evidence::CrashStatus::kSuspect;
        ++crashed_endpoints;
        ++crashes_of_id[id];
        if (protection != PoisonProtection::kByWork) continue;
        const std::string crash_id = std::to_string(++last_crash_number);
        evidence.RecordCrash(work, crash_id, runs_alone, kCrashLimit, now);
        for (int i = 0; !runs_alone && i < kConcurrentRequests; ++i) {
          // Frequent work is running during many crashes. It then completes
          // while it runs alone, which clears it.
          const std::string concurrent_work =
              "popular" + std::to_string(random() % 40);
          evidence.RecordCrash(concurrent_work, crash_id, false, kCrashLimit,
                               now);
          if (evidence.CrashStatusOf(concurrent_work, now) ==
              evidence::CrashStatus::kQuarantined) {
            falsely_quarantined.insert(concurrent_work);
          }
          evidence.RecordClearance(concurrent_work, now);
        }
      }
    }
  }
  fmt::print("{:<22} {:>9} {:>15.1f} {:>18}\n", name, endpoints,
             static_cast<double>(crashed_endpoints) / kPoisonRequests,
             falsely_quarantined.size());
}

void ComparePoison(std::uint64_t seed) {
  fmt::print("{:<22} {:>9} {:>15} {:>18}\n", "way", "endpoints",
             "lost per poison", "false quarantines");
  for (const std::size_t endpoints : {16, 600}) {
    SimulatePoison("no protection", PoisonProtection::kNone, endpoints, seed);
    SimulatePoison("counted by id", PoisonProtection::kByRequestId, endpoints,
                   seed);
    SimulatePoison("evidence by work", PoisonProtection::kByWork, endpoints,
                   seed);
  }
}

// ------------------------------------------------------------------- isolation

/// Prints the percentage of the entries that one organisation can flood through
/// its addresses, and the percentage of the other organisations whose addresses
/// all belong to flooded entries.
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
    for (const std::size_t max_addresses :
         {std::size_t{3}, static_cast<std::size_t>(entries)}) {
      const entry::AddressSelector selector("none", "none", max_addresses,
                                            kernel::Millis(30'000));
      const auto flooded_addresses =
          selector.Select(list, "flooder", false).addresses;
      int organisations_without_entry = 0;
      for (int i = 0; i < organisations; ++i) {
        const auto own_addresses =
            selector.Select(list, "organisation-" + std::to_string(i), false)
                .addresses;
        const bool all_are_flooded =
            std::all_of(own_addresses.begin(), own_addresses.end(),
                        [&](const std::string& address) {
                          return std::find(flooded_addresses.begin(),
                                           flooded_addresses.end(),
                                           address) != flooded_addresses.end();
                        });
        organisations_without_entry += all_are_flooded ? 1 : 0;
      }
      fmt::print(
          "{:>8} {:>14} {:>7} {:>22.1f} {:>24.2f}\n", entries, organisations,
          max_addresses,
          100.0 * static_cast<double>(flooded_addresses.size()) / entries,
          100.0 * organisations_without_entry / organisations);
    }
  }
}

const Registration kReservations(
    {"reservations", "served and refused requests by charge policy",
     CompareReservations});
const Registration kRouting({"routing", "time to first token by routing policy",
                             CompareRouting});
const Registration kRetries(
    {"retries", "attempts per request while a failure domain is lost",
     CompareRetries});
const Registration kPoison({"poison", "endpoints crashed by poison requests",
                            ComparePoison});
const Registration kIsolation({"isolation",
                               "entries that a flooding organisation reaches",
                               CompareIsolation});

}  // namespace
}  // namespace banyanlane::bench
