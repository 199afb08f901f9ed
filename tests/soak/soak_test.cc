#include "soak/soak.h"

#include <criterion/criterion.h>

namespace banyanlane::soak {
namespace {

constexpr kernel::Millis kDuration{20'000};
constexpr kernel::Millis kPause{700};
/// Longer than a busy machine delays the callers of the test.
constexpr kernel::Millis kUnreadSlack{2'000};

}  // namespace

// Guards against requests that are lost while gateways are stopped, reloaded
// and reconfigured.
Test(soak, loses_no_request_around_planned_work) {
  SoakOptions options;
  options.mix = LoadMix(std::string(BANYANLANE_SOURCE_DIR) +
                        "/tests/soak/mixes/short.json");
  options.processes.binary = std::string(BANYANLANE_BINARY_DIR) + "/banyanlane";
  options.plan.pause = kPause;
  options.unread_slack = kUnreadSlack;
  options.seed = 45;
  options.duration = kDuration;
  const SoakReport report = RunSoak(std::move(options));
  const std::string text = Describe(report);
  cr_expect(report.findings.empty(), "%s", text.c_str());
  cr_expect_eq(report.unplanned_ends, 0, "%s", text.c_str());
  cr_expect_gt(report.stops, 0);
  cr_expect_gt(report.reloads, 0);
  cr_expect_gt(report.configurations, 0);
}

}  // namespace banyanlane::soak
