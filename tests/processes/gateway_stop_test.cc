#include <criterion/criterion.h>

#include <csignal>

#include "processes/gateway_fleet.h"

namespace banyanlane::processes {
namespace {

constexpr int kOk = 200;
constexpr int kStreams = 6;

}  // namespace

Test(gateway_stop, completes_the_requests_that_were_accepted_before) {
  GatewayFleet fleet;
  fleet.StartStore();
  for (const char* server : {"s1", "s2"}) fleet.AddServer(server);
  fleet.PublishRoutes(1, {});
  fleet.AddGateway("g1");
  cr_assert(fleet.AwaitServed("g1", "/plain/a"));
  std::vector<std::shared_ptr<ResponseRecorder>> responses;
  for (int i = 0; i < kStreams; ++i)
    responses.push_back(fleet.StartPost("g1", "/stream/a", "SLOW"));
  cr_assert(Fleet::Await([&] { return responses.front()->status() == kOk; }));
  // These arrive about when the signal does.
  for (int i = 0; i < kStreams; ++i)
    responses.push_back(fleet.StartPost("g1", "/stream/a", "SLOW"));
  fleet.Signal("g1", SIGTERM);
  for (const auto& response : responses) {
    cr_assert(Fleet::Await([&] { return response->finished(); }));
    cr_assert(response->complete());
    cr_assert_eq(response->status(), kOk);
    cr_assert_neq(response->text().find("id: 4\n"), std::string::npos);
  }
  cr_assert_eq(fleet.WaitForExit("g1"), 0);
}

}  // namespace banyanlane::processes
