#pragma once

#include <cstdint>
#include <optional>
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

/// Returns the map that groups form with: experts are assigned to the ranks in
/// turn, in each layer.
ExpertMap InTurnMap(std::size_t layers, std::size_t ranks, std::size_t experts);

/// Shape of a map, the map that changes refer to, and the one they lead to.
struct MapChangesHeader {
  /// Version of the map that the changes refer to. Version 0 is InTurnMap.
  std::uint64_t base_version = 0;
  std::uint64_t layers = 0;
  std::uint64_t ranks = 0;
  std::uint64_t experts = 0;  ///< Number of experts in each layer.
  std::uint64_t digest = 0;   ///< DigestOf the changed map.
};

/// Returns a digest of the content of a map.
std::uint64_t DigestOf(const ExpertMap& map);

/// Returns `map` with the experts of each list reordered, so that those that
/// `base` has in the same list keep their places as far as possible. Changes to
/// such a map are fewer.
ExpertMap AlignWith(const ExpertMap& base, ExpertMap map);

/// Converts the difference between two maps of the same shape to one list: 0,
/// the header with the digest of `map`, then for each list of experts that
/// differs its distance from the one before, in the order of layers and ranks,
/// and its edits. An edit replaces or appends one expert or ends the list.
std::vector<std::uint64_t> FlattenMapChanges(const MapChangesHeader& header,
                                             const ExpertMap& base,
                                             const ExpertMap& map);

/// Returns the header if `flat` is a result of FlattenMapChanges, or nothing if
/// it is a complete map.
std::optional<MapChangesHeader> ReadMapChangesHeader(
    const std::vector<std::uint64_t>& flat);

/// Applies changes to the map that they refer to.
/// @param flat result of FlattenMapChanges.
/// @return the changed map, or nothing if `flat` does not fit `base` or the
/// changed map does not have the digest.
std::optional<ExpertMap> ApplyMapChanges(const std::vector<std::uint64_t>& flat,
                                         ExpertMap base);

}  // namespace banyanlane::experts
