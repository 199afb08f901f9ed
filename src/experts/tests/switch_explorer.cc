#include "experts/tests/switch_explorer.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <unordered_set>

#include "experts/internal/rank_switch.h"
#include "experts/internal/switch_coordinator.h"
#include "kernel/hash.h"

namespace banyanlane::experts {
namespace {

constexpr std::uint64_t kSteps = 2;
constexpr std::uint64_t kSwitchStep = 2;
constexpr std::uint64_t kOldMap = 1;

/// A message under way between ranks, or to and from a coordinator.
struct InFlight {
  std::size_t from;
  std::size_t to;
  std::size_t coordinator;
  SwitchMessage message;

  std::string Fingerprint() const {
    const auto fence = std::visit(
        [](const auto& m) {
          using Kind = std::decay_t<decltype(m)>;
          if constexpr (std::is_same_v<Kind, ArmSwitch>)
            return fmt::format("{}", m.proposal.fence);
          else if constexpr (std::is_same_v<Kind, SettleSwitch>)
            return fmt::format("{}{}", m.proposal.fence, m.committed);
          else if constexpr (std::is_same_v<Kind, ArmReply>)
            return fmt::format("{}{}", m.fence, m.armed);
          else
            return fmt::format("{}", m.fence);
        },
        this->message);
    return fmt::format("{}>{}({}){}:{}", this->from, this->to,
                       this->coordinator, this->message.index(), fence);
  }
};

/// A group of three ranks with its coordinators, and all that can still go
/// wrong.
struct World {
  std::vector<RankSwitch> ranks;
  std::vector<std::uint64_t> begun;
  std::vector<SwitchCoordinator> coordinators;
  std::vector<bool> crashed;
  /// In the order sent; messages between the same two arrive in order, as on a
  /// link.
  std::vector<InFlight> network;
  std::map<std::uint64_t, std::uint64_t> map_of_step;
  int losses_left = 1;
  int crashes_left = 1;

  std::string Fingerprint() const {
    std::string text;
    for (const RankSwitch& rank : this->ranks) text += rank.Fingerprint() + "|";
    for (const auto& coordinator : this->coordinators)
      text += coordinator.Fingerprint() + "|";
    // Only the order on each link counts.
    std::vector<std::string> messages;
    for (const InFlight& message : this->network)
      messages.push_back(message.Fingerprint());
    std::stable_sort(messages.begin(), messages.end(),
                     [](const auto& left, const auto& right) {
                       return left.substr(0, left.find(')')) <
                              right.substr(0, right.find(')'));
                     });
    text += fmt::format("{} {} {}{}", fmt::join(messages, " "),
                        fmt::join(this->begun, ","), this->losses_left,
                        this->crashes_left);
    for (const bool gone : this->crashed) text += gone ? "x" : "o";
    for (const auto& [step, map] : this->map_of_step)
      text += fmt::format(" {}={}", step, map);
    return text;
  }
};

/// Visits every state that the group can reach.
class Explorer {
 public:
  explicit Explorer(const ExploreScope& scope) : scope(scope) {
    World world;
    world.begun.assign(scope.ranks, 1);
    world.losses_left = scope.losses;
    world.crashes_left = scope.crashes;
    for (std::size_t rank = 0; rank < this->scope.ranks; ++rank) {
      world.ranks.emplace_back(rank, this->scope.ranks, kOldMap);
      world.ranks.back().BeginStep(1);
    }
    for (std::size_t i = 0; i < scope.coordinators; ++i) {
      world.coordinators.emplace_back(this->scope.ranks,
                                      MapSwitch{10 + i, 100 + i, kSwitchStep});
      world.crashed.push_back(false);
      Send(world, kCoordinator, i, world.coordinators.back().Start());
    }
    this->todo.push_back(std::move(world));
  }

