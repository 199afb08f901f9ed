#include "http/internal/connection_tracker.h"

#include <criterion/criterion.h>

#include <array>

#include "http/i_http_runtime.h"

namespace banyanlane::http {
namespace {

constexpr kernel::Millis kPatience{1'000};
constexpr kernel::TimePoint kNow = kernel::TimePoint{} + std::chrono::hours(1);
constexpr kernel::TimePoint kEarlier = kNow - 2 * kPatience;
constexpr kernel::TimePoint kLater = kNow + std::chrono::hours(1);
constexpr std::uint64_t kHeldBytes = 100;

class FakeConnection : public ITrackedConnection {
 public:
  void CloseIdle() override { this->is_ended = true; }
  void GiveWay(std::uint64_t /*ticket*/) override { this->is_ended = true; }
  std::uint64_t HeldBytes(CallerWait /*wait*/) const override {
    return kHeldBytes;
  }

  bool is_ended = false;
};

class FakeServer : public IHttpServer {
 public:
  std::uint16_t port() const override { return 0; }
  void StopAccepting() override {}
  void SetLimits(const ServerLimits& /*limits*/) override {}
  std::size_t ActiveExchanges() const override { return 0; }
  std::size_t BusyConnections() const override { return 0; }
  std::uint64_t FailedAccepts() const override { return 0; }
};

}  // namespace

Test(connection_tracker, lets_connections_give_way_in_order) {
  ConnectionTracker tracker(1, kPatience);
  const FakeServer server;
  const auto idle = std::make_shared<FakeConnection>();
  const auto incomplete = std::make_shared<FakeConnection>();
  const auto new_connection = std::make_shared<FakeConnection>();
  const auto slow = std::make_shared<FakeConnection>();
  const auto writing = std::make_shared<FakeConnection>();
  tracker.AddWaiting(CallerWait::kResponse, slow, kEarlier);
  tracker.AddWaiting(CallerWait::kResponse, writing, kNow);
  tracker.AddWaiting(CallerWait::kRequest, incomplete, kNow);
  tracker.AddIdle(idle, server, kEarlier, kLater - kPatience);
  tracker.AddIdle(new_connection, server, kNow, kLater);
  for (const auto& next : {idle, incomplete, new_connection, slow}) {
    cr_expect_not(next->is_ended);
    cr_expect(tracker.MakeRoom(kNow));
    cr_expect(next->is_ended);
  }
  cr_expect_not(tracker.MakeRoom(kNow));
  cr_expect_not(writing->is_ended);
}

Test(connection_tracker, refuses_when_nothing_gives_way) {
  ConnectionTracker tracker(1, kPatience);
  cr_expect_eq(tracker.Admit(kNow), Admission::kServe);
  cr_expect_eq(tracker.Admit(kNow), Admission::kRefuse);
  const auto incomplete = std::make_shared<FakeConnection>();
  tracker.AddWaiting(CallerWait::kRequest, incomplete, kNow);
  cr_expect_eq(tracker.Admit(kNow), Admission::kServe);
  cr_expect(incomplete->is_ended);
}

Test(connection_tracker, releases_as_much_memory_as_needed) {
  ConnectionTracker tracker(1, kPatience);
  std::array<std::shared_ptr<FakeConnection>, 4> connections;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    connections[i] = std::make_shared<FakeConnection>();
    tracker.AddWaiting(CallerWait::kResponse, connections[i],
                       i < 3 ? kEarlier : kNow);
  }
  tracker.ReleaseMemory(CallerWait::kResponse, kHeldBytes + 1, kNow);
  cr_expect(connections[0]->is_ended && connections[1]->is_ended);
  cr_expect_not(connections[2]->is_ended);
  tracker.ReleaseMemory(CallerWait::kResponse, 10 * kHeldBytes, kNow);
  cr_expect(connections[2]->is_ended);
  cr_expect_not(connections[3]->is_ended, "it has waited for a short time");
}

}  // namespace banyanlane::http
