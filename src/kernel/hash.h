#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace banyanlane::kernel {

/// Returns the 64-bit xxHash3 of `data`.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns the 128-bit xxHash3 of `data` as 32 hexadecimal digits.
std::string Digest(std::string_view data);

/// Computes the digest of data that arrives in several parts.
class DigestStream {
 public:
  DigestStream();
  ~DigestStream();
  DigestStream(const DigestStream&) = delete;
  DigestStream& operator=(const DigestStream&) = delete;

  void Add(std::string_view data);
  /// Returns the value of Digest for the concatenation of all parts.
  std::string Finish() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Returns the rendezvous-hashing weight of `node` for `key`. The node with the
/// highest weight is selected.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// Returns 32 random hexadecimal digits from the operating system's random
/// source.
std::string RandomId();

}  // namespace banyanlane::kernel
