#include "entry/internal/response_id.h"

#include <fmt/format.h>

#include <vector>

#include "kernel/text.h"

namespace banyanlane::entry {

std::string ResponseId::Format() const {
  return fmt::format("{}~{:x}~{}", this->node, this->incarnation,
                     this->request);
}

std::optional<ResponseId> ResponseId::Parse(std::string_view text) {
  const std::vector<std::string_view> parts = kernel::Split(text, '~');
  constexpr std::size_t kParts = 3;
  ResponseId id;
  if (parts.size() != kParts) return std::nullopt;
  constexpr int kHexadecimal = 16;
  const auto incarnation =
      kernel::ParseNumber<std::uint64_t>(parts[1], kHexadecimal);
  if (!incarnation) return std::nullopt;
  id.incarnation = *incarnation;
  id.node = std::string(parts[0]);
  id.request = std::string(parts[2]);
  if (id.node.empty() || id.request.empty()) return std::nullopt;
  return id;
}

}  // namespace banyanlane::entry
