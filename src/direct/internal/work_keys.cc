#include "direct/internal/work_keys.h"

#include <algorithm>
#include <string_view>

#include "kernel/hash.h"

namespace banyanlane::direct {
namespace {

/// Begins the key of a part of a prompt.
constexpr std::string_view kPartPrefix = "part:";
/// Maximum length of an id that is a part of its key.
constexpr std::size_t kMaxPartIdBytes = 64;

/// Returns the key of a part of a prompt. Evidence about keys is kept for a
/// long time, so that the digest stands for a long id.
std::string PartKey(const std::string& part_id) {
  const bool is_long = part_id.size() > kMaxPartIdBytes;
  return std::string(kPartPrefix) +
         (is_long ? kernel::Digest(part_id) : part_id);
}

}  // namespace

std::vector<std::string> PartKeys(const std::vector<std::string>& part_ids,
                                  std::size_t max_parts) {
  std::vector<std::string> keys;
  for (const std::string& part_id : part_ids) {
    if (keys.size() == max_parts) break;
    keys.push_back(PartKey(part_id));
  }
  return keys;
}

std::uint64_t PartKeyMemory(const std::vector<std::string>& part_ids,
                            std::size_t max_parts) {
  constexpr std::uint64_t kMaxKeyBytes =
      sizeof(std::string) + kPartPrefix.size() + kMaxPartIdBytes;
  return kMaxKeyBytes * std::min(part_ids.size(), max_parts);
}

}  // namespace banyanlane::direct
