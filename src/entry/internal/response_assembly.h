#pragma once

#include <cstdint>
#include <string>

#include "http/http_types.h"
#include "kernel/hash.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Assembles the response of one attempt from its messages and checks whether
/// it is complete.
class ResponseAssembly {
 public:
  /// @param offset Offset of the first expected byte; greater than 0 when the
  /// response is resumed and its start was received by another flow.
  explicit ResponseAssembly(std::uint64_t offset = 0)
      : first_offset(offset), received_offset(offset) {}

  void SetHead(int status, http::Headers fields);
  bool HasHead() const { return this->head_received; }
  int status() const { return this->head_status; }
  const http::Headers& headers() const { return this->head_fields; }
  /// Returns whether the content type is that of server-sent events.
  bool IsEventStream() const;

  /// Result of adding a chunk.
  enum class AddResult {
    kAdded,
    kDuplicate,  ///< The chunk was received before.
    kGap,        ///< Bytes before the chunk are missing.
  };
  AddResult Add(const link::Chunk& chunk);

  /// Returns whether the response is complete according to the length and the
  /// digest in `ended`.
  bool IsComplete(const link::Ended& ended) const;

  /// Returns the offset after the last byte received.
  std::uint64_t ReceivedOffset() const { return this->received_offset; }
  /// Returns the number of bytes that are buffered.
  std::size_t BufferedBytes() const { return this->buffer.size(); }
  /// Returns the buffered bytes and clears the buffer.
  std::string TakeBuffer();

 private:
  bool head_received = false;
  int head_status = 0;
  http::Headers head_fields;
  std::uint64_t first_offset;
  std::uint64_t received_offset;
  std::string buffer;
  kernel::DigestStream digest;
};

}  // namespace banyanlane::entry
