#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanlane::direct {

/// Returns the keys under which evidence about the shared parts of a prompt is
/// kept.
/// @param part_ids ids of the parts, in the order of the prompt.
/// @param max_parts number of parts that have a key. The parts of a prompt are
/// looked up several times for each request.
std::vector<std::string> PartKeys(const std::vector<std::string>& part_ids,
                                  std::size_t max_parts);

/// Returns the memory of the keys that PartKeys returns, at most.
std::uint64_t PartKeyMemory(const std::vector<std::string>& part_ids,
                            std::size_t max_parts);

}  // namespace banyanlane::direct
