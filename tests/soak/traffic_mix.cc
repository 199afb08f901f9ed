#include "soak/traffic_mix.h"

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace banyanlane::soak {
namespace {

using nlohmann::json;

const std::map<std::string, RequestKind>& KindNames() {
  static const std::map<std::string, RequestKind> names = {
      {"repeatable", RequestKind::kRepeatable},
      {"unrepeatable", RequestKind::kUnrepeatable},
      {"stream", RequestKind::kStream}};
  return names;
}

kernel::Millis MillisOf(const json& fields, const char* name) {
  return kernel::Millis(fields.value(name, 0));
}

ServiceSpec ReadService(const json& fields) {
  ServiceSpec service;
  service.name = fields.at("name").get<std::string>();
  service.servers = fields.at("servers").get<int>();
  service.slots = fields.at("slots").get<int>();
  service.queue = fields.at("queue").get<int>();
  service.step_ms = fields.value("step_ms", 0.0);
  service.step_ms_per_request = fields.value("step_ms_per_request", 0.0);
  service.steps_per_event = fields.value("steps_per_event", 1);
  service.prompt_tokens_per_ms = fields.value("prompt_tokens_per_ms", 1.0);
  return service;
}

RequestSpec ReadRequest(const json& fields) {
  RequestSpec request;
  request.name = fields.at("name").get<std::string>();
  request.service = fields.at("service").get<std::string>();
  request.kind = KindNames().at(fields.at("kind").get<std::string>());
  request.per_second = fields.at("per_second").get<double>();
  request.deadline = MillisOf(fields, "deadline_ms");
  request.route_timeout = MillisOf(fields, "route_timeout_ms");
  request.goal = MillisOf(fields, "goal_ms");
  request.pause_goal = MillisOf(fields, "pause_goal_ms");
  request.attempts = fields.value("attempts", 1);
  request.mean_prompt_tokens = fields.value("prompt_tokens", 0.0);
  request.mean_events = fields.value("events", 0.0);
  request.max_events = fields.value("max_events", 0);
  request.mean_work_ms = fields.value("work_ms", 0.0);
  request.mean_response_bytes = fields.value("response_bytes", 0.0);
  request.mean_request_bytes = fields.value("request_bytes", 0.0);
  return request;
}

}  // namespace

TrafficMix LoadMix(const std::string& path) {
  std::ifstream file(path);
  const json fields = json::parse(file, nullptr, false);
  if (!fields.is_object()) throw std::runtime_error(path + " is not a mix");
  TrafficMix mix;
  mix.gateways = fields.at("gateways").get<int>();
  mix.callers = fields.at("callers").get<int>();
  mix.grace_period = MillisOf(fields, "grace_ms");
  for (const json& service : fields.at("services"))
    mix.services.push_back(ReadService(service));
  for (const json& request : fields.at("requests"))
    mix.requests.push_back(ReadRequest(request));
  return mix;
}

TrafficMix Scaled(TrafficMix mix, double factor) {
  for (RequestSpec& request : mix.requests) request.per_second *= factor;
  return mix;
}

}  // namespace banyanlane::soak
