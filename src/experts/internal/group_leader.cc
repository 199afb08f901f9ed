#include "experts/internal/group_leader.h"

#include <algorithm>
#include <cmath>

#include "experts/internal/map_codec.h"

namespace banyanlane::experts {
namespace {

using kernel::EventId;
using link::RankStatus;
using link::SwitchGoal;

/// Versions and fences of two leads that know nothing of one another differ by
/// chance: one in this many is the same.
constexpr std::uint64_t kChance = std::uint64_t{1} << 20U;
/// Part of a layer's time that a single change to its map must save.
constexpr double kLeastGainOfChange = 0.015;
constexpr double kStepWeightOfNew = 0.3;
constexpr double kHundred = 100;
/// Ranks below this pace are planned for as usual, so that jitter moves
/// nothing.
constexpr double kUsualPace = 1.2;
constexpr double kArmWeightOfNew = 0.4;
constexpr kernel::Millis kStepSpan{250};
constexpr double kLongestStepMillis = 2'000;

}  // namespace

GroupLead::GroupLead(const GroupLeadLimits& limits, std::string name,
                     std::uint64_t seed)
    : limits(limits),
      name(std::move(name)),
      random(seed),
      demand(DemandLimits{}) {}

std::uint64_t GroupLead::Random(std::uint64_t below) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      below - 1)(this->random);
}

void GroupLead::OnStatus(const RankStatus& status, kernel::TimePoint now) {
  this->highest_fence = std::max(this->highest_fence, status.highest_fence);
  const bool formed_anew =
      status.group != this->group || status.epoch > this->epoch;
  if (formed_anew) {
    this->group = status.group;
    this->epoch = status.epoch;
    this->ranks.clear();
    this->demand.Forget();
    this->Enter(Stage::kWatching, now);
  }
  if (status.epoch < this->epoch) return;
  this->size = status.size;
  this->ranks[status.rank] = Known{status, now};
}

void GroupLead::OnCounts(const link::ExpertCounts& counts,
                         kernel::TimePoint now) {
  if (counts.group == this->group && counts.epoch == this->epoch)
    this->demand.OnCounts(counts, now);
}

bool GroupLead::IsComplete(kernel::TimePoint now) const {
  if (this->size == 0 || this->ranks.size() != this->size) return false;
  return this->All([this, now](const RankStatus& status) {
    const Known& known = this->ranks.at(status.rank);
    return status.open && status.rank < this->size &&
           now - known.heard_at <= this->limits.fresh;
  });
}

template <typename Predicate>
bool GroupLead::All(Predicate predicate) const {
  return std::all_of(this->ranks.begin(), this->ranks.end(),
                     [&predicate](const auto& entry) {
                       return predicate(entry.second.status);
                     });
}

template <typename Predicate>
bool GroupLead::Any(Predicate predicate) const {
  return std::any_of(this->ranks.begin(), this->ranks.end(),
                     [&predicate](const auto& entry) {
                       return predicate(entry.second.status);
                     });
}

std::optional<ExpertMap> GroupLead::CurrentMap() const {
  ExpertMap map;
  std::optional<std::uint64_t> in_use;
  for (const auto& [rank, known] : this->ranks) {
    const auto experts = UnflattenExperts(known.status.experts);
    if (experts.empty()) return std::nullopt;
    if (in_use && *in_use != known.status.map_version) return std::nullopt;
    in_use = known.status.map_version;
    if (map.empty()) map.resize(experts.size());
    if (map.size() != experts.size()) return std::nullopt;
    for (std::size_t layer = 0; layer < experts.size(); ++layer)
      map[layer].push_back(experts[layer]);
  }
  return map;
}

RankPaces GroupLead::Paces() const {
  RankPaces paces;
  for (const auto& entry : this->ranks) {
    const double pace =
        static_cast<double>(entry.second.status.pace) / kHundred;
    paces.push_back(pace > kUsualPace ? pace : 1.0);
  }
  return paces;
}

std::uint64_t GroupLead::HighestVersion() const {
  std::uint64_t highest = std::max(this->version, this->abandon_version);
  for (const auto& [rank, known] : this->ranks) {
    const RankStatus& status = known.status;
    highest = std::max({highest, status.map_version, status.prepared_version,
                        status.armed_version});
  }
  return highest;
}

std::uint64_t GroupLead::NextVersion() {
  // Above what another lead may have given out unseen.
  return this->HighestVersion() + kChance + this->Random(kChance);
}

