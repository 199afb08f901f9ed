#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>

#include "experts/internal/group_leader.h"
#include "experts/internal/leader_election.h"
#include "experts/internal/map_codec.h"
#include "experts/internal/rank_agent.h"

namespace banyanlane::experts {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr std::size_t kRanks = 3;
constexpr std::size_t kExperts = 6;
constexpr Millis kTick{5};

/// Simulated model engine of one rank with the behaviour that the platform
/// documents.
struct Engine {
  std::uint64_t map = 0;
  std::optional<std::uint64_t> prepared_version;
  std::uint64_t highest_version = 0;  ///< Highest version ordered to prepare.
  std::optional<ArmedMap> armed;
  std::optional<std::uint64_t> held_step;
  std::uint64_t fencing_token = 0;
  std::uint64_t copying_version = 0;
  TimePoint copied_at;
};

/// Faults that are injected in one run.
struct Faults {
  double late_order_ratio = 0;
  double kills_per_second = 0;
  double freezes_per_second = 0;
  bool two_leaders = false;
  bool has_idle_periods = false;
  /// Leaders are elected: a higher rank leads only while no lower one sends
  /// statuses.
  bool elects_leader = false;
  /// Rank 0 freezes often while it holds the group.
  bool holder_freezes = false;
};

/// Simulation of a group: engines, rank agents, leaders, links and a clock.
class Group {
 public:
  Group(const Faults& faults, std::uint64_t seed)
      : faults(faults), random(seed) {
    ExpertMap first(1);
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      this->Restart(rank);
      first[0].push_back({rank, rank + kRanks});
    }
    this->map_contents[0] = FlattenMap(first);
  }

  /// Runs the simulation for `length`.
  /// @return the first violation, or "".
  std::string Run(Millis length) {
    const TimePoint end = this->now + length;
    while (this->now < end && this->violation.empty()) this->Tick();
    return this->violation;
  }

  void StopFaults() {
    const bool elects_leader = this->faults.elects_leader;
    this->faults = Faults{};
    this->faults.elects_leader = elects_leader;
  }
  int MapChanges() const { return this->map_changes; }
  std::uint64_t StepCount() const { return this->step; }
  /// Returns the longest time from the end of a freeze of rank 0 to the next
  /// step.
  Millis MaxStall() const { return this->max_stall; }

 private:
  struct Process {
    std::unique_ptr<RankAgent> agent;
    std::unique_ptr<GroupLeader> leader;
    TimePoint frozen_until;
    TimePoint next_report;
    LeaderElection election{TimePoint{}};
  };
  struct Message {
    TimePoint at;
    std::size_t from;
    std::size_t to;
    std::uint64_t incarnation;
    link::Message message;
  };
  struct LateOrder {
    TimePoint at;
    std::size_t rank;
    FencedOrder order;
  };

  bool Occurs(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }
  Millis RandomMillis(int low, int high) {
    return Millis(std::uniform_int_distribution<int>(low, high)(this->random));
  }

  void Restart(std::size_t rank) {
    Process& process = this->processes[rank];
    process.agent = std::make_unique<RankAgent>(RankAgentLimits{});
    GroupLeaderLimits limits;
    limits.planner.bounds = {3, 2, 3};
    limits.min_selections = 10;
    process.leader = std::make_unique<GroupLeader>(
        limits, "lead" + std::to_string(++this->started_processes),
        this->random());
    process.election = LeaderElection(this->now);
    ++this->incarnation[rank];
  }

  bool IsLeader(std::size_t rank) {
    if (!this->faults.elects_leader)
      return rank == 0 || (this->faults.two_leaders && rank == 1);
    Process& process = this->processes[rank];
    return process.election.Decide(rank, process.leader->IsAttemptActive(),
                                   this->now);
  }

  void Tick() {
    this->now += kTick;
    this->BeginStep();
    for (Engine& engine : this->engines) this->FinishCopy(engine);
    this->ApplyLateOrders();
    this->InjectFaults();
    this->DeliverMessages();
    for (std::size_t rank = 0; rank < kRanks; ++rank) this->RunProcess(rank);
  }

  void FinishCopy(Engine& engine) const {
    if (engine.copying_version == 0 || this->now < engine.copied_at) return;
    engine.prepared_version = engine.copying_version;
    engine.copying_version = 0;
  }

