#include "experts/internal/rank_agent.h"

#include <algorithm>

#include "experts/internal/map_codec.h"

namespace banyanlane::experts {

using link::SwitchGoal;

bool RankAgent::LeaseEnded(kernel::TimePoint now) const {
  return !this->command || now - this->heard_at > this->limits.lease;
}

bool RankAgent::OnCommand(const link::SwitchCommand& received,
                          kernel::TimePoint now) {
  this->highest_fence = std::max(this->highest_fence, received.fence);
  if (!this->report || received.group != this->report->group ||
      received.epoch != this->report->epoch) {
    return false;
  }
  const bool same_attempt = this->command &&
                            this->command->lead == received.lead &&
                            this->command->fence == received.fence;
  if (same_attempt) {
    const bool newer = received.number > this->command->number;
    if (newer) this->command = received;
    this->heard_at = now;
    if (newer && received.goal == SwitchGoal::kLeave) this->command.reset();
    return true;
  }
  const bool same_lead = this->command && this->command->lead == received.lead;
  const bool higher = !this->command || received.fence > this->command->fence;
  if (!higher || (!same_lead && !this->LeaseEnded(now))) return false;
  this->command = received;
  this->heard_at = now;
  return true;
}

void RankAgent::OnReport(const RankReport& received) {
  const bool new_epoch =
      this->report && (this->report->epoch != received.epoch ||
                       this->report->group != received.group);
  if (new_epoch) {
    // The group has formed anew: nothing of before is prepared, armed or held.
    this->command.reset();
    this->experts.reset();
    this->preparing = 0;
  }
  this->report = received;
}

void RankAgent::OnExperts(const RankExperts& received) {
  this->experts = received;
}

bool RankAgent::NeedsExperts() const {
  if (!this->report) return false;
  return !this->experts || this->experts->epoch != this->report->epoch ||
         this->experts->version != this->report->map_version;
}

std::optional<SendOrder> RankAgent::NextOrder(kernel::TimePoint now) {
  const bool under_way =
      this->order_sent && now - *this->order_sent < this->limits.order;
  if (under_way || !this->report || !this->command) return std::nullopt;
  const auto missing = this->Missing(now);
  if (!missing) return std::nullopt;
  this->order_sent = now;
  const auto* prepare = std::get_if<PrepareOrder>(&*missing);
  this->ordered_version = prepare != nullptr ? prepare->version : 0;
  // What ends or undoes a change makes the engine refuse the orders that led
  // to it, should they come late.
  const bool ends = this->command->goal == SwitchGoal::kRelease ||
                    this->command->goal == SwitchGoal::kAbandon;
  return SendOrder{*missing, this->command->epoch,
                   this->command->fence + (ends ? 1 : 0)};
}

std::optional<RankOrder> RankAgent::Missing(kernel::TimePoint now) const {
  const link::SwitchCommand& goal = *this->command;
  const RankReport& is = *this->report;
  switch (goal.goal) {
    case SwitchGoal::kFollow:
    case SwitchGoal::kLeave:
      return std::nullopt;
    case SwitchGoal::kPrepare:
      return this->MissingPrepare(goal.version, now);
    case SwitchGoal::kHold:
      if (is.held == goal.step || is.step >= goal.step) return std::nullopt;
      return HoldOrder{goal.step};
    case SwitchGoal::kArm:
      if (is.armed == ArmedMap{goal.version, goal.step}) return std::nullopt;
      if (is.step >= goal.step || is.prepared != goal.version)
        return std::nullopt;
      return ArmOrder{goal.version, goal.step};
    case SwitchGoal::kRelease:
      if (!is.held) return std::nullopt;
      return ReleaseOrder{*is.held};
    case SwitchGoal::kAbandon:
      if (is.armed) return DisarmOrder{is.armed->version};
      // A prepared higher version makes the engine refuse to arm a lower one,
      // also when that order comes seconds late.
      return this->MissingPrepare(goal.version, now);
  }
  return std::nullopt;
}

std::optional<RankOrder> RankAgent::MissingPrepare(
    std::uint64_t version, kernel::TimePoint now) const {
  const RankReport& is = *this->report;
  const bool reached = is.prepared == version || is.map_version == version;
  const bool copying = this->preparing == version && now < this->ask_again_at;
  if (reached || copying) return std::nullopt;
  return PrepareOrder{version, UnflattenMap(this->command->map)};
}

void RankAgent::OnOrderOutcome(OrderOutcome outcome, kernel::TimePoint now) {
  if (outcome != OrderOutcome::kNoAnswer) this->order_sent.reset();
  const bool accepted =
      outcome == OrderOutcome::kDone || outcome == OrderOutcome::kRefused;
  if (accepted && this->ordered_version != 0) {
    this->refused_version =
        outcome == OrderOutcome::kRefused ? this->ordered_version : 0;
    this->preparing = this->ordered_version;
    this->ask_again_at =
        now + (outcome == OrderOutcome::kDone ? this->limits.copy
                                              : this->limits.refused);
  }
  if (outcome != OrderOutcome::kFenced || !this->command) return;
  // The engine has met a fence that this process has not. It does not say
  // which, so the lead tries one twice as high.
  constexpr std::uint64_t kFenceStep = std::uint64_t{1} << 20U;
  this->highest_fence = std::max(
      this->highest_fence,
      this->command->fence + std::max(this->command->fence, kFenceStep));
}

bool RankAgent::IsBusy(kernel::TimePoint now) const {
  return this->command && !this->LeaseEnded(now) &&
         this->command->goal != SwitchGoal::kFollow;
}

std::optional<link::RankStatus> RankAgent::Status(kernel::TimePoint now) const {
  if (!this->report) return std::nullopt;
  const RankReport& is = *this->report;
  link::RankStatus status;
  status.group = is.group;
  status.epoch = is.epoch;
  status.rank = is.rank;
  status.size = is.size;
  status.open = is.open;
  status.step = is.step;
  status.map_version = is.map_version;
  status.prepared_version = is.prepared.value_or(0);
  if (is.armed) {
    status.armed_version = is.armed->version;
    status.armed_step = is.armed->step;
  }
  status.held_step = is.held.value_or(0);
  status.fence = this->LeaseEnded(now) ? 0 : this->command->fence;
  status.highest_fence = this->highest_fence;
  status.refused_version = this->refused_version;
  constexpr double kHundred = 100;
  status.pace = static_cast<std::uint64_t>(is.pace * kHundred);
  const bool known = this->experts && this->experts->epoch == is.epoch &&
                     this->experts->version == is.map_version;
  if (known) status.experts = FlattenExperts(this->experts->experts);
  return status;
}

}  // namespace banyanlane::experts
