#include "experts/internal/leader_election.h"

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// The agent of a rank leads when no lower rank's status has arrived for
/// kElectionDelay plus a delay for each lower rank. A leader sends at least two
/// statuses within kElectionDelay.
constexpr kernel::Millis kElectionDelay{800};
constexpr kernel::Millis kDelayPerLowRank{200};
/// For ranks above this one, the delay per rank is shorter. It is not 0, since
/// each leader opens links to all ranks.
constexpr std::uint64_t kLastLowRank = 8;
constexpr kernel::Millis kDelayPerHighRank{25};

}  // namespace

bool LeaderElection::Decide(std::uint64_t rank, bool is_changing,
                            kernel::TimePoint now) {
  if (this->is_leader && is_changing) return true;
  const std::uint64_t low_ranks = std::min(rank, kLastLowRank);
  const kernel::Millis delay =
      kElectionDelay + kDelayPerLowRank * static_cast<std::int64_t>(low_ranks) +
      kDelayPerHighRank * static_cast<std::int64_t>(rank - low_ranks);
  this->is_leader = now - this->lower_rank_seen_at > delay;
  return this->is_leader;
}

}  // namespace banyanlane::experts