  void BeginStep() {
    const bool is_idle =
        this->faults.has_idle_periods &&
        this->now.time_since_epoch() % std::chrono::seconds(7) <
            std::chrono::seconds(2);
    if (this->now < this->next_step_at || is_idle) return;
    const std::uint64_t next = this->step + 1;
    for (const Engine& engine : this->engines) {
      if (engine.held_step && *engine.held_step <= next) return;
    }
    const TimePoint resumed_at = this->processes[0].frozen_until;
    if (this->last_step_at < resumed_at && resumed_at < this->now)
      this->max_stall =
          std::max(this->max_stall,
                   std::chrono::duration_cast<Millis>(this->now - resumed_at));
    this->last_step_at = this->now;
    this->next_step_at = this->now + this->RandomMillis(30, 90);
    this->step = next;
    bool changed = false;
    for (Engine& engine : this->engines) {
      if (!engine.armed || engine.armed->step != next) continue;
      engine.map = engine.armed->version;
      engine.armed.reset();
      engine.prepared_version.reset();
      changed = true;
    }
    this->map_changes += changed ? 1 : 0;
    for (const Engine& engine : this->engines) {
      if (engine.map != this->engines[0].map)
        this->violation = "two maps in step " + std::to_string(next);
    }
  }

  OrderOutcome Apply(std::size_t rank, const FencedOrder& sent) {
    Engine& engine = this->engines[rank];
    if (sent.fencing_token < engine.fencing_token) return OrderOutcome::kFenced;
    engine.fencing_token = sent.fencing_token;
    const auto refused = OrderOutcome::kRefused;
    if (const auto* prepare = std::get_if<PrepareOrder>(&sent.order)) {
      if (prepare->version <= engine.highest_version || engine.armed)
        return refused;
      engine.highest_version = prepare->version;
      engine.prepared_version.reset();
      engine.copying_version = prepare->version;
      const std::uint64_t map_in_use = engine.map;
      this->map_contents[prepare->version] = FlattenMap(prepare->map);
      // Nothing is copied if the map has the content of the one in use.
      const bool is_same_map = this->map_contents[map_in_use] ==
                               this->map_contents[prepare->version];
      engine.copied_at =
          this->now + (is_same_map ? Millis(0) : this->RandomMillis(0, 300));
    }
    if (const auto* arm = std::get_if<ArmOrder>(&sent.order)) {
      if (engine.prepared_version != arm->version || this->step >= arm->step)
        return refused;
      engine.armed = ArmedMap{arm->version, arm->step};
    }
    if (const auto* disarm = std::get_if<DisarmOrder>(&sent.order)) {
      if (engine.map == disarm->version) return refused;
      if (engine.armed && engine.armed->version == disarm->version)
        engine.armed.reset();
    }
    if (const auto* hold = std::get_if<HoldOrder>(&sent.order)) {
      const bool other = engine.held_step && *engine.held_step != hold->step;
      if (other || this->step >= hold->step) return refused;
      engine.held_step = hold->step;
    }
    if (const auto* release = std::get_if<ReleaseOrder>(&sent.order)) {
      if (engine.held_step == release->step) engine.held_step.reset();
    }
    return OrderOutcome::kDone;
  }

  void ApplyLateOrders() {
    for (std::size_t i = 0; i < this->late_orders.size();) {
      if (this->late_orders[i].at > this->now) {
        ++i;
        continue;
      }
      const LateOrder order = this->late_orders[i];
      this->late_orders.erase(this->late_orders.begin() +
                              static_cast<std::ptrdiff_t>(i));
      this->Apply(order.rank, order.order);
    }
  }

  void InjectFaults() {
    const double tick_s = std::chrono::duration<double>(kTick).count();
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      if (this->Occurs(this->faults.kills_per_second * tick_s))
        this->Restart(rank);
      const bool is_holding =
          rank == 0 && this->engines[0].held_step.has_value();
      const bool freezes_holder = is_holding && this->faults.holder_freezes &&
                                  this->now > this->processes[0].frozen_until &&
                                  this->Occurs(0.1);
      if (freezes_holder ||
          this->Occurs(this->faults.freezes_per_second * tick_s))
        this->processes[rank].frozen_until =
            this->now + this->RandomMillis(500, 5'000);
    }
  }

