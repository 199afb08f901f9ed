#include "experts/internal/group_leader.h"

#include <algorithm>
#include <cmath>

#include "experts/internal/map_codec.h"

namespace banyanlane::experts {
namespace {

using kernel::EventId;
using link::RankStatus;
using link::SwitchGoal;

/// Number of values that the random part of versions and fencing tokens can
/// have. Two leaders that do not know of each other and start from the same
/// number choose the same next one once in this many times.
constexpr std::uint64_t kRandomRange = std::uint64_t{1} << 20U;
/// Weight of the newest measurement in the mean duration of a step.
constexpr double kStepSmoothingFactor = 0.3;
/// Value of RankStatus::slowdown_percent for a rank of normal speed.
constexpr double kNormalSlowdownPercent = 100;
/// Plans treat slowdowns up to this one as 1, so that jitter does not move
/// experts.
constexpr double kNegligibleSlowdown = 1.2;
/// Weight of the newest measurement in the mean duration of arming.
constexpr double kArmSmoothingFactor = 0.4;
/// Weight of the newest measurement in the mean overhead of a switch.
constexpr double kOverheadSmoothingFactor = 0.3;
/// Commands are repeated no faster than this for each rank, so that they take a
/// small part of the leader's link.
constexpr kernel::Millis kMinRepeatPeriodPerRank{2};
/// Less than half of RankAgentLimits::lease, which the commands renew.
constexpr kernel::Millis kMaxRepeatPeriod{400};
/// Large groups are planned for less often, in proportion to the number of
/// lists of experts, one for each rank of each layer.
constexpr double kPlanMillisPerList = 0.25;
/// Minimum time over which steps are counted to measure their duration.
constexpr kernel::Millis kStepMeasurePeriod{250};
/// Approximate size of one change in a map that is sent as changes.
constexpr double kBytesPerMapChange = 5;
constexpr double kMillisPerSecond = 1'000;
/// A group that has begun no step for this time has no requests.
constexpr kernel::Millis kIdlePeriod{1'000};
/// A step that was measured to take longer counts as this long in the mean.
constexpr double kMaxStepMillis = 2'000;

}  // namespace

GroupLeader::GroupLeader(const GroupLeaderLimits& limits, std::string name,
                         std::uint64_t seed)
    : limits(limits),
      name(std::move(name)),
      random(seed),
      demand(DemandEstimatorLimits{}),
      map_sender(limits.maps) {}

std::uint64_t GroupLeader::RandomBelow(std::uint64_t limit) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      limit - 1)(this->random);
}

void GroupLeader::OnStatus(const RankStatus& status, kernel::TimePoint now) {
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, status.highest_fencing_token);
  const bool is_new_group =
      status.group != this->group || status.epoch > this->epoch;
  if (is_new_group) {
    this->group = status.group;
    this->epoch = status.epoch;
    this->ranks.clear();
    this->map_sender.Reset();
    this->demand.Reset();
    this->stepped_at = now;
    this->EnterStage(Stage::kIdle, now);
  }
  if (status.epoch < this->epoch) return;
  this->size = status.size;
  this->ranks[status.rank] = RankState{status, now};
}

void GroupLeader::OnCounts(const link::ExpertCounts& counts,
                           kernel::TimePoint now) {
  if (counts.group == this->group && counts.epoch == this->epoch)
    this->demand.OnCounts(counts, now);
}

bool GroupLeader::IsGroupComplete(kernel::TimePoint now) const {
  if (this->size == 0 || this->ranks.size() != this->size) return false;
  return this->AllRanks([this, now](const RankStatus& status) {
    const RankState& state = this->ranks.at(status.rank);
    return status.open && status.rank < this->size &&
           now - state.received_at <= this->limits.max_status_age;
  });
}

template <typename Predicate>
bool GroupLeader::AllRanks(Predicate predicate) const {
  return std::all_of(this->ranks.begin(), this->ranks.end(),
                     [&predicate](const auto& entry) {
                       return predicate(entry.second.status);
                     });
}

template <typename Predicate>
bool GroupLeader::AnyRank(Predicate predicate) const {
  return std::any_of(this->ranks.begin(), this->ranks.end(),
                     [&predicate](const auto& entry) {
                       return predicate(entry.second.status);
                     });
}

