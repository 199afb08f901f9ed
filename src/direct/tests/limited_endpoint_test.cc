#include <criterion/criterion.h>

#include <map>

#include "direct/tests/flow_harness.h"

namespace banyanlane::direct {
namespace {

/// Limits whose permits a test sets.
class StubLimits : public limits::IRateLimits {
 public:
  bool MaySend(const std::string& endpoint,
               kernel::TimePoint /*now*/) override {
    const auto found = this->permits.find(endpoint);
    return found == this->permits.end() || found->second > 0;
  }
  void OnSent(const std::string& endpoint, kernel::TimePoint /*now*/) override {
    const auto found = this->permits.find(endpoint);
    if (found != this->permits.end()) --found->second;
  }
  std::optional<double> LimitOf(const std::string& endpoint,
                                kernel::TimePoint /*now*/) override {
    return this->permits.count(endpoint) != 0 ? std::optional(1.0)
                                              : std::nullopt;
  }
  void OnResponse(const std::string& /*endpoint*/,
                  std::optional<double> /*per_second*/,
                  kernel::TimePoint /*sent_at*/,
                  kernel::TimePoint /*now*/) override {}
  void Subscribe(
      std::function<void(kernel::TimePoint)> /*on_permits*/) override {}

  std::map<std::string, int> permits;  ///< By endpoints that have a limit.
};

EndpointPool PoolOf(StubLimits& limits) {
  return EndpointPool(
      "a", PoolLimits{}, 1, [](const std::string&) { return 0; },
      [](const std::string&) { return 1.0; }, &limits);
}

}  // namespace

Test(limited_endpoint, gets_requests_only_with_permits) {
  StubLimits limits;
  limits.permits = {{"e0", 0}, {"e1", 0}};
  EndpointPool pool = PoolOf(limits);
  pool.OnInstances(ListOf(2));
  cr_assert_not(pool.Choose("model", {}, kStart));
  cr_assert_not(pool.HasCapacity("model", kStart));
  cr_assert(pool.HasEndpoints("model", {}, kStart),
            "requests can wait for permits");
  limits.permits["e1"] = 1;
  cr_assert(pool.HasCapacity("model", kStart));
  cr_assert_eq(pool.Choose("model", {}, kStart)->id, "e1");
  cr_assert_not(pool.Choose("model", {}, kStart), "the permit was used");
}

Test(limited_endpoint, leaves_its_requests_to_the_others) {
  StubLimits limits;
  limits.permits = {{"e0", 0}};
  EndpointPool pool = PoolOf(limits);
  pool.OnInstances(ListOf(3));
  for (int i = 0; i < 4; ++i) {
    const auto choice = pool.Choose("model", {}, kStart);
    cr_assert(choice);
    cr_assert_neq(choice->id, "e0");
  }
}

Test(limited_endpoint, is_reported_by_what_its_responses_say) {
  FlowHarness harness(false, true);
  harness.Apply(harness.flow->Start(kStart));
  const auto call = *harness.Last<CallEndpoint>();
  ResponseHead head = HeadOf(200);
  head.max_requests_per_second = 2.5;
  const auto later = kStart + kernel::Millis{40};
  harness.Apply(harness.flow->OnHead(call.attempt, head, later));
  const auto* report = harness.Last<ReportRateLimit>();
  cr_assert_not_null(report);
  cr_assert_eq(report->endpoint, call.endpoint.id);
  cr_assert_eq(*report->per_second, 2.5);
  cr_assert_eq((report->sent_at - kStart).count(), 0);
}

Test(limited_endpoint, is_not_reported_by_another_server) {
  for (const bool is_replaced : {true, false}) {
    FlowHarness harness(false, true);
    harness.Apply(harness.flow->Start(kStart));
    const auto attempt = harness.Last<CallEndpoint>()->attempt;
    ResponseHead head = HeadOf(is_replaced ? 421 : 503);
    head.not_run = true;
    head.wrong_endpoint = is_replaced;
    head.is_signed = false;
    if (is_replaced) head.max_requests_per_second = 2.5;
    harness.Apply(harness.flow->OnHead(attempt, head, kStart));
    cr_assert_null(harness.Last<ReportRateLimit>());
  }
}

}  // namespace banyanlane::direct
