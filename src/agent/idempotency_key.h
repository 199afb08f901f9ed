#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanlane::agent {

/// Idempotency key issued by the system. A key names the single agent process
/// whose ledger decides whether the work has run, so that no two processes can
/// both accept it.
struct IdempotencyKey {
  std::string agent;
  std::uint64_t incarnation = 0;
  /// Time of issue on the clock of `agent`, in milliseconds.
  std::uint64_t issued_ms = 0;
  std::string nonce;

  /// Returns the text form, which callers send.
  std::string Format() const;

  /// Parses the text form.
  /// @return the key, or nothing when `text` is not an issued key.
  static std::optional<IdempotencyKey> Parse(std::string_view text);
};

}  // namespace banyanlane::agent
