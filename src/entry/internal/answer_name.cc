#include "entry/internal/answer_name.h"

#include <fmt/format.h>

#include <vector>

#include "kernel/text.h"

namespace banyanlane::entry {

std::string AnswerName::Format() const {
  return fmt::format("{}~{:x}~{}", this->node, this->incarnation,
                     this->request);
}

std::optional<AnswerName> AnswerName::Parse(std::string_view text) {
  const std::vector<std::string_view> parts = kernel::Split(text, '~');
  constexpr std::size_t kParts = 3;
  AnswerName name;
  if (parts.size() != kParts) return std::nullopt;
  constexpr int kHexadecimal = 16;
  const auto incarnation =
      kernel::ParseNumber<std::uint64_t>(parts[1], kHexadecimal);
  if (!incarnation) return std::nullopt;
  name.incarnation = *incarnation;
  name.node = std::string(parts[0]);
  name.request = std::string(parts[2]);
  if (name.node.empty() || name.request.empty()) return std::nullopt;
  return name;
}

}  // namespace banyanlane::entry
