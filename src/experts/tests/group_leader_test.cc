#include "experts/internal/group_leader.h"

#include <criterion/criterion.h>

#include "experts/internal/map_codec.h"

namespace banyanlane::experts {
namespace {

constexpr std::uint64_t kRanks = 4;

link::RankStatus StatusOf(std::uint64_t rank, std::uint64_t fencing_token) {
  link::RankStatus status;
  status.group = "g";
  status.epoch = 1;
  status.rank = rank;
  status.size = kRanks;
  status.open = true;
  status.step = 10;
  status.slowdown_percent = 100;
  status.fencing_token = fencing_token;
  status.highest_fencing_token = fencing_token;
  status.experts = FlattenExperts({{rank, rank + kRanks}});
  // Another leader has armed this rank.
  status.prepared_version = 7;
  status.armed_version = fencing_token != 0 ? 7 : 0;
  status.armed_step = fencing_token != 0 ? 20 : 0;
  return status;
}

}  // namespace

// Two agents can lead for a while after all processes have started together. If
// both begin attempts, each makes those of the other fail, and the group keeps
// an old map or is held.
Test(group_leader, begins_nothing_while_ranks_follow_another_leader) {
  GroupLeader leader(GroupLeaderLimits{}, "second", 1);
  kernel::TimePoint now = kernel::TimePoint{} + std::chrono::hours(1);
  for (int tick = 0; tick < 100; ++tick) {
    now += kernel::Millis(20);
    for (std::uint64_t rank = 0; rank < kRanks; ++rank)
      leader.OnStatus(StatusOf(rank, 12), now);
    cr_assert(leader.OnTick(0, now).empty());
    cr_assert_not(leader.IsAttemptActive());
  }
  // The lease of the other leader has expired. Its switch is finished.
  now += kernel::Millis(20);
  for (std::uint64_t rank = 0; rank < kRanks; ++rank) {
    link::RankStatus status = StatusOf(rank, 12);
    status.fencing_token = 0;
    leader.OnStatus(status, now);
  }
  leader.OnTick(0, now);
  cr_assert(leader.IsAttemptActive());
}

}  // namespace banyanlane::experts
