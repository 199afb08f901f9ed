#include <openssl/evp.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "standins/standins.h"

namespace banyanlane::standins {
namespace {

using nlohmann::json;

constexpr int kHistoryUnavailable = 410;
constexpr const char* kRangePath = "/banyanlane/kv-range";
constexpr const char* kWatchPath = "/banyanlane/kv-watch";
constexpr const char* kEraField = "store-era";

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::size_t kGroupBytes = 3;
  constexpr std::size_t kGroupChars = 4;
  std::vector<unsigned char> text(
      (bytes.size() / kGroupBytes + 1) * kGroupChars + 1);
  const int length = EVP_EncodeBlock(
      text.data(), reinterpret_cast<const unsigned char*>(bytes.data()),
      static_cast<int>(bytes.size()));
  return {text.begin(), text.begin() + length};
}

class StoreStandin : public http::IHttpHandler {
 public:
  void Handle(http::IHttpExchange& exchange) override {
    const std::string path = exchange.request().Path();
    if (exchange.request().method == "PUT") {
      this->Control(exchange.request(), path);
      exchange.Reply({200, {}, "ok\n"});
      return;
    }
    if (path == "/control/calls") {
      exchange.Reply({200, {}, std::to_string(this->calls)});
      return;
    }
    ++this->calls;
    if (path == kWatchPath) {
      this->ServeWatch(exchange);
      return;
    }
    this->Deliver(exchange, this->Range(exchange.request()));
  }

 private:
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  /// All that a copy of the store contains.
  struct State {
    std::map<std::string, Event> items;
    std::vector<Event> history;
    std::uint64_t revision = 1;
  };

  /// Sends `response`. While the store is silent, keeps the connection open
  /// without a response instead, also after the silence.
  void Deliver(http::IHttpExchange& exchange,
               const http::HttpResponse& response) {
    if (this->silent) {
      while (exchange.Wait(kernel::TimePoint::max()) !=
             http::WakeReason::kCallerDisconnected) {
      }
      return;
    }
    exchange.Reply(response);
  }

  void Control(const http::HttpRequest& request, const std::string& path) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (path == "/control/mode") {
      this->down = request.body == "down";
      this->silent = request.body == "silent";
    }
    if (path == "/control/copy") this->copy = this->state;
    if (path == "/control/restore") {
      this->state = this->copy;
      ++this->era;
    }
    if (path == "/control/item") {
      const std::string key = request.Query("key");
      const bool deleted = request.body.empty();
      const Event event{key, request.body, ++this->state.revision, deleted};
      this->state.history.push_back(event);
      if (deleted) this->state.items.erase(key);
      if (!deleted) this->state.items[key] = event;
    }
    for (const auto& waiter : this->waiters) waiter->Notify();
    this->waiters.clear();
  }

  static json Describe(const Event& event) {
    json item = {{"key", event.key}, {"revision", event.revision}};
    if (event.deleted) item["deleted"] = true;
    if (!event.deleted) item["value"] = EncodeBase64(event.value);
    return item;
  }

  /// Requires the lock.
  http::HttpResponse Respond(int status, const json& body) const {
    return {status,
            {{"content-type", "application/json"},
             {kEraField, std::to_string(this->era)}},
            body.dump()};
  }

  http::HttpResponse Range(const http::HttpRequest& request) {
    const std::string prefix = request.Query("pathPrefix");
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) return this->Respond(503, json::object());
    json entries = json::array();
    for (const auto& [key, event] : this->state.items) {
      if (key.rfind(prefix, 0) == 0) entries.push_back(Describe(event));
    }
    return this->Respond(200, {{"entries", std::move(entries)},
                               {"hasMore", false},
                               {"asOf", this->state.revision}});
  }

  void ServeWatch(http::IHttpExchange& exchange) {
    const http::HttpRequest& request = exchange.request();
    const std::string prefix = request.Query("pathPrefix");
    const std::uint64_t after = std::stoull("0" + request.Query("after"));
    const auto deadline =
        kernel::Clock::now() +
        kernel::Millis(std::stoll("0" + request.Query("waitMs")));
    while (true) {
      http::HttpResponse response;
      bool must_wait = false;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        json events = json::array();
        for (const Event& event : this->state.history) {
          if (event.revision > after && event.key.rfind(prefix, 0) == 0)
            events.push_back(Describe(event));
        }
        const bool is_known = after <= this->state.revision;
        must_wait = is_known && !this->down && events.empty() &&
                    kernel::Clock::now() < deadline;
        if (must_wait) this->waiters.push_back(exchange.notifier());
        const int status = !is_known ? kHistoryUnavailable : 200;
        response = this->Respond(
            this->down ? 503 : status,
            {{"events", std::move(events)}, {"asOf", this->state.revision}});
      }
      if (!must_wait) {
        this->Deliver(exchange, response);
        return;
      }
      if (exchange.Wait(deadline) == http::WakeReason::kCallerDisconnected)
        return;
    }
  }

  std::atomic<int> calls{0};  ///< Calls of gateways since the start.
  std::atomic<bool> silent{false};
  std::mutex mutex;  ///< Guards all members below.
  bool down = false;
  std::uint64_t era = 1;
  State state;
  State copy;
  std::vector<std::shared_ptr<http::INotifier>> waiters;
};

}  // namespace

std::shared_ptr<http::IHttpHandler> MakeStore() {
  return std::make_shared<StoreStandin>();
}

}  // namespace banyanlane::standins
