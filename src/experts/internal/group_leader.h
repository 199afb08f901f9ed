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
struct GroupLeadLimits {
  MapBounds bounds;
  /// Statuses older than this say nothing any more.
  kernel::Millis fresh{900};
  /// Ranks that do not follow, or hold, or arm within these make the lead give
  /// the attempt up.
  kernel::Millis follow{1'500};
  kernel::Millis prepare{5'000};
  /// A rank that refuses a version for this long has had a higher one.
  kernel::Millis refused{400};
  kernel::Millis hold{800};
  kernel::Millis arm{1'500};
  /// Commands are repeated after this.
  kernel::Millis repeat{100};
  kernel::Millis plan_period{100};
  /// Part of the time that another map must save over the planned one, for the
  /// ranks to copy for that one instead.
  double replan_saving = 0.15;
  /// After an attempt that was given up.
  kernel::Millis pause{600};
  /// After ranks were found to follow another lead: longer than a lease.
  kernel::Millis step_down{1'400};
  /// Part of the time that a new map must save.
  double least_saving = 0.06;
  /// Choices that must have been counted before a map is planned.
  double least_choices = 4'000;
};

/// Decisions of the process that leads a group through changes of its map.
/// I/O-free; not thread-safe.
///
/// A change needs every rank: all follow one lead, all hold the weights, and
/// while one rank keeps the group from beginning a step, all arm for that step.
/// Only then, or after all have made the new map impossible, is the group
/// released. What ranks report decides, so a lead that takes over finishes what
/// another began.
class GroupLead {
 public:
  /// @param name of this process, unlike any other, also of an earlier life.
  GroupLead(const GroupLeadLimits& limits, std::string name,
            std::uint64_t seed);

  /// Sets what maps may look like. Nothing is planned while `places` is 0.
  void SetBounds(std::size_t places, std::size_t spare) {
    this->limits.bounds.places = places;
    this->limits.bounds.spare = spare;
  }

  void OnStatus(const link::RankStatus& status, kernel::TimePoint now);
  void OnCounts(const link::ExpertCounts& counts, kernel::TimePoint now);

  /// A command for the agent of a rank.
  struct Send {
    std::uint64_t rank = 0;
    link::SwitchCommand command;
  };

  /// Returns what to send now. @param own_rank rank of this process; its agent
  /// keeps the group from beginning a step.
  std::vector<Send> OnTick(std::uint64_t own_rank, kernel::TimePoint now);

  /// Returns log events since the last call.
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> TakeReports();

  /// Returns whether an attempt is under way.
  bool IsBusy() const { return this->stage != Stage::kWatching; }

 private:
  enum class Stage {
    kWatching,
    kFollowing,
    kPreparing,
    kHolding,
    kArming,
    kReleasing,
    kSettling,
    kFencing,     ///< Undoes the change at the ranks that hold the group.
    kAbandoning,  ///< Undoes it at all others.
  };
  struct Known {
    link::RankStatus status;
    kernel::TimePoint heard_at;
  };

  bool IsComplete(kernel::TimePoint now) const;
  template <typename Predicate>
  bool All(Predicate predicate) const;
  template <typename Predicate>
  bool Any(Predicate predicate) const;
  std::optional<ExpertMap> CurrentMap() const;
  RankPaces Paces() const;
  std::uint64_t HighestVersion() const;
  std::uint64_t NextVersion();
  bool IsUnfinished() const;

  void Watch(kernel::TimePoint now);
  void Plan(kernel::TimePoint now);
  /// Plans anew while weights are copied, if demand has changed.
  void Replan(kernel::TimePoint now);
  void BeginAttempt(kernel::TimePoint now);
  void AfterFollowing(kernel::TimePoint now);
  void ChooseStep(std::uint64_t own_rank, kernel::TimePoint now);
  void Advance(std::uint64_t own_rank, kernel::TimePoint now);
  void AdvanceHolding(std::uint64_t own_rank, kernel::TimePoint now);
  void Abandon(std::string_view reason, kernel::TimePoint now);
  void GiveUp(std::string_view reason, kernel::TimePoint now);
  void Enter(Stage next, kernel::TimePoint now);
  void RaiseFence();
  bool TookLonger(kernel::Millis bound, kernel::TimePoint now) const;
  void MeasureSteps(kernel::TimePoint now);
  void MeasureArming(kernel::TimePoint now);

  link::SwitchCommand CommandFor(std::uint64_t rank,
                                 std::uint64_t own_rank) const;
  /// Returns a command that frees a rank from this lead.
  link::SwitchCommand LeaveCommand() const;
  std::vector<Send> ToAll(std::uint64_t own_rank);
  std::uint64_t Random(std::uint64_t below);

  bool IsRefused(std::uint64_t refused) const;
  /// Takes a higher version for the undoing when ranks refuse the present one.
  void RenewAbandon(kernel::TimePoint now);
  bool IsAbandoned(const link::RankStatus& status) const;
  bool IsOutranked() const;

  GroupLeadLimits limits;
  std::string name;
  std::minstd_rand random;
  DemandWindow demand;
  std::string group;
  std::uint64_t epoch = 0;
  std::uint64_t size = 0;
  std::map<std::uint64_t, Known> ranks;

  Stage stage = Stage::kWatching;
  kernel::TimePoint entered_at;
  kernel::TimePoint sent_at;
  kernel::TimePoint next_plan;
  bool must_send = false;
  bool must_leave = false;  ///< The ranks are to obey others.
  std::uint64_t fence = 0;
  std::uint64_t highest_fence = 0;
  std::uint64_t number = 0;
  std::uint64_t version = 0;  ///< Of the map that is changed to.
  std::uint64_t step = 0;     ///< At which it is changed to.
  ExpertMap current;
  std::optional<ExpertMap> planned;
  std::uint64_t abandon_version = 0;

  double step_ms = 60;  ///< Moving mean of a pass's duration.
  double arm_ms = 30;   ///< Moving mean of the time that arming takes.
  std::uint64_t measured_step = 0;
  kernel::TimePoint measured_at;
  std::vector<std::pair<kernel::EventId, kernel::EventFields>> reports;
};

}  // namespace banyanlane::experts
