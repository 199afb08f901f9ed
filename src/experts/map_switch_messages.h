#pragma once

#include <cstdint>
#include <variant>
#include <vector>

namespace banyanlane::experts {

/// A proposed switch of a group's expert map. `fence` orders proposals; it is
/// never used twice.
struct MapSwitch {
  std::uint64_t fencing_token = 0;
  std::uint64_t map = 0;
  std::uint64_t step = 0;  ///< First step that uses the map.
};

/// Coordinator to rank: do not begin `proposal.step` until the switch is
/// settled.
struct ArmSwitch {
  MapSwitch proposal;
};

/// Rank to coordinator.
struct ArmReply {
  std::uint64_t fencing_token = 0;
  bool armed = false;
  std::uint64_t highest_fencing_token = 0;  ///< Highest that the rank has seen.
};

/// Coordinator to rank: all ranks are armed.
struct CommitSwitch {
  std::uint64_t fencing_token = 0;
};

/// Coordinator to rank: it will never commit this switch.
struct AbortSwitch {
  std::uint64_t fencing_token = 0;
};

/// Rank to rank: I stand at the step of this switch without its outcome; have
/// you got it?
struct QuerySwitch {
  std::uint64_t fencing_token = 0;
};

/// Answer to a query. A rank that answers without a commit takes none from the
/// coordinator any more.
struct QueryReply {
  std::uint64_t fencing_token = 0;
  bool committed = false;
};

/// Rank to rank: the outcome, found by asking all ranks.
struct SettleSwitch {
  MapSwitch proposal;
  bool committed = false;
};

using SwitchMessage =
    std::variant<ArmSwitch, ArmReply, CommitSwitch, AbortSwitch, QuerySwitch,
                 QueryReply, SettleSwitch>;

/// Receiver that is the coordinator which sent the message answered.
inline constexpr std::size_t kCoordinator = SIZE_MAX;

/// A message and who it is for: a rank, or kCoordinator.
struct OutgoingSwitchMessage {
  std::size_t to = 0;
  SwitchMessage message;
};
using OutgoingSwitchMessages = std::vector<OutgoingSwitchMessage>;

}  // namespace banyanlane::experts
