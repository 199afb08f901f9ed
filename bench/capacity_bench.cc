#include <fmt/format.h>
#include <malloc.h>
#include <poll.h>

#include "agent/internal/charge_policy.h"
#include "agent/internal/execution_ledger.h"
#include "bench.h"
#include "config/i_config.h"
#include "entry/internal/organisation_limits.h"
#include "entry/internal/retry_budget.h"
#include "evidence/crash_evidence.h"
#include "proc_stat.h"
#include "processes/fleet.h"

namespace banyanlane::bench {
namespace {

using processes::Fleet;

constexpr char kProfile[] = "[profile:chat]\nclass = chat\nservice = model\n";
constexpr int kIdleMillis = 6'000;

/// A configuration of about `kilobytes`.
std::string ConfigOf(int kilobytes, int variant) {
  std::string text;
  for (int i = 0; static_cast<int>(text.size()) < kilobytes * 1'024; ++i) {
    text += fmt::format("[profile:chat-{}-{}]\nclass = chat\nservice = model\n",
                        variant, i);
  }
  return text + kProfile;
}

/// How many links an entry has, and how often each says something.
struct LinkScope {
  int links = 0;
  int heartbeat_millis = 0;
};

void MeasureLinks(std::uint64_t /*seed*/) {
  fmt::print("{:>6} {:>12} {:>12} {:>9} {:>11} {:>10} {:>16} {:>18}\n", "links",
             "heartbeat ms", "entry core%", "entry MB", "agent core%",
             "agent MB", "bytes/s a link", "spread of 64 KB s");
  const LinkScope scopes[] = {
      {10, 1'000}, {40, 1'000}, {120, 1'000}, {120, 3'000}};
  for (const LinkScope& scope : scopes) {
    const int count = scope.links;
    const int heartbeat = scope.heartbeat_millis;
    Fleet fleet;
    fleet.heartbeat_millis = heartbeat;
    fleet.StartPlatform(kProfile);
    for (int i = 0; i < count; ++i) {
      fleet.AddEndpoint("m" + std::to_string(i), "none", "model");
    }
    fleet.AddEntry("e1", "links_per_service=200\n");
    fleet.PublishInstances();
    fleet.AwaitEndpoints("e1", count);
    const double bytes = LoopbackBytes();
    const double entry = CpuSeconds(fleet.Pid("e1"));
    const double agent = CpuSeconds(fleet.Pid("m0"));
    poll(nullptr, 0, kIdleMillis);
    constexpr double kSeconds = kIdleMillis / 1'000.0;
    const double entry_share =
        (CpuSeconds(fleet.Pid("e1")) - entry) / kSeconds * 100;
    const double agent_share =
        (CpuSeconds(fleet.Pid("m0")) - agent) / kSeconds * 100;
    const double link_bytes = (LoopbackBytes() - bytes) / kSeconds / count;
    const auto published = kernel::Clock::now();
    fleet.Publish(ConfigOf(64, count));
    Fleet::Await([&] {
      for (int i = 0; i < count; ++i) {
        const std::string page =
            fleet.AdminPage("m" + std::to_string(i), "/status");
        if (page.find("revision=2\n") == std::string::npos) return false;
      }
      return true;
    });
    const std::chrono::duration<double> spread =
        kernel::Clock::now() - published;
    fmt::print(
        "{:>6} {:>12} {:>12.2f} {:>9.1f} {:>11.2f} {:>10.1f} {:>16.0f} "
        "{:>18.2f}\n",
        count, heartbeat, entry_share,
        MemoryMegabytes(fleet.Pid("e1"), "VmRSS:"), agent_share,
        MemoryMegabytes(fleet.Pid("m0"), "VmRSS:"), link_bytes, spread.count());
  }
}

double HeapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1'048'576;
}

/// Prints the bytes that each item costs at three sizes.
void PrintSlope(const std::string& state, const std::function<void(int)>& add) {
  int have = 0;
  const double before = HeapMegabytes();
  std::string cells;
  for (const int size : {1'000, 10'000, 100'000}) {
    for (; have < size; ++have) add(have);
    cells +=
        fmt::format("{:>12.0f}", (HeapMegabytes() - before) * 1'048'576 / size);
  }
  fmt::print("{:<38}{}\n", state, cells);
}

void MeasureState(std::uint64_t /*seed*/) {
  fmt::print("{:<38}{:>12}{:>12}{:>12}\n", "bytes for each of", "1000", "10000",
             "100000");
  const kernel::TimePoint now;
  config::Profile profile;
  profile.name = "chat";
  profile.organisation_concurrency = 10;
  agent::ExecutionLedger ledger("a", 1, 1'000'000, 1'000);
  PrintSlope("idempotency key, 200-byte answer", [&](int i) {
    const std::string nonce = fmt::format("{:032}", i);
    ledger.TryClaim({"a", 1, 0, nonce},
                    {"close", "organisation", std::string(32, 'f')}, nonce,
                    1'000'000, 1);
    ledger.Complete(nonce, {200,
                            {{"content-type", "application/json"}},
                            std::string(200, 'x'),
                            true});
  });
  evidence::CrashEvidence evidence{kernel::Millis(600'000)};
  PrintSlope("suspected work", [&](int i) {
    evidence.RecordCrash(fmt::format("{:032}", i), "agent/1/1", false, 2, now);
  });
  entry::RetryBudget budget;
  PrintSlope("retry budget of organisation x profile", [&](int i) {
    budget.OnFirstAttempt(profile, fmt::format("organisation-{}", i));
  });
  entry::OrganisationLimits limits;
  PrintSlope("organisation with work in flight", [&](int i) {
    limits.Acquire(profile, fmt::format("organisation-{}", i), 1);
  });
  const auto policy = agent::MakeQuantileCharge(0.9);
  PrintSlope("usage window (4,096 kept at most)", [&](int i) {
    for (int j = 0; j < 48; ++j)
      policy->Observe("chat", fmt::format("organisation-{}", i), 100);
  });
}

const Registration kLinks({"links",
                           "idle cost and configuration spread by links",
                           MeasureLinks});
const Registration kState({"state", "memory by state held", MeasureState});

}  // namespace
}  // namespace banyanlane::bench
