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
/// arrives.
class EventSplitter {
 public:
  /// Adds the next bytes.
  /// @return the events that are now complete.
  std::vector<StreamEvent> Feed(std::string_view data);

  /// Returns whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !this->buffer.empty(); }

 private:
  std::string buffer;
};

}  // namespace banyanlane::direct
