#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanlane::agent {

/// Idempotency key issued by the system. It names the one agent process whose
/// ledger decides whether the work has run, so that no two processes can ever
/// both accept it.
struct IdempotencyKey {
  std::string agent;
  std::uint64_t incarnation = 0;
  std::uint64_t issued_ms = 0;  ///< On that agent's clock.
  std::string nonce;

  /// Returns the text that callers send.
  std::string Format() const;

  /// Parses the text form; anything else is not an issued key.
  static std::optional<IdempotencyKey> Parse(std::string_view text);
};

}  // namespace banyanlane::agent
