#include "processes/process_helpers.h"

namespace banyanlane::processes {

using nlohmann::json;
const char* const kConfig = R"(
[profile:chat]
class = chat
service = model
deadline_ms = 20000
max_output_tokens = 4000
resume_grace_ms = 10000
[profile:lookup]
class = service
service = tabs
path_prefix = /tabs
deadline_ms = 3000
[profile:close]
class = service
service = tabs
path_prefix = /tabs/close
repeatable = false
deadline_ms = 8000
)";

std::string ConfigWith(const std::string& from, const std::string& to) {
  std::string config = kConfig;
  return config.replace(config.find(from), from.size(), to);
}

std::string ExpectedTokens(const std::string& message, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i)
    text += message + "-" + std::to_string(i) + " ";
  return text;
}

std::string TokensOf(const std::string& events) {
  std::string text;
  for (std::size_t at = events.find("data: {"); at != std::string::npos;
       at = events.find("data: {", at + 1)) {
    const std::size_t start = at + 6;
    const json part =
        json::parse(events.substr(start, events.find('\n', start) - start));
    text += part["choices"][0]["delta"]["content"].get<std::string>();
  }
  return text;
}

std::string IssueKey(Fleet& fleet, const std::string& entry) {
  const auto response =
      fleet.SendRequest(entry, {"GET", "/v1/keys?profile=close", {}, "", ""});
  return json::parse(response.body)["key"].get<std::string>();
}

json ParseProblem(const http::HttpResponse& response) {
  return json::parse(response.body, nullptr, false);
}

void StartDefaultFleet(Fleet& fleet, int engines, bool relayed) {
  fleet.StartPlatform(kConfig);
  for (int i = 1; i <= engines; ++i) {
    fleet.AddEndpoint("m" + std::to_string(i), "engine", "model", relayed);
  }
  fleet.AddEndpoint("t1", "service", "tabs");
  fleet.AddEntry("e1");
  fleet.AddEntry("e2");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", engines + 1);
  fleet.AwaitEndpoints("e2", engines + 1);
}

std::string AgentOf(const ResponseRecorder& response) {
  const std::string name = response.header("banyanlane-request");
  return name.substr(0, name.find('~'));
}

void StartSingleEntryFleet(Fleet& fleet, const std::string& config,
                           int engines) {
  fleet.StartPlatform(config);
  for (int i = 1; i <= engines; ++i) {
    fleet.AddEndpoint("m" + std::to_string(i), "engine", "model");
  }
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", engines);
}

nlohmann::json EngineStats(Fleet& fleet, const std::string& name) {
  return nlohmann::json::parse(
      fleet.FetchPage(fleet.Address("standin-" + name), "/control/stats"));
}

}  // namespace banyanlane::processes
