#include "experts/internal/counts_sampler.h"

#include <criterion/criterion.h>

#include "experts/internal/counts_codec.h"
#include "link/codec.h"

namespace banyanlane::experts {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr double kBytesPerSecond = 100'000;
constexpr std::size_t kCounters = 1'728;

/// Reads the counts of an engine when they are due, each 20 ms.
class EngineReader {
 public:
  explicit EngineReader(std::uint64_t group_size) : group_size(group_size) {}

  void Run(Millis length) {
    const TimePoint end = this->now + length;
    for (; this->now < end; this->now += Millis(20)) {
      for (std::uint64_t& count : this->counts.counts) count += 3;
      if (!this->sampler.IsDue(this->now)) continue;
      const auto selections =
          this->sampler.OnCounts(this->counts, this->group_size, this->now);
      if (!selections) continue;
      ++this->reports;
      this->bytes += link::EncodedSize(PackCounts(*selections));
      this->last = *selections;
    }
  }

  CountsSampler sampler{kBytesPerSecond, 7};
  std::uint64_t group_size;
  RankCounts counts{1, std::vector<std::uint64_t>(kCounters)};
  TimePoint now = kStart;
  int reports = 0;
  std::size_t bytes = 0;
  std::vector<std::uint64_t> last;
};

}  // namespace

Test(counts_sampler, reports_each_sample_of_a_small_group) {
  EngineReader reader(2);
  reader.Run(Millis(6'000));
  cr_expect_geq(reader.reports, 48, "%d", reader.reports);
}

Test(counts_sampler, bounds_the_bytes_of_all_ranks_together) {
  constexpr std::uint64_t kRanks = 72;
  EngineReader reader(kRanks);
  reader.Run(Millis(60'000));
  const auto all_bytes = static_cast<double>(reader.bytes * kRanks);
  cr_expect_leq(all_bytes / 60, kBytesPerSecond * 1.1, "%f", all_bytes / 60);
  cr_expect_geq(all_bytes / 60, kBytesPerSecond * 0.7, "%f", all_bytes / 60);
}

Test(counts_sampler, reports_no_selections_from_before_a_restart) {
  EngineReader reader(2);
  reader.Run(Millis(1'000));
  reader.counts.counts.assign(kCounters, 0);
  reader.Run(Millis(140));
  for (const std::uint64_t selections : reader.last)
    cr_assert_leq(selections, 21, "%lu", selections);
  const int reports = reader.reports;
  reader.Run(Millis(1'000));
  cr_expect_gt(reader.reports, reports);
}

Test(counts_sampler, discards_a_sample_that_a_pause_made_long) {
  EngineReader reader(2);
  reader.Run(Millis(1'000));
  const int reports = reader.reports;
  reader.now += Millis(3'000);
  for (std::uint64_t& count : reader.counts.counts) count += 1'000;
  reader.Run(Millis(20));
  cr_expect_eq(reader.reports, reports);
}

}  // namespace banyanlane::experts
