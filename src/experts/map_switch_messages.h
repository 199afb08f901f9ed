#pragma once

#include <cstdint>
#include <variant>
#include <vector>

namespace banyanlane::experts {

/// A proposed switch of a group's expert map.
struct MapSwitch {
  std::uint64_t fencing_token = 0;  ///< Unique; orders the proposals.
  std::uint64_t map = 0;            ///< Version of the new map.
  std::uint64_t step = 0;           ///< First step that uses the map.
};

/// Coordinator to rank: do not begin `proposal.step` before the outcome of the
/// switch is known.
struct ArmSwitch {
  MapSwitch proposal;
};

/// Rank to coordinator: whether the rank has armed for the switch.
struct ArmReply {
  std::uint64_t fencing_token = 0;
  bool armed = false;
  /// Highest token that the rank has received.
  std::uint64_t highest_fencing_token = 0;
};

/// Coordinator to rank: all ranks are armed.
struct CommitSwitch {
  std::uint64_t fencing_token = 0;
};

/// Coordinator to rank: the coordinator will never commit this switch.
struct AbortSwitch {
  std::uint64_t fencing_token = 0;
};

/// Rank to rank: asks for the outcome of the switch. The sender has reached its
/// step without knowing it.
struct QuerySwitch {
  std::uint64_t fencing_token = 0;
};

/// Reply to a query. A rank that replies without a commit accepts no commit
/// from the coordinator afterwards.
struct QueryReply {
  std::uint64_t fencing_token = 0;
  bool committed = false;
};

/// Rank to rank: the outcome of the switch.
struct SettleSwitch {
  MapSwitch proposal;
  bool committed = false;
};

using SwitchMessage =
    std::variant<ArmSwitch, ArmReply, CommitSwitch, AbortSwitch, QuerySwitch,
                 QueryReply, SettleSwitch>;

/// Receiver of replies: the coordinator that sent the message.
inline constexpr std::size_t kCoordinator = SIZE_MAX;

/// A message and its receiver, a rank or kCoordinator.
struct OutgoingSwitchMessage {
  std::size_t to = 0;
  SwitchMessage message;
};
using OutgoingSwitchMessages = std::vector<OutgoingSwitchMessage>;

}  // namespace banyanlane::experts