std::optional<ExpertMap> GroupLeader::CurrentMap() const {
  ExpertMap map;
  std::optional<std::uint64_t> version_in_use;
  for (const auto& [rank, state] : this->ranks) {
    const auto experts = UnflattenExperts(state.status.experts);
    if (experts.empty()) return std::nullopt;
    if (version_in_use && *version_in_use != state.status.map_version)
      return std::nullopt;
    version_in_use = state.status.map_version;
    if (map.empty()) map.resize(experts.size());
    if (map.size() != experts.size()) return std::nullopt;
    for (std::size_t layer = 0; layer < experts.size(); ++layer)
      map[layer].push_back(experts[layer]);
  }
  return map;
}

RankSlowdowns GroupLeader::Slowdowns() const {
  RankSlowdowns slowdowns;
  for (const auto& entry : this->ranks) {
    const double slowdown =
        static_cast<double>(entry.second.status.slowdown_percent) /
        kNormalSlowdownPercent;
    slowdowns.push_back(slowdown > kNegligibleSlowdown ? slowdown : 1.0);
  }
  return slowdowns;
}

std::uint64_t GroupLeader::HighestVersion() const {
  std::uint64_t highest = std::max(this->target_version, this->abandon_version);
  for (const auto& [rank, state] : this->ranks) {
    const RankStatus& status = state.status;
    highest = std::max({highest, status.map_version, status.prepared_version,
                        status.armed_version});
  }
  return highest;
}

std::uint64_t GroupLeader::NextVersion() {
  // Another leader may have assigned a version that no status shows yet. The
  // random part makes an equal version unlikely. If that version is higher,
  // ranks refuse this one, and the leader chooses another.
  return this->HighestVersion() + kRandomRange +
         this->RandomBelow(kRandomRange);
}

bool GroupLeader::HasUnfinishedSwitch() const {
  return this->AnyRank([](const RankStatus& status) {
    return status.armed_version != 0 || status.held_step != 0;
  });
}

void GroupLeader::EnterStage(Stage next, kernel::TimePoint now) {
  if (this->stage == Stage::kIdle) this->stage_times.clear();
  this->stage_times[this->stage] +=
      std::chrono::duration_cast<kernel::Millis>(now - this->stage_entered_at);
  this->stage = next;
  this->stage_entered_at = now;
  this->must_send = true;
}

bool GroupLeader::HasTimedOut(kernel::Millis timeout,
                              kernel::TimePoint now) const {
  return now - this->stage_entered_at > timeout;
}

void GroupLeader::UpdateMeanStepTime(kernel::TimePoint now) {
  std::uint64_t newest = 0;
  for (const auto& entry : this->ranks)
    newest = std::max(newest, entry.second.status.step);
  if (newest != this->measured_step) this->stepped_at = now;
  const auto span = now - this->measured_at;
  if (span < kStepMeasurePeriod) return;
  if (newest > this->measured_step && this->measured_step > 0) {
    const double millis =
        std::chrono::duration<double, std::milli>(span).count() /
        static_cast<double>(newest - this->measured_step);
    this->mean_step_ms +=
        kStepSmoothingFactor *
        (std::min(millis, kMaxStepMillis) - this->mean_step_ms);
  }
  this->measured_step = newest;
  this->measured_at = now;
}

void GroupLeader::UpdateMeanArmTime(kernel::TimePoint now) {
  const double millis =
      std::chrono::duration<double, std::milli>(now - this->stage_entered_at)
          .count();
  this->mean_arm_ms += kArmSmoothingFactor * (millis - this->mean_arm_ms);
}

void GroupLeader::UpdateMeanOverhead(kernel::TimePoint now) {
  if (!this->plan) return;
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - this->planned_at).count();
  const double copying_ms =
      this->copy_ms *
      static_cast<double>(MaxCopiesOfRank(this->current.map, this->plan->map));
  const double overhead_ms = std::max(0.0, elapsed_ms - copying_ms);
  this->mean_overhead_ms +=
      kOverheadSmoothingFactor * (overhead_ms - this->mean_overhead_ms);
}

