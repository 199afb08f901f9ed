#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "standins/standins.h"

namespace banyanlane::standins {
namespace {

using nlohmann::json;

constexpr kernel::Millis kSlowResponseDelay{1'500};

class ServiceStandin : public http::IHttpHandler {
 public:
  void Handle(http::IHttpExchange& exchange) override {
    const http::HttpRequest& request = exchange.request();
    const std::string path = request.Path();
    if (path == "/health") {
      exchange.Reply({200, {}, "{}"});
      return;
    }
    if (path == "/control/executions") {
      exchange.Reply({200, {}, this->ExecutionsText()});
      return;
    }
    int count = 0;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      count =
          ++this->executions[request.method + " " + path + " " + request.body];
    }
    if (request.body.find("SLOW") != std::string::npos) {
      exchange.Wait(kernel::Clock::now() + kSlowResponseDelay);
    }
    if (request.body.find("CUT") != std::string::npos) {
      exchange.Abort();
      return;
    }
    const json response = {
        {"path", path}, {"method", request.method}, {"executions", count}};
    exchange.Reply(
        {200, {{"content-type", "application/json"}}, response.dump()});
  }

 private:
  /// Returns the counts as JSON. This is a copy, because a reply suspends its
  /// coroutine and the mutex must not be locked during that time.
  std::string ExecutionsText() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return json(this->executions).dump();
  }

  std::mutex mutex;
  std::map<std::string, int> executions;
};

}  // namespace

std::shared_ptr<http::IHttpHandler> MakeService() {
  return std::make_shared<ServiceStandin>();
}

}  // namespace banyanlane::standins