  void DeliverMessages() {
    for (std::size_t i = 0; i < this->messages.size();) {
      const Message& message = this->messages[i];
      // A process that resumes runs its timers before it reads its connections.
      const bool frozen =
          this->now < this->processes[message.to].frozen_until + Millis(20);
      if (message.at > this->now || frozen) {
        ++i;
        continue;
      }
      const Message delivered = message;
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(i));
      if (delivered.incarnation != this->incarnation[delivered.to]) continue;
      Process& process = this->processes[delivered.to];
      if (const auto* command =
              std::get_if<link::SwitchCommand>(&delivered.message))
        process.agent->OnCommand(*command, this->now);
      if (const auto* status =
              std::get_if<link::RankStatus>(&delivered.message))
        this->OnStatus(delivered.to, *status);
    }
  }

  void OnStatus(std::size_t to, const link::RankStatus& status) {
    Process& process = this->processes[to];
    if (status.rank < to) process.election.OnLowerRankStatus(this->now);
    process.leader->OnStatus(status, this->now);
  }

  void Send(std::size_t from, std::size_t to, link::Message message) {
    // Links preserve the order of their messages.
    TimePoint at = this->now + this->RandomMillis(1, 6);
    for (const Message& earlier : this->messages) {
      if (earlier.from == from && earlier.to == to)
        at = std::max(at, earlier.at);
    }
    this->messages.push_back(
        {at, from, to, this->incarnation[to], std::move(message)});
  }

  RankReport ReportOf(std::size_t rank) const {
    const Engine& engine = this->engines[rank];
    RankReport report;
    report.group = "g";
    report.epoch = 1;
    report.rank = rank;
    report.size = kRanks;
    report.open = true;
    report.step = this->step;
    report.map_version = engine.map;
    report.prepared_version = engine.prepared_version;
    report.armed = engine.armed;
    report.held_step = engine.held_step;
    return report;
  }

  RankExperts ExpertsOf(std::size_t rank) {
    RankExperts experts;
    experts.epoch = 1;
    experts.version = this->engines[rank].map;
    if (experts.version == 0) {
      experts.experts = {{rank, rank + kRanks}};
      return experts;
    }
    for (const auto& layer : UnflattenMap(this->map_contents[experts.version]))
      experts.experts.push_back(layer[rank]);
    return experts;
  }

  void RunProcess(std::size_t rank) {
    Process& process = this->processes[rank];
    if (this->now < process.frozen_until) return;
    if (this->now >= process.next_report) {
      process.next_report = this->now + Millis(20);
      process.agent->OnReport(this->ReportOf(rank));
      if (process.agent->NeedsExperts())
        process.agent->OnExperts(this->ExpertsOf(rank));
      const auto status = process.agent->Status(this->now);
      for (std::size_t leader = 0; leader < kRanks; ++leader) {
        if (!this->faults.elects_leader && !this->IsLeader(leader)) continue;
        if (leader == rank)
          process.leader->OnStatus(*status, this->now);
        else
          this->Send(rank, leader, *status);
      }
    }
    this->SendOrderToEngine(*process.agent, rank);
    if (this->IsLeader(rank)) this->RunLeader(rank);
  }

  void SendOrderToEngine(RankAgent& agent, std::size_t rank) {
    const auto order = agent.NextOrder(this->now);
    if (!order) return;
    if (this->Occurs(this->faults.late_order_ratio)) {
      this->late_orders.push_back(
          {this->now + this->RandomMillis(2'000, 12'000), rank, *order});
      agent.OnOrderOutcome(OrderOutcome::kNoResponse, this->now);
      return;
    }
    agent.OnOrderOutcome(this->Apply(rank, *order), this->now);
  }

  void RunLeader(std::size_t rank) {
    Process& process = this->processes[rank];
    // Demand shifts from expert to expert, so that a better map always exists.
    const auto hot = static_cast<std::size_t>(
        this->now.time_since_epoch() / std::chrono::seconds(2) % kExperts);
    link::ExpertCounts counts;
    counts.group = "g";
    counts.epoch = 1;
    counts.rank = 0;
    for (std::size_t expert = 0; expert < kExperts; ++expert) {
      counts.counts.push_back(expert == hot ? 50 : 5);
    }
    process.leader->OnCounts(counts, this->now);
    for (GroupLeader::OutgoingCommand& outgoing :
         process.leader->OnTick(rank, this->now)) {
      if (outgoing.rank == rank)
        process.agent->OnCommand(outgoing.command, this->now);
      else
        this->Send(rank, outgoing.rank, outgoing.command);
    }
    process.leader->TakeEvents();
  }

  Faults faults;
  std::mt19937_64 random;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::array<Engine, kRanks> engines;
  std::array<Process, kRanks> processes;
  std::array<std::uint64_t, kRanks> incarnation{};
  std::map<std::uint64_t, std::vector<std::uint64_t>> map_contents;
  std::uint64_t started_processes = 0;
  std::uint64_t step = 0;
  TimePoint next_step_at;
  TimePoint last_step_at;
  Millis max_stall{0};
  std::vector<Message> messages;
  std::vector<LateOrder> late_orders;
  std::string violation;
  int map_changes = 0;
};

