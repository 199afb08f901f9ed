#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlane::direct {

/// One complete event of a text/event-stream.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  std::string text;  ///< Text of the event, with the blank line that ends it.
};

/// Splits a stream into its events. An incomplete event is kept until its end
/// arrives. The time that this takes grows with the number of bytes, whatever
/// the sizes of events and of the blocks that arrive.
class EventSplitter {
 public:
  /// Adds the next bytes.
  /// @return the events that are now complete.
  std::vector<StreamEvent> Feed(std::string_view data);

  /// Returns whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !this->buffer.empty(); }

  /// Returns the size of the incomplete event, in bytes.
  std::size_t PartialEventBytes() const { return this->buffer.size(); }

 private:
  std::string buffer;
  std::size_t line_start = 0;  ///< Start of the last line in `buffer`.
  std::size_t searched = 0;    ///< Bytes of `buffer` searched for line ends.
};

}  // namespace banyanlane::direct
