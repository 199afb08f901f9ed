#include "direct/internal/crash_monitor.h"

#include <criterion/criterion.h>

#include "direct/tests/stub_limits.h"

namespace banyanlane::direct {
namespace {

constexpr kernel::TimePoint kNow = kernel::TimePoint{} + std::chrono::hours(1);

/// Link that counts the reports sent over it.
class CountingLink : public link::ILink {
 public:
  CountingLink(std::uint64_t number, const std::string& role) : number(number) {
    this->hello.role = role;
  }
  std::uint64_t id() const override { return this->number; }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& message) override {
    this->reports += std::holds_alternative<link::WorkReport>(message) ? 1 : 0;
    return true;
  }
  void Close(std::string_view /*reason*/) override {}

  int reports = 0;

 private:
  std::uint64_t number;
  link::Hello hello;
};

/// Monitor with links to two gateways and a rank agent.
struct Harness {
  explicit Harness(std::size_t live_gateways)
      : monitor(std::make_shared<CrashMonitor>(
            "g", http::MakeHttpRuntime(), std::make_shared<kernel::Metrics>(),
            this->limits,
            [live_gateways](kernel::TimePoint) { return live_gateways; })) {
    for (const auto& link : {this->first, this->second, this->rank})
      this->monitor->OnLinkUp(link, kNow);
  }

  /// Lets a report arrive over the link to the first gateway.
  void Receive(const std::string& crash) {
    this->monitor->OnMessage(
        this->first,
        link::WorkReport{"work", "other", {crash}, {1}, 0, 0, 1'000}, kNow);
  }

  std::shared_ptr<StubLimits> limits = std::make_shared<StubLimits>();
  std::shared_ptr<CountingLink> first =
      std::make_shared<CountingLink>(1, "gateway");
  std::shared_ptr<CountingLink> second =
      std::make_shared<CountingLink>(2, "gateway");
  std::shared_ptr<CountingLink> rank =
      std::make_shared<CountingLink>(3, "rank");
  std::shared_ptr<CrashMonitor> monitor;
};

}  // namespace

Test(crash_monitor, does_not_forward_what_every_gateway_receives_directly) {
  Harness harness(2);
  harness.Receive("c1");
  cr_assert_eq(harness.second->reports, 0);
}

Test(crash_monitor, forwards_what_is_new_to_gateways_without_links) {
  Harness harness(3);
  harness.Receive("c1");
  harness.Receive("c1");
  cr_assert_eq(harness.first->reports, 0);
  cr_assert_eq(harness.second->reports, 1);
}

Test(crash_monitor, limits_the_attempts_at_doubtful_work_until_it_is_cleared) {
  Harness harness(2);
  harness.Receive("c1");
  harness.Receive("c2");
  cr_assert(harness.limits->permits.empty());
  harness.Receive("c3");
  cr_assert_eq(harness.limits->permits.count(limits::WorkResource("work")), 1);
  harness.monitor->OnSurvived({"work"}, kNow, kNow);
  cr_assert(harness.limits->permits.empty());
}

Test(crash_monitor, sends_nothing_to_rank_agents) {
  Harness harness(3);
  harness.Receive("c1");
  harness.monitor->OnSurvived({"work"}, kNow, kNow);
  cr_assert_eq(harness.first->reports, 1);
  cr_assert_eq(harness.rank->reports, 0);
}

}  // namespace banyanlane::direct
