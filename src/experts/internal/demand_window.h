#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "experts/experts_types.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Recent demand for each expert, from the counts of all ranks. I/O-free; not
/// thread-safe.
class DemandWindow {
 public:
  /// @param half_life after which what was counted weighs half.
  explicit DemandWindow(kernel::Millis half_life) : half_life(half_life) {}

  /// Takes counts that have grown since the rank started.
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// Returns the demand by layer, or nothing before anything was chosen.
  /// @param layers that the counts are divided into.
  std::optional<GroupLoad> Load(std::size_t layers) const;

  /// Returns the choices counted since Forget, in all.
  double Total() const { return this->total; }

  /// Begins anew, for a group that has formed anew.
  void Forget();

 private:
  void Fade(kernel::TimePoint now);

  kernel::Millis half_life;
  std::map<std::uint64_t, std::vector<std::uint64_t>> last;  ///< By rank.
  std::vector<double> weights;  ///< By layer and expert.
  kernel::TimePoint faded_at;
  double total = 0;
};

}  // namespace banyanlane::experts
