#include "experts/internal/rank_switch.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyanlane::experts {

bool RankSwitch::Concerns(std::uint64_t fence) const {
  return this->pending && this->pending->fence == fence;
}

std::optional<std::uint64_t> RankSwitch::BeginStep(std::uint64_t step) {
  const bool due = this->pending && step >= this->pending->step;
  if (due && this->decision != Decision::kCommitted) {
    this->waiting = true;
    return std::nullopt;
  }
  if (due) {
    this->active_map = this->pending->map;
    this->last_committed = this->pending;
    this->Drop();
  }
  this->last_step = step;
  return this->active_map;
}

SwitchSends RankSwitch::On(const ArmSwitch& arm) {
  const MapSwitch& proposal = arm.proposal;
  const bool again =
      this->Concerns(proposal.fence) && this->decision == Decision::kArmed;
  const bool can_arm = !this->pending && proposal.fence > this->highest_fence &&
                       proposal.step > this->last_step;
  this->highest_fence = std::max(this->highest_fence, proposal.fence);
  if (can_arm) {
    this->pending = proposal;
    this->decision = Decision::kArmed;
  }
  return {{kCoordinator,
           ArmReply{proposal.fence, again || can_arm, this->highest_fence}}};
}

SwitchSends RankSwitch::On(const CommitSwitch& commit) {
  const bool open =
      this->Concerns(commit.fence) && this->decision == Decision::kArmed;
  if (open) {
    this->decision = Decision::kCommitted;
    this->waiting = false;
  }
  return {};
}

SwitchSends RankSwitch::On(const AbortSwitch& abort) {
  this->highest_fence = std::max(this->highest_fence, abort.fence);
  if (this->Concerns(abort.fence) && this->decision != Decision::kCommitted)
    this->Drop();
  return {};
}

SwitchSends RankSwitch::On(const QuerySwitch& query, std::size_t from) {
  // From here on an arm of this fence that is still on its way is refused.
  this->highest_fence = std::max(this->highest_fence, query.fence);
  const bool used =
      this->last_committed && this->last_committed->fence == query.fence;
  if (used) return {{from, SettleSwitch{*this->last_committed, true}}};
  if (!this->Concerns(query.fence))
    return {{from, QueryReply{query.fence, false}}};
  if (this->decision == Decision::kCommitted) {
    return {{from, SettleSwitch{*this->pending, true}}};
  }
  this->decision = Decision::kVetoed;
  return {{from, QueryReply{query.fence, false}}};
}

SwitchSends RankSwitch::On(const QueryReply& reply, std::size_t from) {
  const bool asked =
      this->Concerns(reply.fence) && this->decision == Decision::kVetoed;
  if (!asked || reply.committed) return {};
  this->without_commit.insert(from);
  if (this->without_commit.size() + 1 < this->ranks) return {};
  SwitchSends sends = this->TellAll(SettleSwitch{*this->pending, false});
  this->Drop();
  return sends;
}

SwitchSends RankSwitch::On(const SettleSwitch& settle) {
  if (!this->Concerns(settle.proposal.fence)) return {};
  if (this->decision == Decision::kCommitted) return {};
  if (!settle.committed) {
    this->Drop();
    return {};
  }
  this->decision = Decision::kCommitted;
  this->waiting = false;
  return {};
}

SwitchSends RankSwitch::OnWaiting() {
  if (!this->waiting || !this->pending) return {};
  this->decision = Decision::kVetoed;
  if (this->ranks == 1) {
    this->Drop();
    return {};
  }
  return this->TellAll(QuerySwitch{this->pending->fence});
}

std::string RankSwitch::Fingerprint() const {
  const auto text = [](const std::optional<MapSwitch>& proposal) {
    if (!proposal) return std::string("-");
    return fmt::format("{}/{}/{}", proposal->fence, proposal->map,
                       proposal->step);
  };
  return fmt::format("{} {} {} {} {} {} {} {}", this->active_map,
                     this->last_step, this->highest_fence,
                     text(this->last_committed), text(this->pending),
                     static_cast<int>(this->decision), this->waiting,
                     fmt::join(this->without_commit, ","));
}

SwitchSends RankSwitch::TellAll(const SwitchMessage& message) const {
  SwitchSends sends;
  for (std::size_t other = 0; other < this->ranks; ++other) {
    if (other != this->rank) sends.push_back({other, message});
  }
  return sends;
}

void RankSwitch::Drop() {
  this->pending.reset();
  this->decision = Decision::kArmed;
  this->waiting = false;
  this->without_commit.clear();
}

}  // namespace banyanlane::experts