SwitchTimes GroupLeader::TimesOfSwitches(kernel::TimePoint now) const {
  const auto demand_ms = this->demand.ExpectedShiftInterval(now).count();
  const double send_ms = static_cast<double>(this->size) * kBytesPerMapChange /
                         this->limits.maps.bytes_per_second * kMillisPerSecond;
  return {this->copy_ms, this->mean_overhead_ms, static_cast<double>(demand_ms),
          send_ms};
}

void GroupLeader::AdvanceIdle(kernel::TimePoint now) {
  // The period bounds the time spent on plans for a demand that changes
  // little. A shift is planned for at once.
  const bool has_shifted = this->considered_shifts != this->demand.Shifts();
  const bool is_due =
      now >= this->paused_until && (has_shifted || now >= this->next_plan_at);
  if (!this->IsGroupComplete(now) || !is_due) return;
  if (this->HasOtherLeader()) return;
  this->next_plan_at = now + this->PlanPeriod();
  const auto map = this->CurrentMap();
  if (!map) return;
  this->current = {this->ranks.begin()->second.status.map_version, *map};
  if (this->HasUnfinishedSwitch()) {
    this->plan.reset();
    this->BeginAttempt(now);
    return;
  }
  this->Plan(now);
}

void GroupLeader::Plan(kernel::TimePoint now) {
  if (this->limits.planner.bounds.max_experts_per_rank == 0) return;
  if (this->demand.TotalSelections() < this->limits.min_selections) {
    this->PlanWhileIdle(now);
    return;
  }
  const auto load = this->demand.Load(this->current.map.size());
  if (!load) return;
  this->considered_shifts = this->demand.Shifts();
  const RankSlowdowns slowdowns = this->Slowdowns();
  const SwitchTimes times = this->TimesOfSwitches(now);
  auto better = SwitchPlanner(this->limits.planner)
                    .Plan(this->current.map, *load, slowdowns, times);
  if (!better) return;
  const double min_time = MinMapStepTime(*load, slowdowns);
  this->events.emplace_back(
      EventId::kMapPlanned,
      kernel::EventFields{
          {"group", this->group},
          {"skew", std::to_string(better->current_time / min_time)},
          {"planned_skew", std::to_string(better->planned_time / min_time)},
          {"copies",
           std::to_string(CopiesBetween(this->current.map, better->map))},
          {"switch_ms", std::to_string(better->switch_ms)},
          {"demand_ms", std::to_string(times.demand_ms)},
          {"step_ms", std::to_string(this->mean_step_ms)}});
  this->planned_after_shifts = this->demand.Shifts();
  this->BeginSwitch(std::move(*better), now);
}

void GroupLeader::PlanWhileIdle(kernel::TimePoint now) {
  if (now - this->stepped_at < kIdlePeriod) return;
  const SwitchTimes times = this->TimesOfSwitches(now);
  auto next = SwitchPlanner(this->limits.planner)
                  .PlanWhileIdle(this->current.map, times);
  if (!next) return;
  this->events.emplace_back(
      EventId::kMapPlanned,
      kernel::EventFields{{"group", this->group},
                          {"idle", "yes"},
                          {"copies", std::to_string(CopiesBetween(
                                         this->current.map, next->map))},
                          {"switch_ms", std::to_string(next->switch_ms)}});
  this->planned_after_shifts.reset();
  this->BeginSwitch(std::move(*next), now);
}

void GroupLeader::BeginSwitch(SwitchPlan next, kernel::TimePoint now) {
  this->SetPlan(std::move(next), now);
  this->is_plan_replaced = false;
  this->RaiseFencingToken();
  this->target_version = this->NextVersion();
  this->EnterStage(Stage::kPreparing, now);
}

void GroupLeader::SetPlan(SwitchPlan next, kernel::TimePoint now) {
  this->plan = std::move(next);
  this->plan->map = AlignWith(this->current.map, std::move(this->plan->map));
  this->planned_at = now;
}

void GroupLeader::RaiseFencingToken() {
  // An attempt has an even token. The orders that release the group or abandon
  // a switch use the next odd one, see RankAgent::NextOrder.
  constexpr std::uint64_t kTokensPerAttempt = 2;
  this->fencing_token = (this->highest_fencing_token / kTokensPerAttempt + 1 +
                         this->RandomBelow(kRandomRange)) *
                        kTokensPerAttempt;
  this->highest_fencing_token = this->fencing_token;
  this->sequence = 0;
  this->must_send = true;
}

