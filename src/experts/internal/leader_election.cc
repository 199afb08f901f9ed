#include "experts/internal/leader_election.h"

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// The agent of rank 0 leads when no other lead has been heard of for this
/// long: two statements of a lead. Each further rank waits longer by the second
/// figure.
constexpr kernel::Millis kLeadAfter{800};
constexpr kernel::Millis kLeadStagger{200};
/// Ranks beyond this one wait no longer than it does.
constexpr std::uint64_t kLastStaggeredRank = 8;

}  // namespace

bool LeadClaim::Decide(std::uint64_t rank, bool is_changing,
                       kernel::TimePoint now) {
  if (this->leads && is_changing) return true;
  const auto waits =
      static_cast<std::int64_t>(std::min(rank, kLastStaggeredRank));
  this->leads = now - this->lower_heard_at > kLeadAfter + kLeadStagger * waits;
  return this->leads;
}

}  // namespace banyanlane::experts
