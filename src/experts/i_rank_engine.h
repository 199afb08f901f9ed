#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::experts {

/// Experts by layer and rank: `map[layer][rank]` lists those that it holds. All
/// holders of an expert share its tokens evenly.
using ExpertMap = std::vector<std::vector<std::vector<std::uint64_t>>>;

/// A map that a rank changes to as a pass begins.
struct ArmedMap {
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  bool operator==(const ArmedMap& other) const {
    return this->version == other.version && this->step == other.step;
  }
};

/// What a rank's engine says of itself.
struct RankReport {
  std::string group;
  std::uint64_t epoch = 0;  ///< Of the group's forming.
  std::uint64_t rank = 0;
  std::uint64_t size = 0;  ///< Ranks of the group.
  bool open = false;
  std::uint64_t step = 0;  ///< Last pass that was begun.
  std::uint64_t map_version = 0;
  std::optional<std::uint64_t> prepared_version;  ///< Its weights are complete.
  std::optional<ArmedMap> armed;
  std::optional<std::uint64_t>
      held_step;        ///< Pass that the group must not begin.
  double slowdown = 1;  ///< Time that its work takes, against the usual.
};

/// How often the rank's work chose each expert since the rank started.
struct RankCounts {
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  ///< Layer by layer.
};

/// The experts that the rank holds in the map in use, by layer.
struct RankExperts {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::vector<std::vector<std::uint64_t>> experts;
};

/// Copies the weights that `map` needs.
struct PrepareOrder {
  std::uint64_t version = 0;
  ExpertMap map;
};
/// Changes to a prepared map as a pass begins.
struct ArmOrder {
  std::uint64_t version = 0;
  std::uint64_t step = 0;
};
/// Takes an ArmOrder back.
struct DisarmOrder {
  std::uint64_t version = 0;
};
/// Keeps the group from beginning a pass.
struct HoldOrder {
  std::uint64_t step = 0;
};
/// Takes a HoldOrder back.
struct ReleaseOrder {
  std::uint64_t step = 0;
};
using RankOrder =
    std::variant<PrepareOrder, ArmOrder, DisarmOrder, HoldOrder, ReleaseOrder>;

/// What came of an order. Only the engine's next report tells its state.
enum class OrderOutcome {
  kDone,        ///< Begun or done.
  kRefused,     ///< It does not fit the engine's state.
  kFenced,      ///< A higher fence has been seen.
  kNoResponse,  ///< It may be done, now or later.
};

/// The engine of one rank.
class IRankEngine {
 public:
  virtual ~IRankEngine() = default;
  virtual void ReadReport(
      std::function<void(kernel::Result<RankReport>)> receive) = 0;
  virtual void ReadCounts(
      std::function<void(kernel::Result<RankCounts>)> receive) = 0;
  virtual void ReadExperts(
      std::function<void(kernel::Result<RankExperts>)> receive) = 0;
  /// @param fence refused by the engine when it has seen a higher one.
  virtual void Order(const RankOrder& order, std::uint64_t epoch,
                     std::uint64_t fencing_token, kernel::Millis timeout,
                     std::function<void(OrderOutcome)> receive) = 0;
};

}  // namespace banyanlane::experts
