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

/// The model engine of one rank, as the platform's pages describe it.
struct Engine {
  std::uint64_t map = 0;
  std::optional<std::uint64_t> prepared;
  std::uint64_t highest = 0;  ///< Version that it has had.
  std::optional<ArmedMap> armed;
  std::optional<std::uint64_t> held;
  std::uint64_t fence = 0;
  std::uint64_t copying = 0;
  TimePoint copied_at;
};

/// What may go wrong in one run.
struct Faults {
  double late_orders = 0;
  double kills_per_second = 0;
  double freezes_per_second = 0;
  bool two_leads = false;
  bool idles = false;
  /// A higher rank leads only while lower ones are silent.
  bool takes_over = false;
  /// Rank 0 freezes whenever it keeps the group from going on.
  bool holder_freezes = false;
};

/// A group of ranks with its agents, one or two leads, and a clock.
class Group {
 public:
  Group(const Faults& faults, std::uint64_t seed)
      : faults(faults), random(seed) {
    ExpertMap first(1);
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      this->Restart(rank);
      first[0].push_back({rank, rank + kRanks});
    }
    this->content[0] = FlattenMap(first);
  }

  /// @return the first broken promise, or "".
  std::string Run(Millis length) {
    const TimePoint end = this->now + length;
    while (this->now < end && this->broken.empty()) this->Step();
    return this->broken;
  }

  void StopFaults() {
    const bool takes_over = this->faults.takes_over;
    this->faults = Faults{};
    this->faults.takes_over = takes_over;
  }
  int Changes() const { return this->changes; }
  std::uint64_t Passes() const { return this->step; }
  /// Returns the longest time from the end of rank 0's freeze to a pass.
  Millis LongestStand() const { return this->longest_stand; }

 private:
  struct Process {
    std::unique_ptr<RankAgent> agent;
    std::unique_ptr<GroupLead> lead;
    TimePoint frozen_until;
    TimePoint next_report;
    LeadClaim claim{TimePoint{}};
  };
  struct Message {
    TimePoint at;
    std::size_t from;
    std::size_t to;
    std::uint64_t life;
    link::Message message;
  };
  struct LateOrder {
    TimePoint at;
    std::size_t rank;
    SendOrder order;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }
  Millis Between(int low, int high) {
    return Millis(std::uniform_int_distribution<int>(low, high)(this->random));
  }

  void Restart(std::size_t rank) {
    Process& process = this->processes[rank];
    process.agent = std::make_unique<RankAgent>(RankAgentLimits{});
    GroupLeadLimits limits;
    limits.bounds = {3, 2, 3};
    limits.least_choices = 10;
    process.lead = std::make_unique<GroupLead>(
        limits, "lead" + std::to_string(++this->lives), this->random());
    process.claim = LeadClaim(this->now);
    ++this->life[rank];
  }

  bool Leads(std::size_t rank) {
    if (!this->faults.takes_over)
      return rank == 0 || (this->faults.two_leads && rank == 1);
    Process& process = this->processes[rank];
    return process.claim.Decide(rank, process.lead->IsBusy(), this->now);
  }

  void Step() {
    this->now += kTick;
    this->BeginPasses();
    for (Engine& engine : this->engines) this->FinishCopy(engine);
    this->ApplyLateOrders();
    this->Misfortune();
    this->DeliverMessages();
    for (std::size_t rank = 0; rank < kRanks; ++rank) this->RunProcess(rank);
  }

  void FinishCopy(Engine& engine) const {
    if (engine.copying == 0 || this->now < engine.copied_at) return;
    engine.prepared = engine.copying;
    engine.copying = 0;
  }

  void BeginPasses() {
    const bool idle = this->faults.idles &&
                      this->now.time_since_epoch() % std::chrono::seconds(7) <
                          std::chrono::seconds(2);
    if (this->now < this->next_pass || idle) return;
    const std::uint64_t next = this->step + 1;
    for (const Engine& engine : this->engines) {
      if (engine.held && *engine.held <= next) return;
    }
    const TimePoint woke_at = this->processes[0].frozen_until;
    if (this->pass_at < woke_at && woke_at < this->now)
      this->longest_stand =
          std::max(this->longest_stand,
                   std::chrono::duration_cast<Millis>(this->now - woke_at));
    this->pass_at = this->now;
    this->next_pass = this->now + this->Between(30, 90);
    this->step = next;
    bool changed = false;
    for (Engine& engine : this->engines) {
      if (!engine.armed || engine.armed->step != next) continue;
      engine.map = engine.armed->version;
      engine.armed.reset();
      engine.prepared.reset();
      changed = true;
    }
    this->changes += changed ? 1 : 0;
    for (const Engine& engine : this->engines) {
      if (engine.map != this->engines[0].map)
        this->broken = "two maps in step " + std::to_string(next);
    }
  }

  OrderOutcome Apply(std::size_t rank, const SendOrder& sent) {
    Engine& engine = this->engines[rank];
    if (sent.fence < engine.fence) return OrderOutcome::kFenced;
    engine.fence = sent.fence;
    const auto refuse = OrderOutcome::kRefused;
    if (const auto* prepare = std::get_if<PrepareOrder>(&sent.order)) {
      if (prepare->version <= engine.highest || engine.armed) return refuse;
      engine.highest = prepare->version;
      engine.prepared.reset();
      engine.copying = prepare->version;
      const std::uint64_t in_use = engine.map;
      this->content[prepare->version] = FlattenMap(prepare->map);
      // Only weights that the rank does not have are copied.
      const bool same =
          this->content[in_use] == this->content[prepare->version];
      engine.copied_at = this->now + (same ? Millis(0) : this->Between(0, 300));
    }
    if (const auto* arm = std::get_if<ArmOrder>(&sent.order)) {
      if (engine.prepared != arm->version || this->step >= arm->step)
        return refuse;
      engine.armed = ArmedMap{arm->version, arm->step};
    }
    if (const auto* disarm = std::get_if<DisarmOrder>(&sent.order)) {
      if (engine.map == disarm->version) return refuse;
      if (engine.armed && engine.armed->version == disarm->version)
        engine.armed.reset();
    }
    if (const auto* hold = std::get_if<HoldOrder>(&sent.order)) {
      const bool other = engine.held && *engine.held != hold->step;
      if (other || this->step >= hold->step) return refuse;
      engine.held = hold->step;
    }
    if (const auto* release = std::get_if<ReleaseOrder>(&sent.order)) {
      if (engine.held == release->step) engine.held.reset();
    }
    return OrderOutcome::kDone;
  }

  void ApplyLateOrders() {
    for (std::size_t i = 0; i < this->late.size();) {
      if (this->late[i].at > this->now) {
        ++i;
        continue;
      }
      const LateOrder order = this->late[i];
      this->late.erase(this->late.begin() + static_cast<std::ptrdiff_t>(i));
      this->Apply(order.rank, order.order);
    }
  }

  void Misfortune() {
    const double tick_s = std::chrono::duration<double>(kTick).count();
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      if (this->Chance(this->faults.kills_per_second * tick_s))
        this->Restart(rank);
      const bool holds = rank == 0 && this->engines[0].held.has_value();
      const bool is_hit = holds && this->faults.holder_freezes &&
                          this->now > this->processes[0].frozen_until &&
                          this->Chance(0.1);
      if (is_hit || this->Chance(this->faults.freezes_per_second * tick_s))
        this->processes[rank].frozen_until =
            this->now + this->Between(500, 5'000);
    }
  }

  void DeliverMessages() {
    for (std::size_t i = 0; i < this->messages.size();) {
      const Message& message = this->messages[i];
      // A process that wakes runs its timers before it reads its connections.
      const bool frozen =
          this->now < this->processes[message.to].frozen_until + Millis(20);
      if (message.at > this->now || frozen) {
        ++i;
        continue;
      }
      const Message taken = message;
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(i));
      if (taken.life != this->life[taken.to]) continue;
      Process& process = this->processes[taken.to];
      if (const auto* command =
              std::get_if<link::SwitchCommand>(&taken.message))
        process.agent->OnCommand(*command, this->now);
      if (const auto* status = std::get_if<link::RankStatus>(&taken.message))
        this->OnStatus(taken.to, *status);
    }
  }

  void OnStatus(std::size_t to, const link::RankStatus& status) {
    Process& process = this->processes[to];
    if (status.rank < to) process.claim.OnLowerRank(this->now);
    process.lead->OnStatus(status, this->now);
  }

  void Send(std::size_t from, std::size_t to, link::Message message) {
    // Links keep the order of their messages.
    TimePoint at = this->now + this->Between(1, 6);
    for (const Message& earlier : this->messages) {
      if (earlier.from == from && earlier.to == to)
        at = std::max(at, earlier.at);
    }
    this->messages.push_back(
        {at, from, to, this->life[to], std::move(message)});
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
    report.prepared = engine.prepared;
    report.armed = engine.armed;
    report.held = engine.held;
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
    for (const auto& layer : UnflattenMap(this->content[experts.version]))
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
      for (std::size_t lead = 0; lead < kRanks; ++lead) {
        if (!this->faults.takes_over && !this->Leads(lead)) continue;
        if (lead == rank)
          process.lead->OnStatus(*status, this->now);
        else
          this->Send(rank, lead, *status);
      }
    }
    this->GiveOrder(*process.agent, rank);
    if (this->Leads(rank)) this->RunLead(rank);
  }

  void GiveOrder(RankAgent& agent, std::size_t rank) {
    const auto order = agent.NextOrder(this->now);
    if (!order) return;
    if (this->Chance(this->faults.late_orders)) {
      this->late.push_back(
          {this->now + this->Between(2'000, 12'000), rank, *order});
      agent.OnOrderOutcome(OrderOutcome::kNoAnswer, this->now);
      return;
    }
    agent.OnOrderOutcome(this->Apply(rank, *order), this->now);
  }

  void RunLead(std::size_t rank) {
    Process& process = this->processes[rank];
    // Demand moves from expert to expert, so that there is always a better map.
    const auto hot = static_cast<std::size_t>(
        this->now.time_since_epoch() / std::chrono::seconds(2) % kExperts);
    link::ExpertCounts counts;
    counts.group = "g";
    counts.epoch = 1;
    counts.rank = 0;
    for (std::size_t expert = 0; expert < kExperts; ++expert) {
      this->chosen[expert] += expert == hot ? 50 : 5;
      counts.counts.push_back(this->chosen[expert]);
    }
    process.lead->OnCounts(counts, this->now);
    for (GroupLead::Send& send : process.lead->OnTick(rank, this->now)) {
      if (send.rank == rank)
        process.agent->OnCommand(send.command, this->now);
      else
        this->Send(rank, send.rank, send.command);
    }
    process.lead->TakeReports();
  }

  Faults faults;
  std::mt19937_64 random;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::array<Engine, kRanks> engines;
  std::array<Process, kRanks> processes;
  std::array<std::uint64_t, kRanks> life{};
  std::array<std::uint64_t, kExperts> chosen{};
  std::map<std::uint64_t, std::vector<std::uint64_t>> content;
  std::uint64_t lives = 0;
  std::uint64_t step = 0;
  TimePoint next_pass;
  TimePoint pass_at;
  Millis longest_stand{0};
  std::vector<Message> messages;
  std::vector<LateOrder> late;
  std::string broken;
  int changes = 0;
};

