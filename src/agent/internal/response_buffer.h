#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanlane::agent {

/// Last bytes of one response, retained so that a caller who reconnects can
/// resume from its offset.
class ResponseBuffer {
 public:
  /// @param limit_bytes maximum number of bytes retained; older bytes are
  /// dropped.
  explicit ResponseBuffer(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

  void Append(std::string_view data);

  /// Returns the offset after the last byte.
  std::uint64_t EndOffset() const {
    return this->begin_offset + this->bytes.size();
  }

  /// Returns the offset of the first retained byte.
  std::uint64_t BeginOffset() const { return this->begin_offset; }

  /// Returns up to `max_bytes` bytes from `offset`, which must be within
  /// BeginOffset()..EndOffset().
  std::string_view Read(std::uint64_t offset, std::size_t max_bytes) const;

  /// Returns whether no byte has been dropped.
  bool IsComplete() const { return this->begin_offset == 0; }

  std::string_view Retained() const { return this->bytes; }

 private:
  std::size_t limit_bytes;
  std::uint64_t begin_offset = 0;
  std::string bytes;
};

}  // namespace banyanlane::agent