void GroupLeader::Replan(kernel::TimePoint now) {
  if (now < this->next_plan_at) return;
  // A second replacement could keep every plan from completion while demand
  // goes on shifting.
  if (this->is_plan_replaced) return;
  if (this->planned_after_shifts == this->demand.Shifts()) return;
  this->next_plan_at = now + this->PlanPeriod();
  const auto load = this->demand.Load(this->current.map.size());
  if (!load) return;
  const RankSlowdowns slowdowns = this->Slowdowns();
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - this->planned_at).count();
  auto better = SwitchPlanner(this->limits.planner)
                    .Replan(this->current.map, this->plan->map,
                            std::max(0.0, this->plan->switch_ms - elapsed_ms),
                            *load, slowdowns, this->TimesOfSwitches(now));
  this->planned_after_shifts = this->demand.Shifts();
  if (!better) return;
  this->SetPlan(std::move(*better), now);
  this->is_plan_replaced = true;
  this->target_version = this->NextVersion();
  this->EnterStage(Stage::kPreparing, now);
}

void GroupLeader::BeginAttempt(kernel::TimePoint now) {
  this->RaiseFencingToken();
  this->EnterStage(Stage::kFollowing, now);
}

void GroupLeader::AdvanceFromFollowing(kernel::TimePoint now) {
  if (!this->HasUnfinishedSwitch()) {
    if (!this->plan) {
      this->CancelAttempt("no unfinished switch is left", now);
      return;
    }
    this->target_version = this->NextVersion();
    this->EnterStage(Stage::kPreparing, now);
    return;
  }
  const bool is_held = this->AnyRank(
      [](const RankStatus& status) { return status.held_step != 0; });
  if (is_held) {
    // An earlier attempt of this or another leader held the group. It is
    // unknown whether its release is still on the way. Nothing may be armed
    // until no rank can make that attempt's switch any more.
    this->Abandon("another leader left a switch unfinished", now);
    return;
  }
  // A rank is armed and none holds the group, so the earlier attempt released
  // it. A leader does so only once all ranks are armed or none can be armed any
  // more. Since one is armed, all of them were, and the switch takes place.
  this->EnterStage(Stage::kSwitching, now);
}

void GroupLeader::BeginHolding(std::uint64_t own_rank, kernel::TimePoint now) {
  // Number of steps that the group runs while the ranks arm. If arming takes
  // longer, the group waits at the held step. With more steps, it would use the
  // old map for longer.
  const auto steps_ahead = static_cast<std::uint64_t>(
      this->mean_arm_ms / std::max(1.0, this->mean_step_ms));
  const std::uint64_t reached = this->ranks.at(own_rank).status.step;
  // This leader never chooses a step twice, so that a late release of one
  // attempt can't end the hold of its next one.
  this->switch_step =
      std::max(reached + 1 + steps_ahead, this->switch_step + 1);
  this->EnterStage(Stage::kHolding, now);
}

void GroupLeader::AdvanceHolding(std::uint64_t own_rank,
                                 kernel::TimePoint now) {
  const RankStatus& own = this->ranks.at(own_rank).status;
  if (own.held_step == this->switch_step) {
    this->EnterStage(Stage::kArming, now);
    return;
  }
  if (this->HasTimedOut(this->limits.hold_timeout, now)) {
    this->Abandon("the group was not held in time", now);
    return;
  }
  // The step began before it could be held. Nothing has been armed for it, so
  // another step can be chosen.
  if (own.step >= this->switch_step) this->BeginHolding(own_rank, now);
}

bool GroupLeader::IsFollowedByAll() const {
  return this->AllRanks([this](const RankStatus& status) {
    return status.fencing_token == this->fencing_token;
  });
}

