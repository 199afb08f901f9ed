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

/// A message in flight between ranks, or between a rank and a coordinator.
struct InFlight {
  std::size_t from;
  std::size_t to;
  std::size_t coordinator;
  SwitchMessage message;

  std::string Fingerprint() const {
    const auto fencing_token = std::visit(
        [](const auto& m) {
          using Kind = std::decay_t<decltype(m)>;
          if constexpr (std::is_same_v<Kind, ArmSwitch>)
            return fmt::format("{}", m.proposal.fencing_token);
          else if constexpr (std::is_same_v<Kind, SettleSwitch>)
            return fmt::format("{}{}", m.proposal.fencing_token, m.committed);
          else if constexpr (std::is_same_v<Kind, ArmReply>)
            return fmt::format("{}{}", m.fencing_token, m.armed);
          else
            return fmt::format("{}", m.fencing_token);
        },
        this->message);
    return fmt::format("{}>{}({}){}:{}", this->from, this->to,
                       this->coordinator, this->message.index(), fencing_token);
  }
};

/// State of a group, its coordinators and its messages, and the faults that can
/// still happen.
struct GroupState {
  std::vector<RankSwitch> ranks;
  std::vector<std::uint64_t> begun_steps;
  std::vector<SwitchCoordinator> coordinators;
  std::vector<bool> crashed;
  /// Messages in the order sent. Those with the same sender and receiver arrive
  /// in order, as on a link.
  std::vector<InFlight> network;
  std::map<std::uint64_t, std::uint64_t> map_of_step;
  int losses_left = 1;
  int crashes_left = 1;

  std::string Fingerprint() const {
    std::string text;
    for (const RankSwitch& rank : this->ranks) text += rank.Fingerprint() + "|";
    for (const auto& coordinator : this->coordinators)
      text += coordinator.Fingerprint() + "|";
    // States that differ only in the order of messages of different links are
    // equal.
    std::vector<std::string> messages;
    for (const InFlight& message : this->network)
      messages.push_back(message.Fingerprint());
    std::stable_sort(messages.begin(), messages.end(),
                     [](const auto& left, const auto& right) {
                       return left.substr(0, left.find(')')) <
                              right.substr(0, right.find(')'));
                     });
    text += fmt::format("{} {} {}{}", fmt::join(messages, " "),
                        fmt::join(this->begun_steps, ","), this->losses_left,
                        this->crashes_left);
    for (const bool has_crashed : this->crashed)
      text += has_crashed ? "x" : "o";
    for (const auto& [step, map] : this->map_of_step)
      text += fmt::format(" {}={}", step, map);
    return text;
  }
};

/// Visits every state that the group can reach.
class Explorer {
 public:
  explicit Explorer(const ExploreScope& scope) : scope(scope) {
    GroupState state;
    state.begun_steps.assign(scope.ranks, 1);
    state.losses_left = scope.losses;
    state.crashes_left = scope.crashes;
    for (std::size_t rank = 0; rank < this->scope.ranks; ++rank) {
      state.ranks.emplace_back(rank, this->scope.ranks, kOldMap);
      state.ranks.back().BeginStep(1);
    }
    for (std::size_t i = 0; i < scope.coordinators; ++i) {
      state.coordinators.emplace_back(this->scope.ranks,
                                      MapSwitch{10 + i, 100 + i, kSwitchStep});
      state.crashed.push_back(false);
      Send(state, kCoordinator, i, state.coordinators.back().Start());
    }
    this->unexplored.push_back(std::move(state));
  }

  ExploreResult Explore() {
    while (!this->unexplored.empty() && this->violation.empty()) {
      const GroupState state = std::move(this->unexplored.back());
      this->unexplored.pop_back();
      if (!this->seen.insert(kernel::Hash64(state.Fingerprint())).second)
        continue;
      this->Expand(state);
    }
    return {this->violation, this->seen.size(), this->switched, this->kept};
  }

