#include "experts/internal/map_codec.h"

namespace banyanlane::experts {
namespace {

/// Reads `count` lists, each preceded by its length, and advances `position`.
/// @return false if the input is malformed.
bool ReadLists(const std::vector<std::uint64_t>& flat, std::size_t& position,
               std::size_t count,
               std::vector<std::vector<std::uint64_t>>& lists) {
  for (std::size_t list = 0; list < count; ++list) {
    if (position >= flat.size()) return false;
    const std::uint64_t length = flat[position++];
    if (length > flat.size() - position) return false;
    const auto begin = flat.begin() + static_cast<std::ptrdiff_t>(position);
    lists.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(length));
    position += length;
  }
  return true;
}

}  // namespace

std::vector<std::uint64_t> FlattenExperts(
    const std::vector<std::vector<std::uint64_t>>& by_layer) {
  std::vector<std::uint64_t> flat;
  for (const auto& experts : by_layer) {
    flat.push_back(experts.size());
    flat.insert(flat.end(), experts.begin(), experts.end());
  }
  return flat;
}

std::vector<std::vector<std::uint64_t>> UnflattenExperts(
    const std::vector<std::uint64_t>& flat) {
  std::vector<std::vector<std::uint64_t>> by_layer;
  std::size_t position = 0;
  while (position < flat.size()) {
    if (!ReadLists(flat, position, 1, by_layer)) return {};
  }
  return by_layer;
}

std::vector<std::uint64_t> FlattenMap(const ExpertMap& map) {
  std::vector<std::uint64_t> flat = {map.size(),
                                     map.empty() ? 0 : map.front().size()};
  for (const auto& layer : map) {
    const auto ranks = FlattenExperts(layer);
    flat.insert(flat.end(), ranks.begin(), ranks.end());
  }
  return flat;
}

ExpertMap UnflattenMap(const std::vector<std::uint64_t>& flat) {
  if (flat.size() < 2) return {};
  const std::uint64_t layers = flat[0];
  const std::uint64_t ranks = flat[1];
  ExpertMap map;
  std::size_t position = 2;
  for (std::uint64_t layer = 0; layer < layers; ++layer) {
    map.emplace_back();
    if (!ReadLists(flat, position, ranks, map.back())) return {};
  }
  return map;
}

}  // namespace banyanlane::experts
