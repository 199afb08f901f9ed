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
/// Time over which the idle cost is measured.
constexpr int kIdleMillis = 6'000;

/// Returns a configuration of about `kilobytes` KiB.
/// @param variant number in the profile names, except that of "chat".
std::string MakeConfig(int kilobytes, int variant) {
  std::string text;
  for (int i = 0; static_cast<int>(text.size()) < kilobytes * 1'024; ++i) {
    text += fmt::format("[profile:chat-{}-{}]\nclass = chat\nservice = model\n",
                        variant, i);
  }
  return text + kProfile;
}

struct LinkScenario {
  int links = 0;             ///< Number of links of the entry.
  int heartbeat_millis = 0;  ///< Interval between heartbeats on each link.
};

void MeasureLinks(std::uint64_t /*seed*/) {
  fmt::print("{:>6} {:>12} {:>12} {:>9} {:>11} {:>10} {:>16} {:>18}\n", "links",
             "heartbeat ms", "entry core%", "entry MB", "agent core%",
             "agent MB", "bytes/s a link", "spread of 64 KB s");
  const LinkScenario scenarios[] = {
      {10, 1'000}, {40, 1'000}, {120, 1'000}, {120, 3'000}};
  for (const LinkScenario& scenario : scenarios) {
    const int count = scenario.links;
    const int heartbeat = scenario.heartbeat_millis;
    Fleet fleet;
    fleet.heartbeat_millis = heartbeat;
    fleet.StartPlatform(kProfile);
    for (int i = 0; i < count; ++i) {
      fleet.AddEndpoint("m" + std::to_string(i), "none", "model");
    }
    fleet.AddEntry("e1", "links_per_service=200\n");
    fleet.PublishInstances();
    fleet.AwaitEndpoints("e1", count);
    const double loopback_bytes_before = LoopbackBytes();
    const double entry_seconds_before = CpuSeconds(fleet.Pid("e1"));
    const double agent_seconds_before = CpuSeconds(fleet.Pid("m0"));
    poll(nullptr, 0, kIdleMillis);
    constexpr double kSeconds = kIdleMillis / 1'000.0;
    const double entry_core_percent =
        (CpuSeconds(fleet.Pid("e1")) - entry_seconds_before) / kSeconds * 100;
    const double agent_core_percent =
        (CpuSeconds(fleet.Pid("m0")) - agent_seconds_before) / kSeconds * 100;
    const double link_bytes_per_second =
        (LoopbackBytes() - loopback_bytes_before) / kSeconds / count;
    const auto publish_time = kernel::Clock::now();
    fleet.Publish(MakeConfig(64, count));
    Fleet::Await([&] {
      for (int i = 0; i < count; ++i) {
        const std::string status_page =
            fleet.AdminPage("m" + std::to_string(i), "/status");
        if (status_page.find("revision=2\n") == std::string::npos) return false;
      }
      return true;
    });
    const std::chrono::duration<double> propagation_time =
        kernel::Clock::now() - publish_time;
    fmt::print(
        "{:>6} {:>12} {:>12.2f} {:>9.1f} {:>11.2f} {:>10.1f} {:>16.0f} "
        "{:>18.2f}\n",
        count, heartbeat, entry_core_percent,
        MemoryMegabytes(fleet.Pid("e1"), "VmRSS:"), agent_core_percent,
        MemoryMegabytes(fleet.Pid("m0"), "VmRSS:"), link_bytes_per_second,
        propagation_time.count());
  }
}

double HeapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1'048'576;
}

/// Prints the average heap bytes per item at 1,000, 10,000 and 100,000 items.
/// @param add_item adds one item; receives the number of items before it.
void PrintBytesPerItem(const std::string& label,
                       const std::function<void(int)>& add_item) {
  int count = 0;
  const double megabytes_before = HeapMegabytes();
  std::string cells;
  for (const int size : {1'000, 10'000, 100'000}) {
    for (; count < size; ++count) add_item(count);
    cells += fmt::format(
        "{:>12.0f}", (HeapMegabytes() - megabytes_before) * 1'048'576 / size);
  }
  fmt::print("{:<38}{}\n", label, cells);
}

void MeasureStateMemory(std::uint64_t /*seed*/) {
  fmt::print("{:<38}{:>12}{:>12}{:>12}\n", "bytes for each of", "1000", "10000",
             "100000");
  const kernel::TimePoint now;
  config::Profile profile;
  profile.name = "chat";
  profile.organisation_concurrency = 10;
  agent::ExecutionLedger ledger("a", 1, 1'000'000, 1'000);
  PrintBytesPerItem("idempotency key, 200-byte answer", [&](int i) {
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
  PrintBytesPerItem("suspected work", [&](int i) {
    evidence.RecordCrash(fmt::format("{:032}", i), "agent/1/1", false, 2, now);
  });
  entry::RetryBudget budget;
  PrintBytesPerItem("retry budget of organisation x profile", [&](int i) {
    budget.OnFirstAttempt(profile, fmt::format("organisation-{}", i));
  });
  entry::OrganisationLimits limits;
  PrintBytesPerItem("organisation with work in flight", [&](int i) {
    limits.Acquire(profile, fmt::format("organisation-{}", i), 1);
  });
  const auto policy = agent::MakeQuantileCharge(0.9);
  PrintBytesPerItem("usage window (4,096 kept at most)", [&](int i) {
    // A usage window holds at most 48 samples.
    for (int j = 0; j < 48; ++j)
      policy->Observe("chat", fmt::format("organisation-{}", i), 100);
  });
}

const Registration kLinks(
    {"links", "idle cost and configuration propagation by number of links",
     MeasureLinks});
const Registration kState({"state", "memory per item of state",
                           MeasureStateMemory});

}  // namespace
}  // namespace banyanlane::bench