 private:
  static void Send(GroupState& state, std::size_t from, std::size_t coordinator,
                   OutgoingSwitchMessages messages) {
    for (OutgoingSwitchMessage& outgoing : messages) {
      state.network.push_back(
          {from, outgoing.to, coordinator, std::move(outgoing.message)});
    }
  }

  /// Drops messages whose arrival, now or later, changes nothing, to reduce the
  /// number of states.
  static void DropIgnored(GroupState& state) {
    const auto ignored = [&state](const InFlight& message) {
      if (message.to == kCoordinator) {
        const auto& coordinator = state.coordinators[message.coordinator];
        return state.crashed[message.coordinator] ||
               coordinator.Outcome() != SwitchCoordinator::State::kArming;
      }
      return IsIgnoredByRank(state.ranks[message.to], message);
    };
    state.network.erase(
        std::remove_if(state.network.begin(), state.network.end(), ignored),
        state.network.end());
  }

  static bool IsIgnoredByRank(const RankSwitch& rank, const InFlight& sent) {
    const SwitchMessage& message = sent.message;
    const bool is_arm = std::holds_alternative<ArmSwitch>(message);
    const bool is_query = std::holds_alternative<QuerySwitch>(message);
    if (is_arm || is_query) return false;
    const std::uint64_t fencing_token = FencingTokenOf(message);
    const bool is_pending =
        rank.Pending() && rank.Pending()->fencing_token == fencing_token;
    // A token that was received and is not pending never becomes pending again.
    const bool is_past =
        !is_pending && rank.HighestFencingToken() >= fencing_token;
    const bool is_decided =
        is_pending &&
        (rank.IsCommitted() ||
         (rank.IsVetoed() && std::holds_alternative<CommitSwitch>(message)));
    if (!is_past && !is_decided) return false;
    // Delivers the message to a copy of the rank. If it changes the copy or is
    // replied to, it must be kept.
    RankSwitch trial = rank;
    const bool sends_messages = !ToRank(trial, sent).empty();
    return !sends_messages && trial.Fingerprint() == rank.Fingerprint();
  }

  static std::uint64_t FencingTokenOf(const SwitchMessage& message) {
    if (const auto* arm = std::get_if<ArmSwitch>(&message))
      return arm->proposal.fencing_token;
    if (const auto* reply = std::get_if<ArmReply>(&message))
      return reply->fencing_token;
    if (const auto* commit = std::get_if<CommitSwitch>(&message))
      return commit->fencing_token;
    if (const auto* abort = std::get_if<AbortSwitch>(&message))
      return abort->fencing_token;
    if (const auto* query = std::get_if<QuerySwitch>(&message))
      return query->fencing_token;
    if (const auto* reply = std::get_if<QueryReply>(&message))
      return reply->fencing_token;
    return std::get<SettleSwitch>(message).proposal.fencing_token;
  }

  void Push(GroupState state) {
    ++this->successors;
    DropIgnored(state);
    this->unexplored.push_back(std::move(state));
  }

  void Expand(const GroupState& state) {
    this->successors = 0;
    for (std::size_t i = 0; i < state.network.size(); ++i) {
      if (IsNextOnItsLink(state, i)) this->DeliverOrLose(state, i);
    }
    for (std::size_t rank = 0; rank < this->scope.ranks; ++rank)
      this->StepOrQuery(state, rank);
    for (std::size_t i = 0; i < state.coordinators.size(); ++i)
      this->CrashOrTimeOut(state, i);
    if (this->successors > 0) return;
    const bool all_finished =
        std::all_of(state.begun_steps.begin(), state.begun_steps.end(),
                    [](std::uint64_t step) { return step == kSteps; });
    if (!all_finished) this->violation = "stuck: " + state.Fingerprint();
    (state.map_of_step.at(kSteps) == kOldMap ? this->kept : this->switched) +=
        1;
  }

