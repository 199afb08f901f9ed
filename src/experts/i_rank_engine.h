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

/// Expert map of a group: `map[layer][rank]` lists the experts that the rank
/// holds in that layer. All ranks that hold an expert process equal fractions
/// of its tokens.
using ExpertMap = std::vector<std::vector<std::vector<std::uint64_t>>>;

/// A prepared map that the rank will switch to at the beginning of `step`.
struct ArmedMap {
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  bool operator==(const ArmedMap& other) const {
    return this->version == other.version && this->step == other.step;
  }
};

/// State that the engine of a rank reports. A step is one forward pass of the
/// group.
struct RankReport {
  std::string group;
  std::uint64_t epoch = 0;  ///< Grows each time that the group forms.
  std::uint64_t rank = 0;
  std::uint64_t size = 0;  ///< Number of ranks in the group.
  bool open = false;       ///< Whether the group's state is "open".
  std::uint64_t step = 0;  ///< Last step that has begun.
  std::uint64_t map_version = 0;
  /// Version of the map whose weights the rank has copied completely.
  std::optional<std::uint64_t> prepared_version;
  std::optional<ArmedMap> armed;
  /// Step that this rank keeps the group from beginning.
  std::optional<std::uint64_t> held_step;
  /// Time per unit of work relative to normal; 2 is twice as slow.
  double slowdown = 1;
  std::uint64_t running = 0;  ///< Requests in the rank's batch.
  std::uint64_t queued = 0;   ///< Requests that wait for a place in it.
};

/// Number of times that the rank's tokens selected each expert since the rank
/// started.
struct RankCounts {
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  ///< Layer by layer.
};

/// Experts that the rank holds in the map in use.
struct RankExperts {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::vector<std::vector<std::uint64_t>> experts;  ///< By layer.
};

/// Instructs the engine to copy the weights that `map` needs.
struct PrepareOrder {
  std::uint64_t version = 0;
  ExpertMap map;
};
/// Instructs the engine to switch to a prepared map at the beginning of `step`.
struct ArmOrder {
  std::uint64_t version = 0;
  std::uint64_t step = 0;
};
/// Withdraws an ArmOrder.
struct DisarmOrder {
  std::uint64_t version = 0;
};
/// Instructs the engine to keep the group from beginning `step`.
struct HoldOrder {
  std::uint64_t step = 0;
};
/// Withdraws a HoldOrder.
struct ReleaseOrder {
  std::uint64_t step = 0;
};
using RankOrder =
    std::variant<PrepareOrder, ArmOrder, DisarmOrder, HoldOrder, ReleaseOrder>;

/// Result of an order. It does not show the engine's state; only a report that
/// is read afterwards does.
enum class OrderOutcome {
  kDone,        ///< The engine has carried out the order or has begun to.
  kRefused,     ///< The order does not fit the engine's state.
  kFenced,      ///< The engine has received a higher fencing token.
  kNoResponse,  ///< The order may be carried out, now or later.
};

/// Model engine of one rank.
class IRankEngine {
 public:
  virtual ~IRankEngine() = default;
  virtual void ReadReport(
      std::function<void(kernel::Result<RankReport>)> receive) = 0;
  virtual void ReadCounts(
      std::function<void(kernel::Result<RankCounts>)> receive) = 0;
  virtual void ReadExperts(
      std::function<void(kernel::Result<RankExperts>)> receive) = 0;
  /// Sends an order to the engine.
  /// @param epoch epoch of the group that the order is meant for.
  /// @param fencing_token the engine refuses the order if it has received a
  /// higher one.
  /// @param timeout time to wait for the engine's response.
  /// @param receive called once with the result.
  virtual void Order(const RankOrder& order, std::uint64_t epoch,
                     std::uint64_t fencing_token, kernel::Millis timeout,
                     std::function<void(OrderOutcome)> receive) = 0;
};

}  // namespace banyanlane::experts