constexpr int kSeeds = 60;
constexpr Millis kFaultPeriod{60'000};
constexpr Millis kRecoveryPeriod{30'000};

/// Runs the simulation with each seed and checks that all ranks use the same
/// map in a step, and that the group runs steps again after the faults have
/// stopped.
void RunAllSeeds(const Faults& faults, int min_changes) {
  int changes = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Group group(faults, static_cast<std::uint64_t>(seed));
    const std::string violation = group.Run(kFaultPeriod);
    cr_assert_eq(violation, "", "seed %d: %s", seed, violation.c_str());
    changes += group.MapChanges();
    group.StopFaults();
    group.Run(kRecoveryPeriod);
    const std::uint64_t before = group.StepCount();
    const std::string after = group.Run(kRecoveryPeriod);
    cr_assert_eq(after, "", "seed %d: %s", seed, after.c_str());
    cr_assert_gt(group.StepCount(), before + 100,
                 "seed %d: the group is stalled", seed);
  }
  cr_assert_gt(changes, min_changes * kSeeds, "%d", changes);
}

}  // namespace

Test(group_switch, switches_maps_often_without_faults) {
  RunAllSeeds(Faults{}, 20);
}

Test(group_switch, keeps_one_map_when_orders_are_late) {
  RunAllSeeds(Faults{0.3, 0, 0, false, true}, 2);
}

Test(group_switch, keeps_one_map_when_processes_die_and_orders_are_late) {
  RunAllSeeds(Faults{0.3, 0.2, 0, false, true}, 0);
}

Test(group_switch, keeps_one_map_with_two_leaders_that_freeze) {
  RunAllSeeds(Faults{0.2, 0.1, 0.1, true, true}, 0);
}

Test(group_switch, keeps_one_map_when_leaders_take_over_from_frozen_ones) {
  RunAllSeeds(Faults{0.2, 0.1, 0.1, false, true, true, true}, 0);
}

Test(group_switch, resumes_soon_after_the_holder_is_unfrozen) {
  // Callers cancel a stream that is silent for two seconds, and the freeze
  // takes most of that time.
  constexpr Millis kMaxStall{500};
  int changes = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Faults faults;
    faults.elects_leader = true;
    faults.holder_freezes = true;
    Group group(faults, static_cast<std::uint64_t>(seed));
    const std::string violation = group.Run(kFaultPeriod);
    cr_expect_eq(violation, "", "seed %d: %s", seed, violation.c_str());
    changes += group.MapChanges();
    cr_expect_lt(group.MaxStall().count(), kMaxStall.count(),
                 "seed %d: stalled for %lld ms", seed,
                 static_cast<long long>(group.MaxStall().count()));
  }
  cr_expect_gt(changes, kSeeds);
}

namespace {

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

/// Returns the agent of a rank in the group of CommandOf.
RankAgent AgentInGroup() {
  RankAgent agent(RankAgentLimits{});
  RankReport report;
  report.group = "g";
  report.epoch = 1;
  agent.OnReport(report);
  return agent;
}

link::SwitchCommand CommandOf(const std::string& leader, std::uint64_t token,
                              link::SwitchGoal goal) {
  link::SwitchCommand command;
  command.leader = leader;
  command.fencing_token = token;
  command.sequence = 1;
  command.group = "g";
  command.epoch = 1;
  command.goal = goal;
  return command;
}

}  // namespace

// Without the goal kLeave, ranks whose leader has stepped down ignore the next
// leader until the lease expires, and the group can stall meanwhile.
Test(rank_agent, follows_the_next_leader_after_the_last_one_has_left) {
  RankAgent agent = AgentInGroup();
  const auto first = CommandOf("first", 2, link::SwitchGoal::kFollow);
  const auto second = CommandOf("second", 4, link::SwitchGoal::kFollow);
  cr_assert(agent.OnCommand(first, kStart));
  cr_assert_not(agent.OnCommand(second, kStart));
  auto leave = CommandOf("first", 2, link::SwitchGoal::kLeave);
  agent.OnCommand(leave, kStart);
  cr_assert_not(agent.OnCommand(second, kStart),
                "a repeated command must be ignored");
  leave.sequence = 2;
  cr_assert(agent.OnCommand(leave, kStart));
  cr_assert(agent.OnCommand(second, kStart));
}

// Otherwise the rank ignores other leaders until the lease expires.
Test(rank_agent, does_not_follow_a_leader_whose_first_command_is_to_leave) {
  RankAgent agent = AgentInGroup();
  agent.OnCommand(CommandOf("first", 2, link::SwitchGoal::kLeave), kStart);
  cr_assert(agent.OnCommand(CommandOf("second", 4, link::SwitchGoal::kFollow),
                            kStart));
}

}  // namespace banyanlane::experts
