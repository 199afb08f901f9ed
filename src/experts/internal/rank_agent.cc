#include "experts/internal/rank_agent.h"

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// Maximum number of experts in a layer that an agent accepts from a peer.
constexpr std::uint64_t kMaxExperts = 65'536;

}  // namespace

using link::SwitchGoal;

bool RankAgent::IsLeaseExpired(kernel::TimePoint now) const {
  return !this->command || now - this->last_command_at > this->limits.lease;
}

bool RankAgent::OnCommand(const link::SwitchCommand& received,
                          kernel::TimePoint now) {
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, received.fencing_token);
  if (!this->report || received.group != this->report->group ||
      received.epoch != this->report->epoch) {
    return false;
  }
  const bool same_attempt =
      this->command && this->command->leader == received.leader &&
      this->command->fencing_token == received.fencing_token;
  if (same_attempt) {
    const bool newer = received.sequence > this->command->sequence;
    if (newer) {
      this->command = received;
      this->KeepMap(received);
    }
    this->last_command_at = now;
    if (newer && received.goal == SwitchGoal::kLeave) this->command.reset();
    return true;
  }
  const bool same_leader =
      this->command && this->command->leader == received.leader;
  const bool has_higher_token =
      !this->command || received.fencing_token > this->command->fencing_token;
  if (!has_higher_token || (!same_leader && !this->IsLeaseExpired(now)))
    return false;
  this->last_command_at = now;
  // A leader that steps down is not followed.
  if (received.goal == SwitchGoal::kLeave) {
    this->command.reset();
    return true;
  }
  this->command = received;
  this->KeepMap(received);
  return true;
}

void RankAgent::KeepMap(const link::SwitchCommand& accepted) {
  this->command->map.clear();
  if (accepted.map.empty()) return;
  std::optional<ExpertMap> map;
  if (const auto header = ReadMapChangesHeader(accepted.map)) {
    auto base = this->FindBase(*header);
    if (base) map = ApplyMapChanges(accepted.map, std::move(*base));
  } else {
    map = UnflattenMap(accepted.map);
  }
  if (!map) {
    this->refused_version = accepted.version;
    return;
  }
  if (this->refused_version == accepted.version) this->refused_version = 0;
  this->received_map = KnownMap{accepted.version, std::move(*map)};
}

std::optional<ExpertMap> RankAgent::FindBase(
    const MapChangesHeader& header) const {
  if (this->current_map && this->current_map->version == header.base_version)
    return this->current_map->map;
  // The shape is compared with that of the engine, since it sets how much
  // memory the map takes.
  const bool is_first_map = header.base_version == 0 && this->experts &&
                            header.layers == this->experts->experts.size() &&
                            header.ranks == this->report->size &&
                            header.experts <= kMaxExperts;
  if (!is_first_map) return std::nullopt;
  return InTurnMap(header.layers, header.ranks, header.experts);
}

void RankAgent::OnReport(const RankReport& received) {
  const bool new_epoch =
      this->report && (this->report->epoch != received.epoch ||
                       this->report->group != received.group);
  if (new_epoch) {
    // The group has formed again. Nothing that was prepared, armed or held
    // before remains.
    this->command.reset();
    this->experts.reset();
    this->received_map.reset();
    this->current_map.reset();
    this->preparing_version = 0;
  }
  this->report = received;
  const bool is_received_map_in_use =
      this->received_map && this->received_map->version == received.map_version;
  if (is_received_map_in_use) this->current_map = this->received_map;
}

void RankAgent::OnExperts(const RankExperts& received) {
  this->experts = received;
}

bool RankAgent::NeedsExperts() const {
  if (!this->report) return false;
  return !this->experts || this->experts->epoch != this->report->epoch ||
         this->experts->version != this->report->map_version;
}

std::optional<FencedOrder> RankAgent::NextOrder(kernel::TimePoint now) {
  const bool in_flight = this->order_sent_at && now - *this->order_sent_at <
                                                    this->limits.order_timeout;
  if (in_flight || !this->report || !this->command) return std::nullopt;
  const auto needed = this->OrderForGoal(now);
  if (!needed) return std::nullopt;
  this->order_sent_at = now;
  const auto* prepare = std::get_if<PrepareOrder>(&*needed);
  this->pending_prepare_version = prepare != nullptr ? prepare->version : 0;
  // Orders that release the group or abandon a switch have a higher fencing
  // token, so that the engine refuses earlier orders of the switch that arrive
  // late.
  const bool ends_switch = this->command->goal == SwitchGoal::kRelease ||
                           this->command->goal == SwitchGoal::kAbandon;
  return FencedOrder{*needed, this->command->epoch,
                     this->command->fencing_token + (ends_switch ? 1 : 0)};
}

