#include "experts/internal/counts_sampler.h"

#include <algorithm>

#include "experts/internal/counts_codec.h"
#include "link/codec.h"

namespace banyanlane::experts {
namespace {

/// Length of a sample. Ranks of small groups report each of them.
constexpr kernel::Millis kSampleLength{120};
/// A sample that became longer than this is discarded, since most of it is not
/// recent.
constexpr kernel::Millis kMaxSampleLength{500};
/// Periods vary by up to this fraction, so that the reports of ranks that
/// started together spread out.
constexpr double kJitter = 0.25;
constexpr double kMillisPerSecond = 1'000;

}  // namespace

CountsSampler::CountsSampler(double bytes_per_second, std::uint64_t seed)
    : bytes_per_second(bytes_per_second),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

void CountsSampler::BeginSample(const RankCounts& counts,
                                kernel::TimePoint now) {
  this->sample_begin = counts;
  this->sample_begun_at = now;
  this->next_read_at = now + kSampleLength;
}

std::optional<std::vector<std::uint64_t>> CountsSampler::OnCounts(
    const RankCounts& counts, std::uint64_t group_size, kernel::TimePoint now) {
  const bool is_comparable =
      this->sample_begin && this->sample_begin->epoch == counts.epoch &&
      this->sample_begin->counts.size() == counts.counts.size() &&
      now - this->sample_begun_at <= kMaxSampleLength;
  if (!is_comparable) {
    this->BeginSample(counts, now);
    return std::nullopt;
  }
  const std::vector<std::uint64_t>& before = this->sample_begin->counts;
  std::vector<std::uint64_t> selections(counts.counts.size(), 0);
  bool has_any = false;
  for (std::size_t i = 0; i < selections.size(); ++i) {
    // The counts of an engine that has restarted begin at 0.
    if (counts.counts[i] > before[i])
      selections[i] = counts.counts[i] - before[i];
    has_any = has_any || selections[i] > 0;
  }
  this->BeginSample(counts, now);
  if (!has_any) return std::nullopt;
  const kernel::Millis period = this->ReportPeriod(selections, group_size);
  if (period > kSampleLength) {
    this->sample_begin.reset();
    this->next_read_at = now + period - kSampleLength;
  }
  return selections;
}

kernel::Millis CountsSampler::ReportPeriod(
    const std::vector<std::uint64_t>& selections, std::uint64_t group_size) {
  const auto report_bytes =
      static_cast<double>(link::EncodedSize(PackCounts(selections)));
  const double millis = static_cast<double>(group_size) * report_bytes /
                        this->bytes_per_second * kMillisPerSecond;
  if (millis <= static_cast<double>(kSampleLength.count()))
    return kSampleLength;
  // The first period is a random part of one, so that the reports of ranks that
  // started together do not arrive together.
  const double low = this->has_reported ? 1 - kJitter : 0;
  const double high = this->has_reported ? 1 + kJitter : 1;
  this->has_reported = true;
  const double factor =
      std::uniform_real_distribution<double>(low, high)(this->random);
  return std::max(kSampleLength,
                  kernel::Millis(static_cast<std::int64_t>(millis * factor)));
}

void CountsSampler::OnReadFailed(kernel::TimePoint now) {
  this->sample_begin.reset();
  this->next_read_at = now + kSampleLength;
}

}  // namespace banyanlane::experts
