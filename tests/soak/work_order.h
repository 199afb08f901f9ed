#pragma once

#include <string>

namespace banyanlane::soak {

/// Header field in which a caller tells the server what to do for a request.
inline constexpr const char* kWorkField = "x-soak-work";

/// What a server does for one request.
struct WorkOrder {
  int events = 0;  ///< Events of a stream, or 0 for a plain response.
  int prompt_tokens = 0;
  int work_ms = 0;
  int response_bytes = 0;
};

std::string FormatWork(const WorkOrder& order);
/// Returns what `text` describes; what it lacks is 0.
WorkOrder ParseWork(const std::string& text);

/// Returns the event with the given number, which begins at 1, of the stream of
/// a request.
std::string EventText(const std::string& request_id, int number);
/// Returns the complete body of the response to a request.
std::string BodyOf(const std::string& request_id, const WorkOrder& order);

}  // namespace banyanlane::soak
