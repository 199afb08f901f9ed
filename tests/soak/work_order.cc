#include "soak/work_order.h"

#include <cstdio>

namespace banyanlane::soak {

std::string FormatWork(const WorkOrder& order) {
  return std::to_string(order.events) + "," +
         std::to_string(order.prompt_tokens) + "," +
         std::to_string(order.work_ms) + "," +
         std::to_string(order.response_bytes);
}

WorkOrder ParseWork(const std::string& text) {
  WorkOrder order;
  std::sscanf(text.c_str(), "%d,%d,%d,%d", &order.events, &order.prompt_tokens,
              &order.work_ms, &order.response_bytes);
  return order;
}

std::string EventText(const std::string& request_id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + request_id + "." +
         std::to_string(number) + "\n\n";
}

std::string BodyOf(const std::string& request_id, const WorkOrder& order) {
  std::string body;
  if (order.events > 0) {
    for (int i = 1; i <= order.events; ++i) body += EventText(request_id, i);
    return body;
  }
  while (body.size() < static_cast<std::size_t>(order.response_bytes))
    body += request_id + ";";
  body.resize(static_cast<std::size_t>(order.response_bytes));
  return body;
}

}  // namespace banyanlane::soak
