#include "agent/idempotency_key.h"

#include <fmt/format.h>

#include <vector>

#include "kernel/text.h"

namespace banyanlane::agent {
namespace {

constexpr std::string_view kVersion = "blk1";
constexpr std::size_t kPartCount = 5;
constexpr std::size_t kMaxNonceLength = 64;

}  // namespace

std::string IdempotencyKey::Format() const {
  return fmt::format("{}~{}~{:x}~{}~{}", kVersion, this->agent,
                     this->incarnation, this->issued_ms, this->nonce);
}

std::optional<IdempotencyKey> IdempotencyKey::Parse(std::string_view text) {
  const std::vector<std::string_view> parts = kernel::Split(text, '~');
  if (parts.size() != kPartCount || parts[0] != kVersion) return std::nullopt;
  IdempotencyKey key;
  key.agent = std::string(parts[1]);
  key.nonce = std::string(parts[4]);
  constexpr int kHexadecimal = 16;
  const auto incarnation =
      kernel::ParseNumber<std::uint64_t>(parts[2], kHexadecimal);
  const auto issued_ms = kernel::ParseNumber<std::uint64_t>(parts[3]);
  if (!incarnation || !issued_ms) return std::nullopt;
  key.incarnation = *incarnation;
  key.issued_ms = *issued_ms;
  if (key.agent.empty() || key.nonce.empty()) return std::nullopt;
  if (key.nonce.size() > kMaxNonceLength) return std::nullopt;
  return key;
}

}  // namespace banyanlane::agent
