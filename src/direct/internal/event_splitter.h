#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlane::direct {

/// One whole event of a text/event-stream.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  std::string text;  ///< With the blank line that ends it.
};

/// Splits a stream into its events. The last, incomplete one is held back.
class EventSplitter {
 public:
  /// Takes the next bytes. @return the events that are whole now.
  std::vector<StreamEvent> Feed(std::string_view data);

  /// Returns whether bytes of an incomplete event are held.
  bool HasPartialEvent() const { return !this->buffer.empty(); }

 private:
  std::string buffer;
};

}  // namespace banyanlane::direct