  static bool IsNextOnItsLink(const GroupState& state, std::size_t index) {
    const InFlight& message = state.network[index];
    return std::none_of(
        state.network.begin(), state.network.begin() + static_cast<long>(index),
        [&message](const InFlight& earlier) {
          return earlier.from == message.from && earlier.to == message.to &&
                 earlier.coordinator == message.coordinator;
        });
  }

  void DeliverOrLose(const GroupState& state, std::size_t index) {
    GroupState next_state = state;
    const InFlight message = next_state.network[index];
    next_state.network.erase(next_state.network.begin() +
                             static_cast<long>(index));
    if (next_state.losses_left > 0) {
      GroupState after_loss = next_state;
      --after_loss.losses_left;
      this->Push(std::move(after_loss));
    }
    if (message.to == kCoordinator) {
      const auto* reply = std::get_if<ArmReply>(&message.message);
      if (reply != nullptr && !next_state.crashed[message.coordinator]) {
        Send(next_state, kCoordinator, message.coordinator,
             next_state.coordinators[message.coordinator].On(*reply,
                                                             message.from));
      }
    } else {
      Send(next_state, message.to, message.coordinator,
           ToRank(next_state.ranks[message.to], message));
    }
    this->Push(std::move(next_state));
  }

  static OutgoingSwitchMessages ToRank(RankSwitch& rank,
                                       const InFlight& message) {
    return std::visit(
        [&](const auto& m) -> OutgoingSwitchMessages {
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

  /// Lets a rank begin its next step if all have begun the one before, or query
  /// the others if it waits.
  void StepOrQuery(const GroupState& state, std::size_t rank) {
    const std::uint64_t step = state.begun_steps[rank] + 1;
    const bool all_ready =
        std::all_of(state.begun_steps.begin(), state.begun_steps.end(),
                    [step](std::uint64_t begun) { return begun + 1 >= step; });
    if (step <= kSteps && all_ready) {
      GroupState next_state = state;
      const bool was_waiting = next_state.ranks[rank].IsWaiting();
      if (const auto map = next_state.ranks[rank].BeginStep(step)) {
        next_state.begun_steps[rank] = step;
        const auto recorded = next_state.map_of_step.emplace(step, *map).first;
        if (recorded->second != *map)
          this->violation = fmt::format("two maps in step {}", step);
        this->Push(std::move(next_state));
      } else if (!was_waiting) {
        this->Push(std::move(next_state));
      }
    }
    const bool has_open_query =
        std::any_of(state.network.begin(), state.network.end(),
                    [rank](const InFlight& message) {
                      const bool is_query =
                          std::holds_alternative<QuerySwitch>(message.message);
                      const bool is_reply =
                          std::holds_alternative<QueryReply>(message.message) ||
                          std::holds_alternative<SettleSwitch>(message.message);
                      return (is_query && message.from == rank) ||
                             (is_reply && message.to == rank);
                    });
    if (!state.ranks[rank].IsWaiting() || has_open_query) return;
    GroupState next_state = state;
    Send(next_state, rank, 0, next_state.ranks[rank].QueryOthers());
    this->Push(std::move(next_state));
  }

  void CrashOrTimeOut(const GroupState& state, std::size_t index) {
    if (state.crashed[index]) return;
    if (state.crashes_left > 0) {
      GroupState next_state = state;
      next_state.crashed[index] = true;
      --next_state.crashes_left;
      this->Push(std::move(next_state));
    }
    if (state.coordinators[index].Outcome() !=
        SwitchCoordinator::State::kArming)
      return;
    GroupState next_state = state;
    Send(next_state, kCoordinator, index,
         next_state.coordinators[index].OnTimeout());
    this->Push(std::move(next_state));
  }

  std::vector<GroupState> unexplored;
  std::unordered_set<std::uint64_t> seen;  ///< Hashes of fingerprints.
  int successors = 0;
  std::string violation;
  ExploreScope scope;
  int switched = 0;
  int kept = 0;
};

}  // namespace

ExploreResult ExploreSwitch(const ExploreScope& scope) {
  return Explorer(scope).Explore();
}

}  // namespace banyanlane::experts
