#include "direct/internal/event_splitter.h"

#include "kernel/text.h"

namespace banyanlane::direct {
namespace {

constexpr std::string_view kIdField = "id:";

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
  std::size_t event_start = 0;
  const std::string_view text = this->buffer;
  while (true) {
    const std::size_t line_end = text.find('\n', this->searched);
    if (line_end == std::string_view::npos) break;
    const std::string_view line =
        text.substr(this->line_start, line_end - this->line_start);
    this->searched = line_end + 1;
    this->line_start = this->searched;
    if (!line.empty() && line != "\r") continue;
    const std::string_view event =
        text.substr(event_start, this->searched - event_start);
    events.push_back({IdOf(event), std::string(event)});
    event_start = this->searched;
  }
  this->buffer.erase(0, event_start);
  this->line_start -= event_start;
  this->searched = this->buffer.size();
  return events;
}

}  // namespace banyanlane::direct
