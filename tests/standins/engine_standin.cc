#include <unistd.h>

#include <atomic>
#include <nlohmann/json.hpp>

#include "kernel/hash.h"
#include "standins/standins.h"

namespace banyanlane::standins {
namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultTokens = 16;

bool RequestsFault(const std::string& message, const char* fault) {
  return message.find(fault) != std::string::npos;
}

class EngineStandin : public http::IHttpHandler {
 public:
  explicit EngineStandin(int token_millis) : token_millis(token_millis) {}

  void Handle(http::IHttpExchange& exchange) override {
    const std::string path = exchange.request().Path();
    if (path == "/health") {
      exchange.Reply({200, {}, json{{"boot", this->boot_id}}.dump()});
      return;
    }
    if (path == "/control/stats") {
      exchange.Reply({200,
                      {},
                      json{{"running", this->running.load()},
                           {"whole", this->completed.load()},
                           {"cancelled", this->cancelled.load()},
                           {"tokens", this->tokens.load()}}
                          .dump()});
      return;
    }
    ++this->running;
    (this->Generate(exchange) ? this->completed : this->cancelled) += 1;
    --this->running;
  }

 private:
  /// Generates the response.
  /// @return false if it was aborted or the caller disconnected.
  bool Generate(http::IHttpExchange& exchange) {
    const json body = json::parse(exchange.request().body);
    const std::string message =
        body["messages"].back()["content"].get<std::string>();
    const std::int64_t count = body.value("max_tokens", kDefaultTokens);
    const bool stream = body.value("stream", false);
    if (RequestsFault(message, "CRASH")) _exit(1);
    std::string text;
    if (stream)
      exchange.BeginStream(200, {{"content-type", "text/event-stream"}});
    for (std::int64_t i = 0; i < count; ++i) {
      const auto next_token_time =
          kernel::Clock::now() + kernel::Millis(this->token_millis);
      if (exchange.Wait(next_token_time) ==
          http::WakeReason::kCallerDisconnected)
        return false;
      const std::string token = message + "-" + std::to_string(i) + " ";
      text += token;
      ++this->tokens;
      const bool is_halfway = i == count / 2;
      if (is_halfway && RequestsFault(message, "CUT"))
        return exchange.Abort(), false;
      if (is_halfway && RequestsFault(message, "STALL")) {
        return exchange.Wait(kernel::TimePoint::max()), false;
      }
      const json part = {
          {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
      if (stream && !exchange.WriteChunk("data: " + part.dump() + "\n\n"))
        return false;
    }
    if (stream) {
      exchange.WriteChunk("data: [DONE]\n\n");
      exchange.EndStream();
      return true;
    }
    const json response = {
        {"choices",
         {{{"message", {{"role", "assistant"}, {"content", text}}}}}},
        {"usage", {{"completion_tokens", count}}}};
    exchange.Reply(
        {200, {{"content-type", "application/json"}}, response.dump()});
    return true;
  }

  const std::string boot_id = kernel::RandomId();
  int token_millis;
  std::atomic<int> running{0};
  std::atomic<int> completed{0};
  std::atomic<int> cancelled{0};
  std::atomic<std::int64_t> tokens{0};
};

}  // namespace

std::shared_ptr<http::IHttpHandler> MakeEngine(int token_millis) {
  return std::make_shared<EngineStandin>(token_millis);
}

}  // namespace banyanlane::standins