void GroupLeader::AdvancePreparing(std::uint64_t own_rank,
                                   kernel::TimePoint now) {
  const bool is_followed = this->IsFollowedByAll();
  if (is_followed && this->HasUnfinishedSwitch()) {
    // Another leader began to switch just before the ranks followed this one.
    this->AdvanceFromFollowing(now);
  } else if (is_followed && this->IsGroupComplete(now) &&
             this->AllRanks([this](const RankStatus& status) {
               return status.prepared_version == this->target_version;
             })) {
    this->BeginHolding(own_rank, now);
  } else if (!is_followed &&
             this->HasTimedOut(this->limits.follow_timeout, now)) {
    this->CancelAttempt("not all ranks followed in time", now);
  } else if (this->HasTimedOut(this->limits.refusal_timeout, now) &&
             this->IsRefused(this->target_version)) {
    this->target_version = this->NextVersion();
    this->EnterStage(Stage::kPreparing, now);
  } else if (this->HasTimedOut(this->limits.prepare_timeout, now)) {
    this->CancelAttempt("weights were not copied in time", now);
  } else {
    this->Replan(now);
  }
}

void GroupLeader::Advance(std::uint64_t own_rank, kernel::TimePoint now) {
  switch (this->stage) {
    case Stage::kIdle:
      this->AdvanceIdle(now);
      return;
    case Stage::kFollowing:
      if (this->IsFollowedByAll() && this->IsGroupComplete(now)) {
        this->AdvanceFromFollowing(now);
      } else if (this->HasTimedOut(this->limits.follow_timeout, now)) {
        this->CancelAttempt("not all ranks followed in time", now);
      }
      return;
    case Stage::kPreparing:
      this->AdvancePreparing(own_rank, now);
      return;
    case Stage::kHolding:
      this->AdvanceHolding(own_rank, now);
      return;
    case Stage::kArming:
      if (this->AllRanks([this](const RankStatus& status) {
            return status.fencing_token == this->fencing_token &&
                   status.armed_version == this->target_version &&
                   status.armed_step == this->switch_step;
          })) {
        this->UpdateMeanArmTime(now);
        this->UpdateMeanOverhead(now);
        this->EnterStage(Stage::kReleasing, now);
      } else if (this->HasTimedOut(this->limits.arm_timeout, now)) {
        this->UpdateMeanArmTime(now);
        this->Abandon("not all ranks armed in time", now);
      }
      return;
    case Stage::kReleasing:
      if (!this->AnyRank(
              [](const RankStatus& status) { return status.held_step != 0; })) {
        this->EnterStage(Stage::kSwitching, now);
      }
      return;
    case Stage::kSwitching:
      if (this->AllRanks([](const RankStatus& status) {
            return status.armed_version == 0;
          })) {
        this->ReportMapChanged(now);
        this->plan.reset();
        this->next_plan_at = now;
        this->EnterStage(Stage::kIdle, now);
      }
      return;
    case Stage::kAbandoningHolders:
      this->RenewAbandonVersion(now);
      if (this->AllRanks([this](const RankStatus& status) {
            return status.held_step == 0 || this->HasAbandoned(status);
          })) {
        this->EnterStage(Stage::kAbandoningAll, now);
      }
      return;
    case Stage::kAbandoningAll:
      this->RenewAbandonVersion(now);
      if (this->AllRanks([this](const RankStatus& status) {
            return this->HasAbandoned(status);
          })) {
        this->plan.reset();
        this->EnterStage(Stage::kReleasing, now);
      }
      return;
  }
}

void GroupLeader::ReportMapChanged(kernel::TimePoint now) {
  kernel::EventFields fields = {
      {"group", this->group},
      {"version", std::to_string(this->target_version)},
      {"step", std::to_string(this->switch_step)},
      {"step_ms", std::to_string(this->mean_step_ms)}};
  const auto add = [&](const char* name, Stage stage) {
    const auto found = this->stage_times.find(stage);
    if (found != this->stage_times.end())
      fields.emplace_back(name, std::to_string(found->second.count()));
  };
  add("following_ms", Stage::kFollowing);
  add("preparing_ms", Stage::kPreparing);
  add("holding_ms", Stage::kHolding);
  add("arming_ms", Stage::kArming);
  add("releasing_ms", Stage::kReleasing);
  fields.emplace_back("switching_ms", std::to_string(kernel::MillisBetween(
                                          this->stage_entered_at, now)));
  this->events.emplace_back(EventId::kMapChanged, std::move(fields));
}