bool GroupLead::IsUnfinished() const {
  return this->Any([](const RankStatus& status) {
    return status.armed_version != 0 || status.held_step != 0;
  });
}

void GroupLead::Enter(Stage next, kernel::TimePoint now) {
  this->stage = next;
  this->entered_at = now;
  this->must_send = true;
}

bool GroupLead::TookLonger(kernel::Millis bound, kernel::TimePoint now) const {
  return now - this->entered_at > bound;
}

void GroupLead::MeasureSteps(kernel::TimePoint now) {
  std::uint64_t newest = 0;
  for (const auto& entry : this->ranks)
    newest = std::max(newest, entry.second.status.step);
  const auto span = now - this->measured_at;
  if (span < kStepSpan) return;
  if (newest > this->measured_step && this->measured_step > 0) {
    const double millis =
        std::chrono::duration<double, std::milli>(span).count() /
        static_cast<double>(newest - this->measured_step);
    this->step_ms += kStepWeightOfNew *
                     (std::min(millis, kLongestStepMillis) - this->step_ms);
  }
  this->measured_step = newest;
  this->measured_at = now;
}

void GroupLead::MeasureArming(kernel::TimePoint now) {
  const double millis =
      std::chrono::duration<double, std::milli>(now - this->entered_at).count();
  this->arm_ms += kArmWeightOfNew * (millis - this->arm_ms);
}

void GroupLead::Watch(kernel::TimePoint now) {
  if (!this->IsComplete(now) || now < this->next_plan) return;
  this->next_plan = now + this->limits.plan_period;
  const auto map = this->CurrentMap();
  if (!map) return;
  this->current = *map;
  if (this->IsUnfinished()) {
    this->planned.reset();
    this->BeginAttempt(now);
    return;
  }
  this->Plan(now);
}

void GroupLead::Plan(kernel::TimePoint now) {
  const bool may_plan = this->limits.bounds.places > 0 &&
                        this->demand.Total() >= this->limits.least_choices;
  if (!may_plan) return;
  const auto load = this->demand.Load(this->current.size());
  if (!load) return;
  const RankPaces paces = this->Paces();
  const EvenPlanner planner(this->limits.bounds, kLeastGainOfChange);
  const ExpertMap better = planner.Improve(this->current, *load, paces);
  const double before = MapTime(this->current, *load, paces);
  const double after = MapTime(better, *load, paces);
  if (before <= 0 || (before - after) / before < this->limits.least_saving)
    return;
  const double least = LeastMapTime(*load, paces);
  this->reports.emplace_back(
      EventId::kMapPlanned,
      kernel::EventFields{
          {"group", this->group},
          {"skew", std::to_string(before / least)},
          {"planned_skew", std::to_string(after / least)},
          {"copies", std::to_string(CopiesBetween(this->current, better))},
          {"step_ms", std::to_string(this->step_ms)}});
  this->planned = better;
  this->BeginAttempt(now);
}

void GroupLead::RaiseFence() {
  constexpr std::uint64_t kFencesPerAttempt = 2;
  this->fence =
      (this->highest_fence / kFencesPerAttempt + 1 + this->Random(kChance)) *
      kFencesPerAttempt;
  this->highest_fence = this->fence;
  this->number = 0;
  this->must_send = true;
}

void GroupLead::Replan(kernel::TimePoint now) {
  if (now < this->next_plan) return;
  this->next_plan = now + this->limits.plan_period;
  const auto load = this->demand.Load(this->current.size());
  if (!load) return;
  const RankPaces paces = this->Paces();
  const EvenPlanner planner(this->limits.bounds, kLeastGainOfChange);
  ExpertMap better = planner.Improve(this->current, *load, paces);
  const double planned_time = MapTime(*this->planned, *load, paces);
  const double better_time = MapTime(better, *load, paces);
  if (better_time > planned_time * (1 - this->limits.replan_saving)) return;
  this->planned = std::move(better);
  this->version = this->NextVersion();
  this->Enter(Stage::kPreparing, now);
}

void GroupLead::BeginAttempt(kernel::TimePoint now) {
  this->RaiseFence();
  this->Enter(Stage::kFollowing, now);
}

void GroupLead::AfterFollowing(kernel::TimePoint now) {
  if (!this->IsUnfinished()) {
    if (!this->planned) {
      this->GiveUp("nothing left to finish", now);
      return;
    }
    this->version = this->NextVersion();
    this->Enter(Stage::kPreparing, now);
    return;
  }
  const bool is_held =
      this->Any([](const RankStatus& status) { return status.held_step != 0; });
  if (is_held) {
    // Whether the other lead released the group can't be known, so nothing is
    // armed any more before all ranks have made its change impossible.
    this->Abandon("another lead's change was left unfinished", now);
    return;
  }
  // A group is released when all ranks are armed: the change takes its course.
  this->Enter(Stage::kSettling, now);
}

