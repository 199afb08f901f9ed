#include "experts/internal/leader_election.h"

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// The agent of a rank leads when no lower rank's status has arrived for
/// kElectionDelay plus kDelayPerRank for each lower rank. A leader sends at
/// least two statuses within kElectionDelay.
constexpr kernel::Millis kElectionDelay{800};
constexpr kernel::Millis kDelayPerRank{200};
/// Higher ranks wait no longer than this one.
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
