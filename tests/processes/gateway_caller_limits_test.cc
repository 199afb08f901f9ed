#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
/// Whole numbers that do not fit in 32 bits, or are no limits.
constexpr std::int64_t kOddLimits[] = {std::int64_t{1} << 32,
                                       std::int64_t{1} << 53, -1};

}  // namespace

// Guards against limits at the end of their range that refuse all requests.
Test(gateway_caller_limits, serve_requests_when_a_limit_is_odd) {
  GatewayFleet fleet;
  fleet.StartStore();
  fleet.AddServer("s1");
  fleet.PublishRoutes(1, {});
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/a"));
  int version = 1;
  for (const char* const name :
       {"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"}) {
    for (const std::int64_t limit : kOddLimits) {
      const std::string revision = std::to_string(++version);
      fleet.Write("op/config", json{{"version", version},
                                    {"routeList",
                                     {{{"name", "plain"},
                                       {"host", "h.example"},
                                       {"pathPrefix", "/plain/"},
                                       {"type", "idempotent"},
                                       {"service", "model"}}}},
                                    {"services", {{{"name", "model"}}}},
                                    {"limits", {{name, limit}}}}
                                   .dump());
      cr_assert(Fleet::Await([&] {
        return fleet.AdminPage("g1", "/status")
                   .find("revision=" + revision + "\n") != std::string::npos;
      }));
      const auto response = fleet.Post("g1", "/plain/a", "body");
      cr_expect_eq(response.status, kOk, "%s %ld: %d", name,
                   static_cast<long>(limit), response.status);
    }
  }
}

}  // namespace banyanlane::processes