  ExploreResult Explore() {
    while (!this->todo.empty() && this->broken.empty()) {
      const World world = std::move(this->todo.back());
      this->todo.pop_back();
      if (!this->seen.insert(kernel::Hash64(world.Fingerprint())).second)
        continue;
      this->Expand(world);
    }
    return {this->broken, this->seen.size(), this->switched, this->kept};
  }

 private:
  static void Send(World& world, std::size_t from, std::size_t coordinator,
                   SwitchSends sends) {
    for (SwitchSend& send : sends) {
      world.network.push_back(
          {from, send.to, coordinator, std::move(send.message)});
    }
  }

  /// Drops messages whose arrival, now or later, changes nothing: there are
  /// fewer states to visit.
  static void DropIgnored(World& world) {
    const auto ignored = [&world](const InFlight& message) {
      if (message.to == kCoordinator) {
        const auto& coordinator = world.coordinators[message.coordinator];
        return world.crashed[message.coordinator] ||
               coordinator.Outcome() != SwitchCoordinator::State::kArming;
      }
      return IsIgnoredByRank(world.ranks[message.to], message);
    };
    world.network.erase(
        std::remove_if(world.network.begin(), world.network.end(), ignored),
        world.network.end());
  }

  static bool IsIgnoredByRank(const RankSwitch& rank, const InFlight& sent) {
    const SwitchMessage& message = sent.message;
    const bool is_arm = std::holds_alternative<ArmSwitch>(message);
    const bool is_query = std::holds_alternative<QuerySwitch>(message);
    if (is_arm || is_query) return false;
    const std::uint64_t fence = FenceOf(message);
    const bool concerns = rank.Pending() && rank.Pending()->fence == fence;
    // A fence that was seen and is not pending never comes back.
    const bool past = !concerns && rank.HighestFence() >= fence;
    const bool decided =
        concerns &&
        (rank.IsCommitted() ||
         (rank.IsVetoed() && std::holds_alternative<CommitSwitch>(message)));
    if (!past && !decided) return false;
    // Not taken on trust: if its arrival does change something, it is kept and
    // explored.
    RankSwitch trial = rank;
    const bool sends = !ToRank(trial, sent).empty();
    return !sends && trial.Fingerprint() == rank.Fingerprint();
  }

  static std::uint64_t FenceOf(const SwitchMessage& message) {
    if (const auto* arm = std::get_if<ArmSwitch>(&message))
      return arm->proposal.fence;
    if (const auto* reply = std::get_if<ArmReply>(&message))
      return reply->fence;
    if (const auto* commit = std::get_if<CommitSwitch>(&message))
      return commit->fence;
    if (const auto* abort = std::get_if<AbortSwitch>(&message))
      return abort->fence;
    if (const auto* query = std::get_if<QuerySwitch>(&message))
      return query->fence;
    if (const auto* reply = std::get_if<QueryReply>(&message))
      return reply->fence;
    return std::get<SettleSwitch>(message).proposal.fence;
  }

  void Push(World world) {
    ++this->successors;
    DropIgnored(world);
    this->todo.push_back(std::move(world));
  }

  void Expand(const World& world) {
    this->successors = 0;
    for (std::size_t i = 0; i < world.network.size(); ++i) {
      if (IsNextOnItsLink(world, i)) this->DeliverOrLose(world, i);
    }
    for (std::size_t rank = 0; rank < this->scope.ranks; ++rank)
      this->StepOrAsk(world, rank);
    for (std::size_t i = 0; i < world.coordinators.size(); ++i)
      this->CrashOrTimeOut(world, i);
    if (this->successors > 0) return;
    const bool all_through =
        std::all_of(world.begun.begin(), world.begun.end(),
                    [](std::uint64_t step) { return step == kSteps; });
    if (!all_through) this->broken = "stuck: " + world.Fingerprint();
    (world.map_of_step.at(kSteps) == kOldMap ? this->kept : this->switched) +=
        1;
  }