void GroupLeader::Abandon(std::string_view reason, kernel::TimePoint now) {
  this->abandon_version = this->NextVersion();
  this->events.emplace_back(
      EventId::kMapAbandoned,
      kernel::EventFields{{"group", this->group},
                          {"version", std::to_string(this->target_version)},
                          {"step", std::to_string(this->switch_step)},
                          {"reason", std::string(reason)}});
  this->EnterStage(Stage::kAbandoningHolders, now);
}

bool GroupLeader::IsRefused(std::uint64_t version) const {
  return this->AnyRank([this, version](const RankStatus& status) {
    // A rank also refuses changes to a map that it does not know.
    return this->map_sender.HasSentComplete(status.rank, version) &&
           status.refused_version == version &&
           status.prepared_version != version;
  });
}

void GroupLeader::RenewAbandonVersion(kernel::TimePoint now) {
  const bool must_renew =
      this->HasTimedOut(this->limits.refusal_timeout, now) &&
      this->IsRefused(this->abandon_version);
  if (!must_renew) return;
  this->abandon_version = this->NextVersion();
  this->EnterStage(Stage::kAbandoningHolders, now);
}

bool GroupLeader::HasAbandoned(const RankStatus& status) const {
  return status.armed_version == 0 &&
         status.prepared_version == this->abandon_version;
}

bool GroupLeader::HasOtherLeader() const {
  return this->AnyRank([this](const RankStatus& status) {
    return status.fencing_token != 0 &&
           status.fencing_token != this->fencing_token;
  });
}

bool GroupLeader::IsSuperseded() const {
  return this->AnyRank([this](const RankStatus& status) {
    return status.fencing_token > this->fencing_token;
  });
}

void GroupLeader::CancelAttempt(std::string_view reason,
                                kernel::TimePoint now) {
  this->events.emplace_back(
      EventId::kMapAbandoned,
      kernel::EventFields{{"group", this->group},
                          {"version", std::to_string(this->target_version)},
                          {"step", "none"},
                          {"reason", std::string(reason)}});
  this->plan.reset();
  this->must_send_leave = true;
  this->paused_until = now + this->limits.cancel_pause;
  this->EnterStage(Stage::kIdle, now);
}

link::SwitchCommand GroupLeader::LeaveCommand() const {
  link::SwitchCommand command;
  command.leader = this->name;
  command.fencing_token = this->fencing_token;
  command.sequence = this->sequence;
  command.group = this->group;
  command.epoch = this->epoch;
  command.goal = SwitchGoal::kLeave;
  return command;
}

link::SwitchCommand GroupLeader::CommandFor(std::uint64_t rank,
                                            std::uint64_t own_rank) const {
  link::SwitchCommand command = this->LeaveCommand();
  command.version = this->target_version;
  command.step = this->switch_step;
  const bool is_own = rank == own_rank;
  switch (this->stage) {
    case Stage::kIdle:
    case Stage::kFollowing:
    case Stage::kSwitching:
      command.goal = SwitchGoal::kFollow;
      break;
    case Stage::kPreparing:
      command.goal = SwitchGoal::kPrepare;
      break;
    case Stage::kHolding:
      command.goal = is_own ? SwitchGoal::kHold : SwitchGoal::kFollow;
      break;
    case Stage::kArming:
      command.goal = SwitchGoal::kArm;
      break;
    case Stage::kReleasing:
      command.goal = SwitchGoal::kRelease;
      break;
    case Stage::kAbandoningHolders:
    case Stage::kAbandoningAll: {
      const bool holds_group = this->ranks.at(rank).status.held_step != 0;
      const bool must_wait =
          this->stage == Stage::kAbandoningHolders && !holds_group;
      command.goal = must_wait ? SwitchGoal::kFollow : SwitchGoal::kAbandon;
      command.version = this->abandon_version;
      break;
    }
  }
  return command;
}

