#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace banyanlane::experts {

/// Packs counts for a message: their number, the highest one, then words of 16
/// levels of four bits each. Levels are powers of the square root of 2, down
/// from the highest count, so that a count is off by a fifth at most unless it
/// is less than a hundredth of the highest one. That is less than the noise
/// between the samples of single ranks.
std::vector<std::uint64_t> PackCounts(const std::vector<std::uint64_t>& counts);

/// Returns the counts from a list of PackCounts, or nothing if it is malformed.
std::optional<std::vector<std::uint64_t>> UnpackCounts(
    const std::vector<std::uint64_t>& packed);

}  // namespace banyanlane::experts
