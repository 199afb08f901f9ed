#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "experts/internal/demand_estimator.h"
#include "experts/internal/map_sender.h"
#include "experts/internal/switch_planner.h"
#include "kernel/event_log.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Timeouts and thresholds of a GroupLeader.
struct GroupLeaderLimits {
  SwitchPlannerLimits planner;
  MapSenderLimits maps;
  /// A rank whose last status is older than this counts as missing.
  kernel::Millis max_status_age{900};
  /// The attempt is cancelled if not all ranks follow the leader within this
  /// time.
  kernel::Millis follow_timeout{1'500};
  /// The attempt is cancelled if not all ranks have prepared the planned map
  /// within this time.
  kernel::Millis prepare_timeout{5'000};
  /// If a rank still refuses to prepare a version after this time, the leader
  /// assumes that the rank has received a higher one, and chooses a new one.
  kernel::Millis refusal_timeout{400};
  /// The switch is abandoned if the leader's own rank does not hold the group
  /// within this time.
  kernel::Millis hold_timeout{800};
  /// The switch is abandoned if not all ranks are armed within this time.
  kernel::Millis arm_timeout{1'500};
  /// Time after which the last commands are sent again while an attempt is in
  /// progress.
  kernel::Millis repeat_period{100};
  /// Minimum time between two calculations of a map.
  kernel::Millis plan_period{100};
  /// Time after a cancelled attempt before the next one can begin.
  kernel::Millis cancel_pause{600};
  /// Time before the next attempt can begin after a rank was found to follow
  /// another leader; longer than RankAgentLimits::lease.
  kernel::Millis step_down_pause{1'400};
  /// Number of expert selections that must have been counted before a map is
  /// planned.
  double min_selections = 4'000;
};

/// Leads the ranks of a group through switches of its expert map. Does no I/O;
/// not thread-safe.
///
/// A rank prepares a map by copying the weights that the map needs. A rank that
/// is armed for a step switches to the prepared map at the beginning of that
/// step. A rank that holds the group keeps it from beginning a step.
///
/// All ranks must switch at the same step. First, all of them follow this
/// leader and prepare the new map. The leader's own rank then holds the group
/// before a certain step while all ranks arm for that step. Once all are armed,
/// the hold is released.
///
/// An attempt is cancelled if not all ranks follow or prepare in time, or if
/// one follows another leader: the ranks then leave this leader. A switch is
/// abandoned if holding or arming takes too long: each rank disarms and
/// prepares the current map under a higher version, so that it can no longer
/// arm the new map. Then the hold is released.
///
/// The leader decides by what the ranks report. A new leader can therefore
/// finish or abandon a switch that another one began.
class GroupLeader {
 public:
  /// @param name unique name of this incarnation of the process.
  /// @param seed seed for the random parts of versions and fencing tokens.
  GroupLeader(const GroupLeaderLimits& limits, std::string name,
              std::uint64_t seed);

  /// Sets bounds on the maps that are planned.
  /// @param max_experts_per_rank experts that a rank can hold in a layer;
  /// nothing is planned while it is 0.
  /// @param max_new_experts_per_rank experts that a rank may copy for one layer
  /// in one switch.
  /// @param copy_ms time in which a rank copies one expert, in milliseconds.
  void SetBounds(std::size_t max_experts_per_rank,
                 std::size_t max_new_experts_per_rank, double copy_ms) {
    MapBounds& bounds = this->limits.planner.bounds;
    bounds.max_experts_per_rank = max_experts_per_rank;
    bounds.max_new_experts_per_rank = max_new_experts_per_rank;
    this->copy_ms = copy_ms;
  }

  void OnStatus(const link::RankStatus& status, kernel::TimePoint now);
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// A command and the rank whose agent it is for.
  struct OutgoingCommand {
    std::uint64_t rank = 0;
    link::SwitchCommand command;
  };

  /// Advances the current attempt, or begins one, and returns the commands to
  /// send now.
  /// @param own_rank rank of this process; its agent keeps the group from
  /// beginning a step.
  std::vector<OutgoingCommand> OnTick(std::uint64_t own_rank,
                                      kernel::TimePoint now);

  /// Returns the log events since the last call.
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> TakeEvents();

  /// Returns whether an attempt to switch is in progress, or the abandonment of
  /// one.
  bool IsAttemptActive() const { return this->stage != Stage::kIdle; }

 private:
  enum class Stage {
    kIdle,  ///< Plans maps; no attempt is in progress.
    /// Waits until all ranks follow this leader, to settle a switch that an
    /// earlier attempt left unfinished.
    kFollowing,
    /// Waits until all ranks follow this leader and have prepared the map.
    kPreparing,
    kHolding,    ///< Waits until the own rank holds the group.
    kArming,     ///< Waits until all ranks are armed.
    kReleasing,  ///< Waits until no rank holds the group.
    /// Waits until no rank is armed. After an abandoned switch, none is.
    kSwitching,
    /// Waits until the ranks that hold the group have abandoned the switch.
    kAbandoningHolders,
    /// Waits until all ranks have abandoned the switch.
    kAbandoningAll,
  };
  struct RankState {
    link::RankStatus status;
    kernel::TimePoint received_at;
  };

  bool IsGroupComplete(kernel::TimePoint now) const;
  template <typename Predicate>
  bool AllRanks(Predicate predicate) const;
  template <typename Predicate>
  bool AnyRank(Predicate predicate) const;
  std::optional<ExpertMap> CurrentMap() const;
  RankSlowdowns Slowdowns() const;
  std::uint64_t HighestVersion() const;
  /// Returns a version for a map that the ranks are to prepare next.
  std::uint64_t NextVersion();
  /// Returns whether a rank is armed or holds the group.
  bool HasUnfinishedSwitch() const;

  void AdvanceIdle(kernel::TimePoint now);
  void Plan(kernel::TimePoint now);
  /// Plans a map for any demand if the group has no requests.
  void PlanWhileIdle(kernel::TimePoint now);
  /// Begins an attempt to switch to the map of `next`.
  void BeginSwitch(SwitchPlan next, kernel::TimePoint now);
  void SetPlan(SwitchPlan next, kernel::TimePoint now);
  /// Replaces the planned map while weights are being copied, if demand has
  /// shifted since it was planned and another map is worth the time of a new
  /// switch.
  void Replan(kernel::TimePoint now);
  SwitchTimes TimesOfSwitches(kernel::TimePoint now) const;
  void UpdateMeanOverhead(kernel::TimePoint now);
  void BeginAttempt(kernel::TimePoint now);
  /// Returns whether all ranks follow the current attempt.
  bool IsFollowedByAll() const;
  void AdvanceFromFollowing(kernel::TimePoint now);
  void AdvancePreparing(std::uint64_t own_rank, kernel::TimePoint now);
  /// Chooses the step to switch at, and begins to hold the group before it.
  void BeginHolding(std::uint64_t own_rank, kernel::TimePoint now);
  void Advance(std::uint64_t own_rank, kernel::TimePoint now);
  void AdvanceHolding(std::uint64_t own_rank, kernel::TimePoint now);
  /// Reports the end of a switch, with the time spent in each stage.
  void ReportMapChanged(kernel::TimePoint now);
  void Abandon(std::string_view reason, kernel::TimePoint now);
  void CancelAttempt(std::string_view reason, kernel::TimePoint now);
  void EnterStage(Stage next, kernel::TimePoint now);
  void RaiseFencingToken();
  bool HasTimedOut(kernel::Millis timeout, kernel::TimePoint now) const;
  void UpdateMeanStepTime(kernel::TimePoint now);
  void UpdateMeanArmTime(kernel::TimePoint now);

  link::SwitchCommand CommandFor(std::uint64_t rank,
                                 std::uint64_t own_rank) const;
  /// Returns a command after which a rank may follow any leader. CommandFor
  /// uses it as the base of all other commands.
  link::SwitchCommand LeaveCommand() const;
  std::vector<OutgoingCommand> CommandsForAll(std::uint64_t own_rank,
                                              kernel::TimePoint now);
  /// Returns commands for the ranks whose map can be sent now.
  std::vector<OutgoingCommand> CommandsWithMaps(std::uint64_t own_rank,
                                                kernel::TimePoint now);
  /// Returns the version that the ranks are to prepare, or nothing if none.
  std::optional<std::uint64_t> VersionToPrepare() const;
  /// Adds the map to a command that needs it, if it is due.
  void AddMap(OutgoingCommand& outgoing, kernel::TimePoint now);
  /// Returns the minimum time between two calculations of a map.
  kernel::Millis PlanPeriod() const;
  /// Returns the time after which commands are repeated.
  kernel::Millis RepeatPeriod() const;
  std::uint64_t RandomBelow(std::uint64_t limit);

  /// Returns whether a rank has refused to prepare `version`.
  bool IsRefused(std::uint64_t version) const;
  /// Chooses a new abandon_version, and begins with the holders again, if a
  /// rank still refuses the current one after refusal_timeout.
  void RenewAbandonVersion(kernel::TimePoint now);
  /// Returns whether the rank is disarmed and has prepared abandon_version.
  bool HasAbandoned(const link::RankStatus& status) const;
  /// Returns whether a rank follows another leader. An attempt that began now
  /// would fail, and could make one of the other leader fail too.
  bool HasOtherLeader() const;
  /// Returns whether a rank follows a leader with a higher fencing token.
  bool IsSuperseded() const;

  GroupLeaderLimits limits;
  std::string name;
  std::minstd_rand random;
  DemandEstimator demand;
  std::string group;
  std::uint64_t epoch = 0;
  std::uint64_t size = 0;
  std::map<std::uint64_t, RankState> ranks;

  Stage stage = Stage::kIdle;
  kernel::TimePoint stage_entered_at;
  /// Time spent in each stage since the attempt began.
  std::map<Stage, kernel::Millis> stage_times;
  kernel::TimePoint commands_sent_at;
  kernel::TimePoint next_plan_at;
  /// Time before which no attempt begins, after one was cancelled.
  kernel::TimePoint paused_until;
  /// Shifts of demand before the last calculation of a map.
  int considered_shifts = 0;
  bool must_send = false;
  /// The ranks must receive a LeaveCommand, so that they may follow others.
  bool must_send_leave = false;
  std::uint64_t fencing_token = 0;  ///< Token of the last attempt.
  /// Highest token that this leader has chosen or a rank has reported.
  std::uint64_t highest_fencing_token = 0;
  std::uint64_t sequence = 0;
  /// Version under which the ranks prepare the planned map.
  std::uint64_t target_version = 0;
  /// Step at whose beginning the ranks switch to the planned map.
  std::uint64_t switch_step = 0;
  VersionedMap current;            ///< Map in use.
  std::optional<SwitchPlan> plan;  ///< Switch that is being made.
  /// Time at which the attempt began, or at which its plan was replaced.
  kernel::TimePoint planned_at;
  bool is_plan_replaced = false;  ///< The plan has replaced another one.
  /// Shifts of demand before the plan, or nothing if it is not for a certain
  /// demand.
  std::optional<int> planned_after_shifts;
  /// Version under which the ranks prepare the current map when a switch is
  /// abandoned. Ranks that have prepared it can't arm lower versions any more.
  std::uint64_t abandon_version = 0;

  MapSender map_sender;

  double copy_ms = 0;  ///< Time in which a rank copies one expert.
  /// Moving mean of the time that a switch takes besides copying.
  double mean_overhead_ms = 250;
  double mean_step_ms = 60;  ///< Moving mean of the duration of a step.
  double mean_arm_ms = 30;   ///< Moving mean of the duration of arming.
  /// Highest step of any rank at the last measurement of step durations.
  std::uint64_t measured_step = 0;
  kernel::TimePoint measured_at;  ///< Time of that measurement.
  /// Time at which a new step was last seen.
  kernel::TimePoint stepped_at;
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> events;
};

}  // namespace banyanlane::experts
