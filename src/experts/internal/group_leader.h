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

/// How a lead changes maps, and when it pays.
struct GroupLeaderLimits {
  MapBounds bounds;
  /// Statuses older than this say nothing any more.
  kernel::Millis max_status_age{900};
  /// Ranks that do not follow, or hold, or arm within these make the lead give
  /// the attempt up.
  kernel::Millis follow_timeout{1'500};
  kernel::Millis prepare_timeout{5'000};
  /// A rank that refuses a version for this long has had a higher one.
  kernel::Millis refusal_timeout{400};
  kernel::Millis hold_timeout{800};
  kernel::Millis arm_timeout{1'500};
  /// Commands are repeated after this.
  kernel::Millis repeat_period{100};
  kernel::Millis plan_period{100};
  /// Part of the time that another map must save over the planned one, for the
  /// ranks to copy for that one instead.
  double min_replan_saving = 0.15;
  /// After an attempt that was given up.
  kernel::Millis cancel_pause{600};
  /// After ranks were found to follow another lead: longer than a lease.
  kernel::Millis step_down_pause{1'400};
  /// Part of the time that a new map must save.
  double min_saving = 0.06;
  /// Choices that must have been counted before a map is planned.
  double min_selections = 4'000;
};

/// Decisions of the process that leads a group through changes of its map.
/// I/O-free; not thread-safe.
///
/// A change needs every rank: all follow one lead, all hold the weights, and
/// while one rank keeps the group from beginning a step, all arm for that step.
/// Only then, or after all have made the new map impossible, is the group
/// released. What ranks report decides, so a lead that takes over finishes what
/// another began.
class GroupLeader {
 public:
  /// @param name of this process, unlike any other, also of an earlier life.
  GroupLeader(const GroupLeaderLimits& limits, std::string name,
              std::uint64_t seed);

  /// Sets what maps may look like. Nothing is planned while `places` is 0.
  void SetBounds(std::size_t max_experts_per_layer,
                 std::size_t max_copies_per_layer) {
    this->limits.bounds.max_experts_per_layer = max_experts_per_layer;
    this->limits.bounds.max_copies_per_layer = max_copies_per_layer;
  }

  void OnStatus(const link::RankStatus& status, kernel::TimePoint now);
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// A command for the agent of a rank.
  struct OutgoingCommand {
    std::uint64_t rank = 0;
    link::SwitchCommand command;
  };

  /// Returns what to send now. @param own_rank rank of this process; its agent
  /// keeps the group from beginning a step.
  std::vector<OutgoingCommand> OnTick(std::uint64_t own_rank,
                                      kernel::TimePoint now);

  /// Returns log events since the last call.
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> TakeEvents();

  /// Returns whether an attempt is under way.
  bool IsAttemptActive() const { return this->stage != Stage::kIdle; }

 private:
  enum class Stage {
    kIdle,
    kFollowing,
    kPreparing,
    kHolding,
    kArming,
    kReleasing,
    kSwitching,
    kAbandoningHolders,  ///< Undoes the change at the ranks that hold the
                         ///< group.
    kAbandoningAll,      ///< Undoes it at all others.
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
  /// Plans anew while weights are copied, if demand has changed.
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
  /// Returns a command that frees a rank from this lead.
  link::SwitchCommand LeaveCommand() const;
  std::vector<OutgoingCommand> CommandsForAll(std::uint64_t own_rank);
  std::uint64_t RandomBelow(std::uint64_t limit);

  bool IsRefused(std::uint64_t version) const;
  /// Takes a higher version for the undoing when ranks refuse the present one.
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
  bool must_send_leave = false;  ///< The ranks are to obey others.
  std::uint64_t fencing_token = 0;
  std::uint64_t highest_fencing_token = 0;
  std::uint64_t sequence = 0;
  std::uint64_t target_version = 0;  ///< Of the map that is changed to.
  std::uint64_t switch_step = 0;     ///< At which it is changed to.
  ExpertMap current_map;
  std::optional<ExpertMap> planned_map;
  std::uint64_t abandon_version = 0;

  double mean_step_ms = 60;  ///< Moving mean of a pass's duration.
  double mean_arm_ms = 30;   ///< Moving mean of the time that arming takes.
  std::uint64_t measured_step = 0;
  kernel::TimePoint measured_at;
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> events;
};

}  // namespace banyanlane::experts
