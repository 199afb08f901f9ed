#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanlane::agent {

/// Bytes of one answer, kept so that a caller who returns can go on from its
/// offset.
class AnswerBuffer {
 public:
  /// @param limit_bytes most bytes kept; older ones are dropped beyond it.
  explicit AnswerBuffer(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

  void Append(std::string_view data);

  /// Returns the offset after the last byte.
  std::uint64_t End() const { return this->base + this->bytes.size(); }

  /// Returns the offset of the first byte still kept.
  std::uint64_t Begin() const { return this->base; }

  /// Returns up to `most` bytes from `offset`, which must lie within
  /// Begin()..End().
  std::string_view Read(std::uint64_t offset, std::size_t most) const;

  /// Returns whether all bytes from the first are kept.
  bool IsWhole() const { return this->base == 0; }

  std::string_view Kept() const { return this->bytes; }

 private:
  std::size_t limit_bytes;
  std::uint64_t base = 0;
  std::string bytes;
};

}  // namespace banyanlane::agent