  static bool IsNextOnItsLink(const World& world, std::size_t index) {
    const InFlight& message = world.network[index];
    return std::none_of(
        world.network.begin(), world.network.begin() + static_cast<long>(index),
        [&message](const InFlight& earlier) {
          return earlier.from == message.from && earlier.to == message.to &&
                 earlier.coordinator == message.coordinator;
        });
  }

  void DeliverOrLose(const World& world, std::size_t index) {
    World next = world;
    const InFlight message = next.network[index];
    next.network.erase(next.network.begin() + static_cast<long>(index));
    if (next.losses_left > 0) {
      World lost = next;
      --lost.losses_left;
      this->Push(std::move(lost));
    }
    if (message.to == kCoordinator) {
      const auto* reply = std::get_if<ArmReply>(&message.message);
      if (reply != nullptr && !next.crashed[message.coordinator]) {
        Send(next, kCoordinator, message.coordinator,
             next.coordinators[message.coordinator].On(*reply, message.from));
      }
    } else {
      Send(next, message.to, message.coordinator,
           ToRank(next.ranks[message.to], message));
    }
    this->Push(std::move(next));
  }

  static SwitchSends ToRank(RankSwitch& rank, const InFlight& message) {
    return std::visit(
        [&](const auto& m) -> SwitchSends {
          using Kind = std::decay_t<decltype(m)>;
          if constexpr (std::is_same_v<Kind, ArmReply>)
            return {};
          else if constexpr (std::is_same_v<Kind, QuerySwitch> ||
                             std::is_same_v<Kind, QueryReply>)
            return rank.On(m, message.from);
          else
            return rank.On(m);
        },
        message.message);
  }

  /// A rank begins its next step once all have begun the one before, or asks
  /// the others.
  void StepOrAsk(const World& world, std::size_t rank) {
    const std::uint64_t step = world.begun[rank] + 1;
    const bool in_step =
        std::all_of(world.begun.begin(), world.begun.end(),
                    [step](std::uint64_t begun) { return begun + 1 >= step; });
    if (step <= kSteps && in_step) {
      World next = world;
      const bool waited = next.ranks[rank].IsWaiting();
      if (const auto map = next.ranks[rank].BeginStep(step)) {
        next.begun[rank] = step;
        const auto used = next.map_of_step.emplace(step, *map).first;
        if (used->second != *map)
          this->broken = fmt::format("two maps in step {}", step);
        this->Push(std::move(next));
      } else if (!waited) {
        this->Push(std::move(next));
      }
    }
    const bool asking =
        std::any_of(world.network.begin(), world.network.end(),
                    [rank](const InFlight& message) {
                      const bool query =
                          std::holds_alternative<QuerySwitch>(message.message);
                      const bool answer =
                          std::holds_alternative<QueryReply>(message.message) ||
                          std::holds_alternative<SettleSwitch>(message.message);
                      return (query && message.from == rank) ||
                             (answer && message.to == rank);
                    });
    if (!world.ranks[rank].IsWaiting() || asking) return;
    World next = world;
    Send(next, rank, 0, next.ranks[rank].OnWaiting());
    this->Push(std::move(next));
  }

  void CrashOrTimeOut(const World& world, std::size_t index) {
    if (world.crashed[index]) return;
    if (world.crashes_left > 0) {
      World next = world;
      next.crashed[index] = true;
      --next.crashes_left;
      this->Push(std::move(next));
    }
    if (world.coordinators[index].Outcome() !=
        SwitchCoordinator::State::kArming)
      return;
    World next = world;
    Send(next, kCoordinator, index, next.coordinators[index].OnTimeout());
    this->Push(std::move(next));
  }

  std::vector<World> todo;
  std::unordered_set<std::uint64_t> seen;  ///< Hashes of fingerprints.
  int successors = 0;
  std::string broken;
  ExploreScope scope;
  int switched = 0;
  int kept = 0;
};

}  // namespace

ExploreResult ExploreSwitch(const ExploreScope& scope) {
  return Explorer(scope).Explore();
}

}  // namespace banyanlane::experts
