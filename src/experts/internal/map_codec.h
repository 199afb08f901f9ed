#pragma once

#include <cstdint>
#include <vector>

#include "experts/i_rank_engine.h"

namespace banyanlane::experts {

/// Returns one rank's experts as a flat list: for each layer the number of
/// experts, then the experts.
std::vector<std::uint64_t> FlattenExperts(
    const std::vector<std::vector<std::uint64_t>>& by_layer);

/// Returns the experts by layer from a list of FlattenExperts, or an empty list
/// if it is malformed.
std::vector<std::vector<std::uint64_t>> UnflattenExperts(
    const std::vector<std::uint64_t>& flat);

/// Returns a map as a flat list: the number of layers, the number of ranks,
/// then for each layer and rank the number of experts and the experts.
std::vector<std::uint64_t> FlattenMap(const ExpertMap& map);

/// Returns the map from a list of FlattenMap, or an empty map if it is
/// malformed.
ExpertMap UnflattenMap(const std::vector<std::uint64_t>& flat);

}  // namespace banyanlane::experts
