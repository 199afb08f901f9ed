#include "experts/internal/counts_codec.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace banyanlane::experts {
namespace {

constexpr std::size_t kBitsPerLevel = 4;
constexpr std::size_t kLevels = std::size_t{1} << kBitsPerLevel;
constexpr std::size_t kLevelsPerWord = 64 / kBitsPerLevel;
/// Elements before the first word.
constexpr std::size_t kWordsBegin = 2;

/// Returns the count of each level. Level 0 is a count of 0.
std::array<double, kLevels> CountsOfLevels(std::uint64_t highest) {
  std::array<double, kLevels> counts{};
  for (std::size_t level = 1; level < kLevels; ++level) {
    const auto steps_down = static_cast<double>(kLevels - 1 - level);
    counts[level] = static_cast<double>(highest) * std::exp2(-steps_down / 2);
  }
  return counts;
}

/// Returns the lowest count that each level stands for.
std::array<double, kLevels> LowestOfLevels(std::uint64_t highest) {
  std::array<double, kLevels> lowest = CountsOfLevels(highest);
  for (std::size_t level = kLevels - 1; level > 0; --level)
    lowest[level] = (lowest[level] + lowest[level - 1]) / 2;
  return lowest;
}

}  // namespace

std::vector<std::uint64_t> PackCounts(
    const std::vector<std::uint64_t>& counts) {
  const std::uint64_t highest =
      counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
  const auto lowest = LowestOfLevels(highest);
  std::vector<std::uint64_t> packed = {counts.size(), highest};
  packed.resize(kWordsBegin +
                (counts.size() + kLevelsPerWord - 1) / kLevelsPerWord);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] == 0) continue;
    const auto above = std::upper_bound(lowest.begin() + 1, lowest.end(),
                                        static_cast<double>(counts[i]));
    const auto level = static_cast<std::uint64_t>(above - lowest.begin() - 1);
    packed[kWordsBegin + i / kLevelsPerWord] |=
        level << (kBitsPerLevel * (i % kLevelsPerWord));
  }
  return packed;
}

std::optional<std::vector<std::uint64_t>> UnpackCounts(
    const std::vector<std::uint64_t>& packed) {
  if (packed.size() < kWordsBegin) return std::nullopt;
  const std::uint64_t count = packed[0];
  const std::size_t capacity = (packed.size() - kWordsBegin) * kLevelsPerWord;
  const bool has_size = count <= capacity && capacity - count < kLevelsPerWord;
  if (!has_size) return std::nullopt;
  const auto counts_of_levels = CountsOfLevels(packed[1]);
  std::vector<std::uint64_t> counts(count);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const std::uint64_t word = packed[kWordsBegin + i / kLevelsPerWord];
    const std::size_t level =
        (word >> (kBitsPerLevel * (i % kLevelsPerWord))) % kLevels;
    counts[i] =
        static_cast<std::uint64_t>(std::llround(counts_of_levels[level]));
  }
  return counts;
}

}  // namespace banyanlane::experts
