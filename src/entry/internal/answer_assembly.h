#pragma once

#include <cstdint>
#include <string>

#include "http/http_types.h"
#include "kernel/hash.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Assembles the response of one attempt from its frames and checks whether it
/// is complete.
class AnswerAssembly {
 public:
  /// @param offset Offset of the first expected byte; greater than 0 when the
  /// response is resumed and its start was received by another flow.
  explicit AnswerAssembly(std::uint64_t offset = 0)
      : first_offset(offset), received(offset) {}

  void SetHead(int head_status, http::Headers head_fields);
  bool HasHead() const { return this->head_known; }
  int status() const { return this->head_status; }
  const http::Headers& headers() const { return this->head_fields; }
  /// Returns whether the content type is that of server-sent events.
  bool IsEventStream() const;

  /// Result of adding a chunk.
  enum class Taken {
    kTaken,
    kOld,  ///< The chunk was received before.
    kGap,  ///< Bytes before the chunk are missing.
  };
  Taken Take(const link::Chunk& chunk);

  /// Returns whether the response is complete according to the length and the
  /// digest in `ended`.
  bool IsWhole(const link::Ended& ended) const;

  /// Returns the offset after the last byte received.
  std::uint64_t Received() const { return this->received; }
  /// Returns the number of bytes that are buffered.
  std::size_t HeldBytes() const { return this->held.size(); }
  /// Returns the buffered bytes and clears the buffer.
  std::string Release();

 private:
  bool head_known = false;
  int head_status = 0;
  http::Headers head_fields;
  std::uint64_t first_offset;
  std::uint64_t received;
  std::string held;
  kernel::DigestStream digest;
};

}  // namespace banyanlane::entry
