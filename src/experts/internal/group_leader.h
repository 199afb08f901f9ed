#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "experts/internal/demand_estimator.h"
#include "experts/internal/equal_share_planner.h"
#include "kernel/event_log.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Timeouts and thresholds of a GroupLeader.
struct GroupLeaderLimits {
  MapBounds bounds;
  /// A rank whose last status is older than this counts as missing.
  kernel::Millis max_status_age{900};
  /// The leader cancels or abandons an attempt if following, preparing, holding
  /// or arming exceeds its timeout.
  kernel::Millis follow_timeout{1'500};
  kernel::Millis prepare_timeout{5'000};
  /// A rank that still refuses a version after this time has already received a
  /// higher one.
  kernel::Millis refusal_timeout{400};
  kernel::Millis hold_timeout{800};
  kernel::Millis arm_timeout{1'500};
  /// Interval at which the last commands are sent again.
  kernel::Millis repeat_period{100};
  kernel::Millis plan_period{100};
  /// Fraction of the planned map's step time that another map must save to
  /// replace it while the ranks are copying weights.
  double min_replan_saving = 0.15;
  /// Time without planning after a cancelled attempt.
  kernel::Millis cancel_pause{600};
  /// Time without planning after ranks were found to follow another leader;
  /// longer than a lease.
  kernel::Millis step_down_pause{1'400};
  /// Fraction of the current step time that a new map must save.
  double min_saving = 0.06;
  /// Number of expert selections that must have been counted before a map is
  /// planned.
  double min_selections = 4'000;
};

/// Leads the ranks of a group through switches of its expert map. Does no I/O;
/// not thread-safe.
///
/// A switch needs every rank. All ranks follow one leader and copy the weights.
/// The leader's own rank then keeps the group from beginning a certain step
/// while all ranks arm for that step. The group is released once all ranks are
/// armed, or once all ranks can no longer switch to the new map. Decisions rest
/// on what the ranks report, so that a leader that takes over can finish a
/// switch that another one began.
class GroupLeader {
 public:
  /// @param name name of this incarnation of the process; no other process or
  /// incarnation has the same.
  /// @param seed seed for the random parts of versions and fencing tokens.
  GroupLeader(const GroupLeaderLimits& limits, std::string name,
              std::uint64_t seed);

  /// Sets bounds on the maps that are planned.
  /// @param max_experts_per_rank experts that a rank can hold in a layer;
  /// nothing is planned while it is 0.
  /// @param max_new_experts_per_rank experts that a rank may copy for one layer
  /// in one switch.
  void SetBounds(std::size_t max_experts_per_rank,
                 std::size_t max_new_experts_per_rank) {
    this->limits.bounds.max_experts_per_rank = max_experts_per_rank;
    this->limits.bounds.max_new_experts_per_rank = max_new_experts_per_rank;
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

  /// Returns whether an attempt to switch or to undo a switch is in progress.
  bool IsAttemptActive() const { return this->stage != Stage::kIdle; }

 private:
  enum class Stage {
    kIdle,               ///< Plans maps; no attempt is in progress.
    kFollowing,          ///< Waits until all ranks follow this leader.
    kPreparing,          ///< Waits until all ranks have copied the weights.
    kHolding,            ///< Waits until the own rank holds the group.
    kArming,             ///< Waits until all ranks are armed.
    kReleasing,          ///< Waits until no rank holds the group.
    kSwitching,          ///< Waits until no rank is armed any longer.
    kAbandoningHolders,  ///< Ranks that hold the group undo the switch first.
    kAbandoningAll,      ///< All ranks undo the switch.
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
  std::uint64_t NextVersion();
  bool HasUnfinishedSwitch() const;

  void AdvanceIdle(kernel::TimePoint now);
  void Plan(kernel::TimePoint now);
  /// Replaces the planned map while weights are being copied, if demand has
  /// changed.
  void Replan(kernel::TimePoint now);
  void BeginAttempt(kernel::TimePoint now);
  void AdvanceFromFollowing(kernel::TimePoint now);
  void ChooseStep(std::uint64_t own_rank, kernel::TimePoint now);
  void Advance(std::uint64_t own_rank, kernel::TimePoint now);
  void AdvanceHolding(std::uint64_t own_rank, kernel::TimePoint now);
  void Abandon(std::string_view reason, kernel::TimePoint now);
  void CancelAttempt(std::string_view reason, kernel::TimePoint now);
  void EnterStage(Stage next, kernel::TimePoint now);
  void RaiseFencingToken();
  bool HasTimedOut(kernel::Millis timeout, kernel::TimePoint now) const;
  void UpdateMeanStepTime(kernel::TimePoint now);
  void UpdateMeanArmTime(kernel::TimePoint now);

  link::SwitchCommand CommandFor(std::uint64_t rank,
                                 std::uint64_t own_rank) const;
  /// Returns a command after which a rank may follow any leader.
  link::SwitchCommand LeaveCommand() const;
  std::vector<OutgoingCommand> CommandsForAll(std::uint64_t own_rank);
  std::uint64_t RandomBelow(std::uint64_t limit);

  bool IsRefused(std::uint64_t version) const;
  /// Chooses a higher version to undo the switch with if ranks refuse the
  /// current one.
  void RenewAbandonVersion(kernel::TimePoint now);
  bool IsAbandoned(const link::RankStatus& status) const;
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
  kernel::TimePoint commands_sent_at;
  kernel::TimePoint next_plan_at;
  bool must_send = false;
  bool must_send_leave = false;  ///< The ranks must be freed to follow others.
  std::uint64_t fencing_token = 0;
  std::uint64_t highest_fencing_token = 0;
  std::uint64_t sequence = 0;
  std::uint64_t target_version = 0;  ///< Version of the map to switch to.
  std::uint64_t switch_step = 0;     ///< Step at whose beginning it is used.
  ExpertMap current_map;
  std::optional<ExpertMap> planned_map;
  /// Version with the content of the current map. Ranks that have prepared it
  /// refuse to arm lower versions.
  std::uint64_t abandon_version = 0;

  double mean_step_ms = 60;  ///< Moving mean of the duration of a step.
  double mean_arm_ms = 30;   ///< Moving mean of the duration of arming.
  std::uint64_t measured_step = 0;
  kernel::TimePoint measured_at;
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> events;
};

}  // namespace banyanlane::experts
