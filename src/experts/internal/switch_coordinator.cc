#include "experts/internal/switch_coordinator.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// A fencing token modulo this is the number of its coordinator.
constexpr std::uint64_t kMaxCoordinators = std::uint64_t{1} << 16;

}  // namespace

OutgoingSwitchMessages SwitchCoordinator::Start() const {
  return this->SendToAll(ArmSwitch{this->proposal});
}

OutgoingSwitchMessages SwitchCoordinator::On(const ArmReply& reply,
                                             std::size_t from) {
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, reply.highest_fencing_token);
  const bool is_arming = this->state == State::kArming &&
                         reply.fencing_token == this->proposal.fencing_token;
  if (!is_arming) return {};
  if (!reply.armed) return this->Abort();
  this->armed_ranks.insert(from);
  if (this->armed_ranks.size() < this->ranks) return {};
  this->state = State::kCommitted;
  return this->SendToAll(CommitSwitch{this->proposal.fencing_token});
}

OutgoingSwitchMessages SwitchCoordinator::OnTimeout() {
  if (this->state != State::kArming) return {};
  return this->Abort();
}

OutgoingSwitchMessages SwitchCoordinator::Abort() {
  this->state = State::kAborted;
  return this->SendToAll(AbortSwitch{this->proposal.fencing_token});
}

std::uint64_t SwitchCoordinator::NextFencingToken(
    std::uint64_t coordinator) const {
  const std::uint64_t highest =
      std::max(this->highest_fencing_token, this->proposal.fencing_token);
  return (highest / kMaxCoordinators + 1) * kMaxCoordinators +
         coordinator % kMaxCoordinators;
}

std::string SwitchCoordinator::Fingerprint() const {
  return fmt::format("{} {} {}", this->proposal.fencing_token,
                     static_cast<int>(this->state),
                     fmt::join(this->armed_ranks, ","));
}

OutgoingSwitchMessages SwitchCoordinator::SendToAll(
    const SwitchMessage& message) const {
  OutgoingSwitchMessages messages;
  for (std::size_t rank = 0; rank < this->ranks; ++rank)
    messages.push_back({rank, message});
  return messages;
}

}  // namespace banyanlane::experts
