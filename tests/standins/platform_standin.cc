#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "standins/standins.h"

namespace banyanlane::standins {
namespace {

using nlohmann::json;

class PlatformStandin : public http::IHttpHandler {
 public:
  void Handle(http::IHttpExchange& exchange) override {
    const std::string path = exchange.request().Path();
    if (exchange.request().method == "PUT") {
      this->HandlePut(exchange, path);
      return;
    }
    this->ServeItem(exchange, path == "/v1/config");
  }

 private:
  struct Item {
    std::uint64_t version = 0;
    std::string body;
  };

  void HandlePut(http::IHttpExchange& exchange, const std::string& path) {
    const http::HttpRequest& request = exchange.request();
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (path == "/control/mode") this->down = request.body == "down";
      Item& item = path == "/control/config" ? this->config : this->instances;
      const std::string requested_version = request.Query("version");
      if (path != "/control/mode") {
        item.version = requested_version.empty()
                           ? item.version + 1
                           : std::stoull(requested_version);
        item.body = path == "/control/config"
                        ? ConfigBody(item.version, request.body)
                        : InstancesBody(item.version, request.body);
      }
      for (const auto& waiter : this->waiters) waiter->Notify();
      this->waiters.clear();
    }
    exchange.Reply({200, {}, "ok\n"});
  }

  static std::string ConfigBody(std::uint64_t version,
                                const std::string& value) {
    return json{{"revision", version}, {"value", value}}.dump();
  }

  static std::string InstancesBody(std::uint64_t version,
                                   const std::string& list) {
    return json{{"version", version}, {"instances", json::parse(list)}}.dump();
  }

  void ServeItem(http::IHttpExchange& exchange, bool is_config) {
    const std::string after = exchange.request().Query("after");
    const std::uint64_t known_version = after.empty() ? 0 : std::stoull(after);
    const auto deadline =
        kernel::Clock::now() +
        kernel::Millis(std::stoll("0" + exchange.request().Query("wait_ms")));
    while (true) {
      Item item;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->down) break;
        item = is_config ? this->config : this->instances;
        if (item.version == known_version)
          this->waiters.push_back(exchange.notifier());
      }
      if (item.version != known_version && item.version > 0) {
        exchange.Reply(
            {200, {{"content-type", "application/json"}}, item.body});
        return;
      }
      if (exchange.Wait(deadline) != http::WakeReason::kNotified) {
        exchange.Reply({304, {}, ""});
        return;
      }
    }
    exchange.Reply({503, {}, "down\n"});
  }

  std::mutex mutex;
  bool down = false;
  Item config;
  Item instances;
  std::vector<std::shared_ptr<http::INotifier>> waiters;
};

}  // namespace

std::shared_ptr<http::IHttpHandler> MakePlatform() {
  return std::make_shared<PlatformStandin>();
}

}  // namespace banyanlane::standins
