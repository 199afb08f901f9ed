#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "experts/i_rank_engine.h"
#include "kernel/time.h"

namespace banyanlane::experts {

/// Decides when a rank's expert counts are read and reported. Does no I/O; not
/// thread-safe.
///
/// A report has the selections of one short sample, so that it describes the
/// present demand. Time between samples grows with the size of the group, so
/// that the leader receives the same number of bytes however many ranks report.
class CountsSampler {
 public:
  /// @param bytes_per_second bytes that the leader receives from all ranks.
  CountsSampler(double bytes_per_second, std::uint64_t seed);

  /// Returns whether the counts must be read now.
  bool IsDue(kernel::TimePoint now) const { return now >= this->next_read_at; }

  /// Processes counts that were read.
  /// @param group_size number of ranks in the group.
  /// @return the selections of the sample that these counts end, by layer and
  /// expert, or nothing when they begin one or nothing was selected.
  std::optional<std::vector<std::uint64_t>> OnCounts(const RankCounts& counts,
                                                     std::uint64_t group_size,
                                                     kernel::TimePoint now);

  /// Waits for the length of a sample after counts could not be read.
  void OnReadFailed(kernel::TimePoint now);

 private:
  void BeginSample(const RankCounts& counts, kernel::TimePoint now);
  /// Returns the time from one report to the next.
  kernel::Millis ReportPeriod(const std::vector<std::uint64_t>& selections,
                              std::uint64_t group_size);

  double bytes_per_second;
  std::minstd_rand random;
  kernel::TimePoint next_read_at;
  bool has_reported = false;
  std::optional<RankCounts> sample_begin;
  kernel::TimePoint sample_begun_at;
};

}  // namespace banyanlane::experts