void GroupLead::ChooseStep(std::uint64_t own_rank, kernel::TimePoint now) {
  // Arming that outlasts the lead holds the group up; a longer lead keeps it
  // on the old map for longer.
  const auto lead =
      static_cast<std::uint64_t>(this->arm_ms / std::max(1.0, this->step_ms));
  const std::uint64_t reached = this->ranks.at(own_rank).status.step;
  // Never the same step twice, so that a late release of one attempt can't end
  // the next one's hold.
  this->step = std::max(reached + 1 + lead, this->step + 1);
  this->Enter(Stage::kHolding, now);
}

void GroupLead::AdvanceHolding(std::uint64_t own_rank, kernel::TimePoint now) {
  const RankStatus& own = this->ranks.at(own_rank).status;
  if (own.held_step == this->step) {
    this->Enter(Stage::kArming, now);
    return;
  }
  if (this->TookLonger(this->limits.hold, now)) {
    this->Abandon("the group could not be held", now);
    return;
  }
  // The pass began before the hold: nothing has been armed for it.
  if (own.step >= this->step) this->ChooseStep(own_rank, now);
}

void GroupLead::Advance(std::uint64_t own_rank, kernel::TimePoint now) {
  switch (this->stage) {
    case Stage::kWatching:
      this->Watch(now);
      return;
    case Stage::kFollowing:
      if (this->All([this](const RankStatus& status) {
            return status.fence == this->fence;
          }) &&
          this->IsComplete(now)) {
        this->AfterFollowing(now);
      } else if (this->TookLonger(this->limits.follow, now)) {
        this->GiveUp("not all ranks follow", now);
      }
      return;
    case Stage::kPreparing:
      if (this->All([this](const RankStatus& status) {
            return status.prepared_version == this->version;
          })) {
        this->ChooseStep(own_rank, now);
      } else if (this->TookLonger(this->limits.refused, now) &&
                 this->IsRefused(this->version)) {
        this->version = this->NextVersion();
        this->Enter(Stage::kPreparing, now);
      } else if (this->TookLonger(this->limits.prepare, now)) {
        this->GiveUp("weights were not copied in time", now);
      } else {
        this->Replan(now);
      }
      return;
    case Stage::kHolding:
      this->AdvanceHolding(own_rank, now);
      return;
    case Stage::kArming:
      if (this->All([this](const RankStatus& status) {
            return status.fence == this->fence &&
                   status.armed_version == this->version &&
                   status.armed_step == this->step;
          })) {
        this->MeasureArming(now);
        this->Enter(Stage::kReleasing, now);
      } else if (this->TookLonger(this->limits.arm, now)) {
        this->MeasureArming(now);
        this->Abandon("not all ranks armed", now);
      }
      return;
    case Stage::kReleasing:
      if (!this->Any(
              [](const RankStatus& status) { return status.held_step != 0; })) {
        this->Enter(Stage::kSettling, now);
      }
      return;
    case Stage::kSettling:
      if (this->All([](const RankStatus& status) {
            return status.armed_version == 0;
          })) {
        this->reports.emplace_back(
            EventId::kMapChanged,
            kernel::EventFields{{"group", this->group},
                                {"version", std::to_string(this->version)},
                                {"step", std::to_string(this->step)}});
        this->planned.reset();
        this->next_plan = now;
        this->Enter(Stage::kWatching, now);
      }
      return;
    case Stage::kFencing:
      this->RenewAbandon(now);
      if (this->All([this](const RankStatus& status) {
            return status.held_step == 0 || this->IsAbandoned(status);
          })) {
        this->Enter(Stage::kAbandoning, now);
      }
      return;
    case Stage::kAbandoning:
      this->RenewAbandon(now);
      if (this->All([this](const RankStatus& status) {
            return this->IsAbandoned(status);
          })) {
        this->planned.reset();
        this->Enter(Stage::kReleasing, now);
      }
      return;
  }
}

void GroupLead::Abandon(std::string_view reason, kernel::TimePoint now) {
  this->abandon_version = this->NextVersion();
  this->reports.emplace_back(
      EventId::kMapAbandoned,
      kernel::EventFields{{"group", this->group},
                          {"version", std::to_string(this->version)},
                          {"step", std::to_string(this->step)},
                          {"reason", std::string(reason)}});
  this->Enter(Stage::kFencing, now);
}

