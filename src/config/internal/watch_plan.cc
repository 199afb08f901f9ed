#include "config/internal/watch_plan.h"

#include <algorithm>
#include <vector>

#include "kernel/hash.h"

namespace banyanlane::config {
namespace {

constexpr std::size_t kWatchersPerFailureDomain = 2;
/// Pause between reads, multiplied by the number of entries. All entries that
/// do not watch then make about one read per kPausePerEntry together.
constexpr kernel::Millis kPausePerEntry{1'000};

}  // namespace

WatchPlan PlanWatch(const membership::InstanceListPtr& list,
                    const std::string& node) {
  if (!list) return WatchPlan{true, kernel::Millis{0}};
  const auto entries = list->OfRole(membership::InstanceRole::kEntry);
  const auto own_entry =
      std::find_if(entries.begin(), entries.end(),
                   [&node](const auto& entry) { return entry.id == node; });
  if (own_entry == entries.end()) return WatchPlan{true, kernel::Millis{0}};
  const auto own_weight = kernel::RendezvousWeight("platform-watch", node);
  const auto higher_weight_count =
      std::count_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.failure_domain == own_entry->failure_domain &&
               kernel::RendezvousWeight("platform-watch", entry.id) >
                   own_weight;
      });
  const bool watches =
      static_cast<std::size_t>(higher_weight_count) < kWatchersPerFailureDomain;
  return WatchPlan{watches,
                   kPausePerEntry * static_cast<std::int64_t>(entries.size())};
}

}  // namespace banyanlane::config