constexpr int kSeeds = 60;
constexpr Millis kLength{60'000};
constexpr Millis kCalm{30'000};

/// Plays all seeds: within a pass one map, and afterwards the group goes on.
void PlayAll(const Faults& faults, int least_changes) {
  int changes = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Group group(faults, static_cast<std::uint64_t>(seed));
    const std::string broken = group.Run(kLength);
    cr_assert_eq(broken, "", "seed %d: %s", seed, broken.c_str());
    changes += group.Changes();
    group.StopFaults();
    group.Run(kCalm);
    const std::uint64_t before = group.Passes();
    const std::string after = group.Run(kCalm);
    cr_assert_eq(after, "", "seed %d: %s", seed, after.c_str());
    cr_assert_gt(group.Passes(), before + 100, "seed %d: the group stands",
                 seed);
  }
  cr_assert_gt(changes, least_changes * kSeeds, "%d", changes);
}

}  // namespace

Test(group_switch, changes_maps_often_when_nothing_goes_wrong) {
  PlayAll(Faults{}, 20);
}

Test(group_switch, keeps_one_map_when_orders_come_late) {
  PlayAll(Faults{0.3, 0, 0, false, true}, 2);
}

Test(group_switch, keeps_one_map_when_processes_die_and_orders_come_late) {
  PlayAll(Faults{0.3, 0.2, 0, false, true}, 0);
}

