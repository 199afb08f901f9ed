#include "experts/internal/map_codec.h"

#include <algorithm>
#include <string>

#include "kernel/hash.h"

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

/// Number of elements before the first change: 0 and the header.
constexpr std::size_t kChangesBegin = 6;

/// An edit of a list is one number: twice its place in the list times the
/// number of experts plus one, plus the expert that gets this place, plus 1 if
/// it is the list's last edit. In place of an expert, the number of experts
/// ends the list.
constexpr std::uint64_t kEditStride = 2;

void AppendEdits(const std::vector<std::uint64_t>& base,
                 const std::vector<std::uint64_t>& list, std::uint64_t experts,
                 std::vector<std::uint64_t>& flat) {
  const auto add = [&](std::size_t place, std::uint64_t expert) {
    flat.push_back(kEditStride * (place * (experts + 1) + expert));
  };
  for (std::size_t place = 0; place < list.size(); ++place) {
    if (place >= base.size() || base[place] != list[place])
      add(place, list[place]);
  }
  if (list.size() < base.size()) add(list.size(), experts);
  ++flat.back();
}

/// Applies the edits of one list, and advances `position`.
/// @return false if they do not fit the list.
bool ReadEdits(const std::vector<std::uint64_t>& flat, std::size_t& position,
               std::uint64_t experts, std::vector<std::uint64_t>& list) {
  bool is_last = false;
  while (!is_last) {
    if (position >= flat.size()) return false;
    const std::uint64_t edit = flat[position++];
    is_last = edit % kEditStride != 0;
    const std::uint64_t place = edit / kEditStride / (experts + 1);
    const std::uint64_t expert = edit / kEditStride % (experts + 1);
    if (place > list.size()) return false;
    if (expert == experts) {
      list.resize(place);
    } else if (place == list.size()) {
      list.push_back(expert);
    } else {
      list[place] = expert;
    }
  }
  return true;
}

/// Reorders `list` so that the experts of `base` keep their places.
void AlignList(const std::vector<std::uint64_t>& base,
               std::vector<std::uint64_t>& list) {
  for (std::size_t place = 0; place < std::min(base.size(), list.size());
       ++place) {
    const auto found = std::find(list.begin(), list.end(), base[place]);
    if (found != list.end())
      std::iter_swap(list.begin() + static_cast<std::ptrdiff_t>(place), found);
  }
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

ExpertMap InTurnMap(std::size_t layers, std::size_t ranks,
                    std::size_t experts) {
  ExpertMap map(layers);
  for (auto& layer : map) {
    layer.resize(ranks);
    for (std::size_t expert = 0; expert < experts; ++expert)
      layer[expert % ranks].push_back(expert);
  }
  return map;
}

std::uint64_t DigestOf(const ExpertMap& map) {
  std::string text;
  for (const std::uint64_t number : FlattenMap(map))
    text.append(std::to_string(number)).push_back(',');
  return kernel::Hash64(text);
}

ExpertMap AlignWith(const ExpertMap& base, ExpertMap map) {
  for (std::size_t layer = 0; layer < map.size(); ++layer) {
    for (std::size_t rank = 0; rank < map[layer].size(); ++rank)
      AlignList(base[layer][rank], map[layer][rank]);
  }
  return map;
}

std::vector<std::uint64_t> FlattenMapChanges(const MapChangesHeader& header,
                                             const ExpertMap& base,
                                             const ExpertMap& map) {
  std::vector<std::uint64_t> flat = {0,
                                     header.base_version,
                                     header.layers,
                                     header.ranks,
                                     header.experts,
                                     DigestOf(map)};
  std::uint64_t unchanged = 0;
  for (std::size_t layer = 0; layer < map.size(); ++layer) {
    for (std::size_t rank = 0; rank < map[layer].size(); ++rank) {
      if (map[layer][rank] == base[layer][rank]) {
        ++unchanged;
        continue;
      }
      flat.push_back(unchanged);
      AppendEdits(base[layer][rank], map[layer][rank], header.experts, flat);
      unchanged = 0;
    }
  }
  return flat;
}

std::optional<MapChangesHeader> ReadMapChangesHeader(
    const std::vector<std::uint64_t>& flat) {
  if (flat.size() < kChangesBegin || flat[0] != 0) return std::nullopt;
  return MapChangesHeader{flat[1], flat[2], flat[3], flat[4], flat[5]};
}

std::optional<ExpertMap> ApplyMapChanges(const std::vector<std::uint64_t>& flat,
                                         ExpertMap base) {
  const auto header = ReadMapChangesHeader(flat);
  if (!header) return std::nullopt;
  const bool has_shape = header->layers == base.size() && !base.empty() &&
                         header->ranks == base.front().size();
  if (!has_shape) return std::nullopt;
  std::uint64_t list = 0;
  std::size_t position = kChangesBegin;
  while (position < flat.size()) {
    if (flat[position] >= header->layers * header->ranks - list)
      return std::nullopt;
    list += flat[position++];
    auto& experts = base[list / header->ranks][list % header->ranks];
    if (!ReadEdits(flat, position, header->experts, experts))
      return std::nullopt;
    ++list;
  }
  if (DigestOf(base) != header->digest) return std::nullopt;
  return base;
}

}  // namespace banyanlane::experts