std::optional<RankOrder> RankAgent::OrderForGoal(kernel::TimePoint now) const {
  const link::SwitchCommand& target = *this->command;
  const RankReport& reported = *this->report;
  switch (target.goal) {
    case SwitchGoal::kFollow:
    case SwitchGoal::kLeave:
      return std::nullopt;
    case SwitchGoal::kPrepare:
      return this->PrepareOrderIfNeeded(target.version, now);
    case SwitchGoal::kHold:
      if (reported.held_step == target.step || reported.step >= target.step)
        return std::nullopt;
      return HoldOrder{target.step};
    case SwitchGoal::kArm:
      if (reported.armed == ArmedMap{target.version, target.step})
        return std::nullopt;
      if (reported.step >= target.step ||
          reported.prepared_version != target.version)
        return std::nullopt;
      return ArmOrder{target.version, target.step};
    case SwitchGoal::kRelease:
      if (!reported.held_step) return std::nullopt;
      return ReleaseOrder{*reported.held_step};
    case SwitchGoal::kAbandon:
      if (reported.armed) return DisarmOrder{reported.armed->version};
      // The current map is prepared under a higher version, because an engine
      // that has prepared it refuses to arm the abandoned one, even if that
      // order arrives seconds late.
      return this->PrepareOrderIfNeeded(target.version, now);
  }
  return std::nullopt;
}

std::optional<RankOrder> RankAgent::PrepareOrderIfNeeded(
    std::uint64_t version, kernel::TimePoint now) const {
  const RankReport& reported = *this->report;
  const bool has_map =
      this->received_map && this->received_map->version == version;
  if (!has_map) return std::nullopt;
  const bool is_prepared =
      reported.prepared_version == version || reported.map_version == version;
  const bool must_wait =
      this->preparing_version == version && now < this->prepare_retry_at;
  if (is_prepared || must_wait) return std::nullopt;
  return PrepareOrder{version, this->received_map->map};
}

void RankAgent::OnOrderOutcome(OrderOutcome outcome, kernel::TimePoint now) {
  if (outcome != OrderOutcome::kNoResponse) this->order_sent_at.reset();
  const bool was_answered =
      outcome == OrderOutcome::kDone || outcome == OrderOutcome::kRefused;
  if (was_answered && this->pending_prepare_version != 0) {
    this->refused_version =
        outcome == OrderOutcome::kRefused ? this->pending_prepare_version : 0;
    this->preparing_version = this->pending_prepare_version;
    this->prepare_retry_at = now + (outcome == OrderOutcome::kDone
                                        ? this->limits.copy_timeout
                                        : this->limits.refusal_retry_delay);
  }
  if (outcome != OrderOutcome::kFenced || !this->command) return;
  // The engine has received a higher fencing token, which its response does not
  // contain. Twice the current token, or kMinTokenIncrease more if that is
  // higher, is reported as the highest one, so that the leader chooses a higher
  // token.
  constexpr std::uint64_t kMinTokenIncrease = std::uint64_t{1} << 20U;
  this->highest_fencing_token =
      std::max(this->highest_fencing_token,
               this->command->fencing_token +
                   std::max(this->command->fencing_token, kMinTokenIncrease));
}

bool RankAgent::HasUnfinishedSwitch() const {
  return this->report && (this->report->armed || this->report->held_step);
}

bool RankAgent::IsNeededForSwitch(kernel::TimePoint now) const {
  if (this->HasUnfinishedSwitch()) return true;
  return this->command && !this->IsLeaseExpired(now) &&
         this->command->goal != SwitchGoal::kPrepare;
}

bool RankAgent::HasActiveGoal(kernel::TimePoint now) const {
  if (this->HasUnfinishedSwitch()) return true;
  return this->command && !this->IsLeaseExpired(now) &&
         this->command->goal != SwitchGoal::kFollow;
}

std::optional<link::RankStatus> RankAgent::Status(kernel::TimePoint now) const {
  if (!this->report) return std::nullopt;
  const RankReport& reported = *this->report;
  link::RankStatus status;
  status.group = reported.group;
  status.epoch = reported.epoch;
  status.rank = reported.rank;
  status.size = reported.size;
  status.open =
      reported.open && (!this->is_stopping || this->HasUnfinishedSwitch());
  status.step = reported.step;
  status.map_version = reported.map_version;
  status.prepared_version = reported.prepared_version.value_or(0);
  if (reported.armed) {
    status.armed_version = reported.armed->version;
    status.armed_step = reported.armed->step;
  }
  status.held_step = reported.held_step.value_or(0);
  status.fencing_token =
      this->IsLeaseExpired(now) ? 0 : this->command->fencing_token;
  status.highest_fencing_token = this->highest_fencing_token;
  status.refused_version = this->refused_version;
  constexpr double kNormalSlowdownPercent = 100;
  status.slowdown_percent =
      static_cast<std::uint64_t>(reported.slowdown * kNormalSlowdownPercent);
  const bool has_current_experts =
      this->experts && this->experts->epoch == reported.epoch &&
      this->experts->version == reported.map_version;
  if (has_current_experts)
    status.experts = FlattenExperts(this->experts->experts);
  return status;
}

}  // namespace banyanlane::experts
