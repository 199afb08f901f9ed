#include "experts/internal/switch_coordinator.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyanlane::experts {
namespace {

/// Low bits of a fence name its coordinator.
constexpr std::uint64_t kCoordinators = std::uint64_t{1} << 16;

}  // namespace

SwitchSends SwitchCoordinator::Start() const {
  return this->TellAll(ArmSwitch{this->proposal});
}

SwitchSends SwitchCoordinator::On(const ArmReply& reply, std::size_t from) {
  this->highest_fence = std::max(this->highest_fence, reply.highest_fence);
  const bool open =
      this->state == State::kArming && reply.fence == this->proposal.fence;
  if (!open) return {};
  if (!reply.armed) return this->Abort();
  this->armed.insert(from);
  if (this->armed.size() < this->ranks) return {};
  this->state = State::kCommitted;
  return this->TellAll(CommitSwitch{this->proposal.fence});
}

SwitchSends SwitchCoordinator::OnTimeout() {
  if (this->state != State::kArming) return {};
  return this->Abort();
}

SwitchSends SwitchCoordinator::Abort() {
  this->state = State::kAborted;
  return this->TellAll(AbortSwitch{this->proposal.fence});
}

std::uint64_t SwitchCoordinator::NextFence(std::uint64_t coordinator) const {
  const std::uint64_t above =
      std::max(this->highest_fence, this->proposal.fence);
  return (above / kCoordinators + 1) * kCoordinators +
         coordinator % kCoordinators;
}

std::string SwitchCoordinator::Fingerprint() const {
  return fmt::format("{} {} {}", this->proposal.fence,
                     static_cast<int>(this->state),
                     fmt::join(this->armed, ","));
}

SwitchSends SwitchCoordinator::TellAll(const SwitchMessage& message) const {
  SwitchSends sends;
  for (std::size_t rank = 0; rank < this->ranks; ++rank)
    sends.push_back({rank, message});
  return sends;
}

}  // namespace banyanlane::experts
