#pragma once

#include <cstdint>
#include <vector>

#include "experts/i_rank_engine.h"

namespace banyanlane::experts {

/// Writes one rank's experts: for each layer their number, then each.
std::vector<std::uint64_t> FlattenExperts(
    const std::vector<std::vector<std::uint64_t>>& by_layer);

/// Reads what FlattenExperts wrote; empty when malformed.
std::vector<std::vector<std::uint64_t>> UnflattenExperts(
    const std::vector<std::uint64_t>& flat);

/// Writes a map: its layers and ranks, then the experts of each.
std::vector<std::uint64_t> FlattenMap(const ExpertMap& map);

/// Reads what FlattenMap wrote; empty when malformed.
ExpertMap UnflattenMap(const std::vector<std::uint64_t>& flat);

}  // namespace banyanlane::experts
