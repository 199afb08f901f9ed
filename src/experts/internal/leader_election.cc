#include "experts/internal/leader_election.h"

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// The agent of rank 0 leads when no other lead has been heard of for this
/// long: two statements of a lead. Each further rank waits longer by the second
/// figure.
constexpr kernel::Millis kElectionDelay{800};
constexpr kernel::Millis kDelayPerRank{200};
/// Ranks beyond this one wait no longer than it does.
constexpr std::uint64_t kLastDelayedRank = 8;

}  // namespace

bool LeaderElection::Decide(std::uint64_t rank, bool is_changing,
                            kernel::TimePoint now) {
  if (this->is_leader && is_changing) return true;
  const auto delayed_ranks =
      static_cast<std::int64_t>(std::min(rank, kLastDelayedRank));
  this->is_leader = now - this->lower_rank_seen_at >
                    kElectionDelay + kDelayPerRank * delayed_ranks;
  return this->is_leader;
}

}  // namespace banyanlane::experts
