#include "direct/internal/event_splitter.h"

#include "kernel/text.h"

namespace banyanlane::direct {
namespace {

constexpr std::string_view kIdField = "id:";

/// Returns the end of the first event in `text`, or npos.
std::size_t EndOfEvent(std::string_view text) {
  std::size_t line_start = 0;
  while (true) {
    const std::size_t end = text.find('\n', line_start);
    if (end == std::string_view::npos) return end;
    const std::string_view line = text.substr(line_start, end - line_start);
    if (line.empty() || line == "\r") return end + 1;
    line_start = end + 1;
  }
}

std::optional<std::uint64_t> IdOf(std::string_view event) {
  for (std::string_view line : kernel::Split(event, '\n')) {
    if (!kernel::StartsWith(line, kIdField)) continue;
    line = kernel::Trim(line.substr(kIdField.size()));
    return kernel::ParseNumber<std::uint64_t>(line);
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view data) {
  this->buffer += data;
  std::vector<StreamEvent> events;
  std::string_view remaining = this->buffer;
  while (true) {
    const std::size_t end = EndOfEvent(remaining);
    if (end == std::string_view::npos) break;
    const std::string_view event = remaining.substr(0, end);
    events.push_back({IdOf(event), std::string(event)});
    remaining.remove_prefix(end);
  }
  this->buffer = std::string(remaining);
  return events;
}

}  // namespace banyanlane::direct