std::vector<GroupLeader::OutgoingCommand> GroupLeader::OnTick(
    std::uint64_t own_rank, kernel::TimePoint now) {
  this->UpdateMeanStepTime(now);
  if (this->ranks.count(own_rank) == 0) return {};
  if (this->stage != Stage::kIdle && this->IsSuperseded()) {
    this->CancelAttempt("ranks follow another leader", now);
    this->paused_until = now + this->limits.step_down_pause;
  }
  // An agent or an engine has received a higher fencing token, so it may refuse
  // this one. The other leader may have changed the state that this attempt
  // relies on. The attempt begins again with a higher token.
  const bool was_fenced = this->stage != Stage::kIdle &&
                          this->highest_fencing_token > this->fencing_token;
  if (was_fenced) this->BeginAttempt(now);
  this->Advance(own_rank, now);
  if (this->stage == Stage::kIdle && !this->must_send_leave) return {};
  this->map_sender.OnTime(now);
  const bool repeat = now - this->commands_sent_at >= this->RepeatPeriod();
  if (!this->must_send && !repeat) return this->CommandsWithMaps(own_rank, now);
  ++this->sequence;
  this->must_send = false;
  this->commands_sent_at = now;
  return this->CommandsForAll(own_rank, now);
}

kernel::Millis GroupLeader::PlanPeriod() const {
  const std::size_t lists = this->current.map.size() * this->ranks.size();
  const auto millis = static_cast<std::int64_t>(static_cast<double>(lists) *
                                                kPlanMillisPerList);
  return std::max(this->limits.plan_period, kernel::Millis(millis));
}

kernel::Millis GroupLeader::RepeatPeriod() const {
  return std::clamp(kMinRepeatPeriodPerRank * static_cast<int>(this->size),
                    this->limits.repeat_period, kMaxRepeatPeriod);
}

std::optional<std::uint64_t> GroupLeader::VersionToPrepare() const {
  if (this->stage == Stage::kPreparing) return this->target_version;
  const bool is_abandoning = this->stage == Stage::kAbandoningHolders ||
                             this->stage == Stage::kAbandoningAll;
  if (is_abandoning) return this->abandon_version;
  return std::nullopt;
}

void GroupLeader::AddMap(OutgoingCommand& outgoing, kernel::TimePoint now) {
  link::SwitchCommand& command = outgoing.command;
  const bool is_prepare = command.goal == SwitchGoal::kPrepare;
  if (!is_prepare && command.goal != SwitchGoal::kAbandon) return;
  const RankStatus& status = this->ranks.at(outgoing.rank).status;
  if (!this->map_sender.IsDue(status, command.version, now)) return;
  command.map = this->map_sender.Send(
      status, command.version, is_prepare ? this->plan->map : this->current.map,
      this->current, now);
}

std::vector<GroupLeader::OutgoingCommand> GroupLeader::CommandsWithMaps(
    std::uint64_t own_rank, kernel::TimePoint now) {
  std::vector<OutgoingCommand> commands;
  const auto version = this->VersionToPrepare();
  if (!version) return commands;
  for (const auto& entry : this->ranks) {
    if (!this->map_sender.IsDue(entry.second.status, *version, now)) continue;
    OutgoingCommand outgoing{entry.first,
                             this->CommandFor(entry.first, own_rank)};
    outgoing.command.sequence = this->sequence + 1;
    this->AddMap(outgoing, now);
    if (!outgoing.command.map.empty()) commands.push_back(std::move(outgoing));
  }
  if (!commands.empty()) ++this->sequence;
  return commands;
}

std::vector<GroupLeader::OutgoingCommand> GroupLeader::CommandsForAll(
    std::uint64_t own_rank, kernel::TimePoint now) {
  const bool is_leaving = this->stage == Stage::kIdle;
  if (is_leaving) this->must_send_leave = false;
  std::vector<OutgoingCommand> commands;
  commands.reserve(this->ranks.size());
  for (const auto& entry : this->ranks) {
    commands.push_back(
        {entry.first, is_leaving ? this->LeaveCommand()
                                 : this->CommandFor(entry.first, own_rank)});
    this->AddMap(commands.back(), now);
  }
  return commands;
}

std::vector<std::pair<kernel::EventId, kernel::EventFields>>
GroupLeader::TakeEvents() {
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> taken;
  taken.swap(this->events);
  return taken;
}

}  // namespace banyanlane::experts