Test(group_switch, keeps_one_map_with_two_leads_that_freeze) {
  PlayAll(Faults{0.2, 0.1, 0.1, true, true}, 0);
}

Test(group_switch, keeps_one_map_when_leads_take_over_from_frozen_ones) {
  PlayAll(Faults{0.2, 0.1, 0.1, false, true, true, true}, 0);
}

Test(group_switch, goes_on_soon_after_the_holder_wakes) {
  // Callers leave a stream that is silent for two seconds, of which the freeze
  // has used most.
  constexpr Millis kSoon{500};
  int changes = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Faults faults;
    faults.takes_over = true;
    faults.holder_freezes = true;
    Group group(faults, static_cast<std::uint64_t>(seed));
    const std::string broken = group.Run(kLength);
    cr_expect_eq(broken, "", "seed %d: %s", seed, broken.c_str());
    changes += group.Changes();
    cr_expect_lt(group.LongestStand().count(), kSoon.count(),
                 "seed %d stood for %lld ms", seed,
                 static_cast<long long>(group.LongestStand().count()));
  }
  cr_expect_gt(changes, kSeeds);
}

// A lead that stands back must not keep its ranks from the next one for the
// rest of its lease: the group may stand meanwhile.
Test(rank_agent, obeys_the_next_lead_once_the_last_one_has_left) {
  RankAgent agent(RankAgentLimits{});
  RankReport report;
  report.group = "g";
  report.epoch = 1;
  agent.OnReport(report);
  const TimePoint now = TimePoint{} + std::chrono::hours(1);
  link::SwitchCommand first;
  first.lead = "first";
  first.fence = 2;
  first.number = 1;
  first.group = "g";
  first.epoch = 1;
  link::SwitchCommand second = first;
  second.lead = "second";
  second.fence = 4;
  cr_assert(agent.OnCommand(first, now));
  cr_assert_not(agent.OnCommand(second, now));
  link::SwitchCommand stale = first;
  stale.goal = link::SwitchGoal::kLeave;
  agent.OnCommand(stale, now);
  cr_assert_not(agent.OnCommand(second, now), "a doubled command says nothing");
  first.goal = link::SwitchGoal::kLeave;
  first.number = 2;
  cr_assert(agent.OnCommand(first, now));
  cr_assert(agent.OnCommand(second, now));
}

}  // namespace banyanlane::experts
