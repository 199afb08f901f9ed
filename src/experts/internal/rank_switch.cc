#include "experts/internal/rank_switch.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyanlane::experts {

bool RankSwitch::IsPending(std::uint64_t fencing_token) const {
  return this->pending && this->pending->fencing_token == fencing_token;
}

std::optional<std::uint64_t> RankSwitch::BeginStep(std::uint64_t step) {
  const bool is_due = this->pending && step >= this->pending->step;
  if (is_due && this->decision != Decision::kCommitted) {
    this->waiting = true;
    return std::nullopt;
  }
  if (is_due) {
    this->active_map = this->pending->map;
    this->last_committed = this->pending;
    this->ClearPending();
  }
  this->last_step = step;
  return this->active_map;
}

OutgoingSwitchMessages RankSwitch::On(const ArmSwitch& arm) {
  const MapSwitch& proposal = arm.proposal;
  const bool is_repeated = this->IsPending(proposal.fencing_token) &&
                           this->decision == Decision::kArmed;
  const bool can_arm = !this->pending &&
                       proposal.fencing_token > this->highest_fencing_token &&
                       proposal.step > this->last_step;
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, proposal.fencing_token);
  if (can_arm) {
    this->pending = proposal;
    this->decision = Decision::kArmed;
  }
  return {
      {kCoordinator, ArmReply{proposal.fencing_token, is_repeated || can_arm,
                              this->highest_fencing_token}}};
}

OutgoingSwitchMessages RankSwitch::On(const CommitSwitch& commit) {
  const bool awaits_outcome = this->IsPending(commit.fencing_token) &&
                              this->decision == Decision::kArmed;
  if (awaits_outcome) {
    this->decision = Decision::kCommitted;
    this->waiting = false;
  }
  return {};
}

OutgoingSwitchMessages RankSwitch::On(const AbortSwitch& abort) {
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, abort.fencing_token);
  if (this->IsPending(abort.fencing_token) &&
      this->decision != Decision::kCommitted)
    this->ClearPending();
  return {};
}

OutgoingSwitchMessages RankSwitch::On(const QuerySwitch& query,
                                      std::size_t from) {
  // An ArmSwitch with this token that arrives later must be refused.
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, query.fencing_token);
  const bool was_committed =
      this->last_committed &&
      this->last_committed->fencing_token == query.fencing_token;
  if (was_committed) return {{from, SettleSwitch{*this->last_committed, true}}};
  if (!this->IsPending(query.fencing_token))
    return {{from, QueryReply{query.fencing_token, false}}};
  if (this->decision == Decision::kCommitted) {
    return {{from, SettleSwitch{*this->pending, true}}};
  }
  this->decision = Decision::kVetoed;
  return {{from, QueryReply{query.fencing_token, false}}};
}

OutgoingSwitchMessages RankSwitch::On(const QueryReply& reply,
                                      std::size_t from) {
  const bool has_queried = this->IsPending(reply.fencing_token) &&
                           this->decision == Decision::kVetoed;
  if (!has_queried || reply.committed) return {};
  this->ranks_without_commit.insert(from);
  if (this->ranks_without_commit.size() + 1 < this->ranks) return {};
  OutgoingSwitchMessages messages =
      this->SendToOthers(SettleSwitch{*this->pending, false});
  this->ClearPending();
  return messages;
}

OutgoingSwitchMessages RankSwitch::On(const SettleSwitch& settle) {
  if (!this->IsPending(settle.proposal.fencing_token)) return {};
  if (this->decision == Decision::kCommitted) return {};
  if (!settle.committed) {
    this->ClearPending();
    return {};
  }
  this->decision = Decision::kCommitted;
  this->waiting = false;
  return {};
}

OutgoingSwitchMessages RankSwitch::QueryOthers() {
  if (!this->waiting || !this->pending) return {};
  this->decision = Decision::kVetoed;
  if (this->ranks == 1) {
    this->ClearPending();
    return {};
  }
  return this->SendToOthers(QuerySwitch{this->pending->fencing_token});
}

std::string RankSwitch::Fingerprint() const {
  const auto text = [](const std::optional<MapSwitch>& proposal) {
    if (!proposal) return std::string("-");
    return fmt::format("{}/{}/{}", proposal->fencing_token, proposal->map,
                       proposal->step);
  };
  return fmt::format("{} {} {} {} {} {} {} {}", this->active_map,
                     this->last_step, this->highest_fencing_token,
                     text(this->last_committed), text(this->pending),
                     static_cast<int>(this->decision), this->waiting,
                     fmt::join(this->ranks_without_commit, ","));
}

OutgoingSwitchMessages RankSwitch::SendToOthers(
    const SwitchMessage& message) const {
  OutgoingSwitchMessages messages;
  for (std::size_t other = 0; other < this->ranks; ++other) {
    if (other != this->rank) messages.push_back({other, message});
  }
  return messages;
}

void RankSwitch::ClearPending() {
  this->pending.reset();
  this->decision = Decision::kArmed;
  this->waiting = false;
  this->ranks_without_commit.clear();
}

}  // namespace banyanlane::experts
