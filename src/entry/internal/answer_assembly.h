#pragma once

#include <cstdint>
#include <string>

#include "http/http_types.h"
#include "kernel/hash.h"
#include "link/messages.h"

namespace banyanlane::entry {

/// Puts the frames of one attempt's answer together, and tells if it is whole.
class AnswerAssembly {
 public:
  /// @param offset where the answer is taken up; the bytes before it were
  /// received elsewhere.
  explicit AnswerAssembly(std::uint64_t offset = 0)
      : first_offset(offset), received(offset) {}

  void SetHead(int head_status, http::Headers head_fields);
  bool HasHead() const { return this->head_known; }
  int status() const { return this->head_status; }
  const http::Headers& headers() const { return this->head_fields; }
  /// Returns whether the answer comes as an event stream.
  bool IsEventStream() const;

  /// What became of a part.
  enum class Taken {
    kTaken,
    kOld,  ///< It was received before.
    kGap,  ///< Bytes before it are missing.
  };
  Taken Take(const link::Chunk& chunk);

  /// Returns whether all was received, by the length and digest that the agent
  /// tells.
  bool IsWhole(const link::Ended& ended) const;

  /// Returns the offset after the last byte received.
  std::uint64_t Received() const { return this->received; }
  /// Returns how much was received and not yet delivered.
  std::size_t HeldBytes() const { return this->held.size(); }
  /// Returns what was received and not yet delivered, and holds it no more.
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