bool GroupLead::IsRefused(std::uint64_t refused) const {
  return this->Any([refused](const RankStatus& status) {
    return status.refused_version == refused &&
           status.prepared_version != refused;
  });
}

void GroupLead::RenewAbandon(kernel::TimePoint now) {
  const bool must_renew = this->TookLonger(this->limits.refused, now) &&
                          this->IsRefused(this->abandon_version);
  if (!must_renew) return;
  this->abandon_version = this->NextVersion();
  this->Enter(Stage::kFencing, now);
}

bool GroupLead::IsAbandoned(const RankStatus& status) const {
  return status.armed_version == 0 &&
         status.prepared_version == this->abandon_version;
}

bool GroupLead::IsOutranked() const {
  return this->Any(
      [this](const RankStatus& status) { return status.fence > this->fence; });
}

void GroupLead::GiveUp(std::string_view reason, kernel::TimePoint now) {
  this->reports.emplace_back(
      EventId::kMapAbandoned,
      kernel::EventFields{{"group", this->group},
                          {"version", std::to_string(this->version)},
                          {"step", "none"},
                          {"reason", std::string(reason)}});
  this->planned.reset();
  this->must_leave = true;
  this->next_plan = now + this->limits.pause;
  this->Enter(Stage::kWatching, now);
}

link::SwitchCommand GroupLead::LeaveCommand() const {
  link::SwitchCommand command;
  command.lead = this->name;
  command.fence = this->fence;
  command.number = this->number;
  command.group = this->group;
  command.epoch = this->epoch;
  command.goal = SwitchGoal::kLeave;
  return command;
}

link::SwitchCommand GroupLead::CommandFor(std::uint64_t rank,
                                          std::uint64_t own_rank) const {
  link::SwitchCommand command = this->LeaveCommand();
  command.version = this->version;
  command.step = this->step;
  const bool is_own = rank == own_rank;
  switch (this->stage) {
    case Stage::kWatching:
    case Stage::kFollowing:
    case Stage::kSettling:
      command.goal = SwitchGoal::kFollow;
      break;
    case Stage::kPreparing:
      command.goal = SwitchGoal::kPrepare;
      command.map = FlattenMap(*this->planned);
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
    case Stage::kFencing:
    case Stage::kAbandoning: {
      const bool holds = this->ranks.at(rank).status.held_step != 0;
      const bool waits = this->stage == Stage::kFencing && !holds;
      command.goal = waits ? SwitchGoal::kFollow : SwitchGoal::kAbandon;
      command.version = this->abandon_version;
      command.map = FlattenMap(this->current);
      break;
    }
  }
  return command;
}

std::vector<GroupLead::Send> GroupLead::OnTick(std::uint64_t own_rank,
                                               kernel::TimePoint now) {
  this->MeasureSteps(now);
  if (this->ranks.count(own_rank) == 0) return {};
  if (this->stage != Stage::kWatching && this->IsOutranked()) {
    this->GiveUp("ranks follow another lead", now);
    this->next_plan = now + this->limits.step_down;
  }
  // An engine has refused this fence for a higher one that it has met: another
  // lead may have undone what this one has seen.
  const bool is_fenced =
      this->stage != Stage::kWatching && this->highest_fence > this->fence;
  if (is_fenced) this->BeginAttempt(now);
  this->Advance(own_rank, now);
  if (this->stage == Stage::kWatching && !this->must_leave) return {};
  const bool repeat = now - this->sent_at >= this->limits.repeat;
  if (!this->must_send && !repeat) return {};
  ++this->number;
  this->must_send = false;
  this->sent_at = now;
  return this->ToAll(own_rank);
}

std::vector<GroupLead::Send> GroupLead::ToAll(std::uint64_t own_rank) {
  const bool leaves = this->stage == Stage::kWatching;
  if (leaves) this->must_leave = false;
  std::vector<Send> sends;
  sends.reserve(this->ranks.size());
  for (const auto& entry : this->ranks) {
    sends.push_back(
        {entry.first, leaves ? this->LeaveCommand()
                             : this->CommandFor(entry.first, own_rank)});
  }
  return sends;
}

std::vector<std::pair<kernel::EventId, kernel::EventFields>>
GroupLead::TakeReports() {
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> taken;
  taken.swap(this->reports);
  return taken;
}

}  // namespace banyanlane::experts
