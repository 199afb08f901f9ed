#include "agent/internal/agent_core.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "config/i_config.h"

namespace banyanlane::agent {
namespace {

constexpr std::uint64_t kLink = 1;
constexpr std::uint64_t kIncarnation = 9;
const kernel::TimePoint kNow{};

std::unique_ptr<AgentCore> MakeCore() {
  const AgentIdentity identity{"a1", kIncarnation, kNow, "model"};
  auto core =
      std::make_unique<AgentCore>(identity, AgentLimits{}, MakeFullCharge());
  auto parsed = config::ParseConfig(
      "[profile:chat]\nclass = chat\nservice = model\n", "test");
  core->OnConfig(std::make_shared<config::ConfigSnapshot>(
      std::get<config::ConfigSnapshot>(std::move(parsed))));
  return core;
}

link::Submit SubmitOf(const std::string& request) {
  link::Submit submit;
  submit.request = request;
  submit.attempt = 1;
  submit.incarnation = kIncarnation;
  submit.profile = "chat";
  submit.organisation = "org";
  submit.start_by_ms = 1'000;
  submit.deadline_ms = 1'000;
  return submit;
}

bool StartsCall(const AgentActions& actions) {
  return std::any_of(actions.begin(), actions.end(),
                     [](const AgentAction& action) {
                       return std::holds_alternative<StartCall>(action);
                     });
}

}  // namespace

Test(agent_core, never_starts_an_attempt_revoked_before_its_submit) {
  const auto core = MakeCore();
  core->OnMessage(kLink, link::Revoke{"r.1", 1, 1'000, false}, kNow);
  cr_assert_not(StartsCall(core->OnMessage(kLink, SubmitOf("r.1"), kNow)));
  cr_assert(StartsCall(core->OnMessage(kLink, SubmitOf("r.2"), kNow)));
}

Test(agent_core, ignores_submits_for_another_incarnation) {
  const auto core = MakeCore();
  link::Submit submit = SubmitOf("r.1");
  submit.incarnation = kIncarnation - 1;
  cr_assert(core->OnMessage(kLink, submit, kNow).empty());
}

Test(agent_core, drops_settled_attempts_only_after_their_start_bound) {
  const auto core = MakeCore();
  core->OnMessage(kLink, link::Revoke{"r.1", 1, 1'000, false}, kNow);
  core->OnTick(kNow + kernel::Millis(999));
  cr_assert_not(StartsCall(
      core->OnMessage(kLink, SubmitOf("r.1"), kNow + kernel::Millis(999))));
  core->OnTick(kNow + kernel::Millis(1'001));
  cr_assert_not(StartsCall(
      core->OnMessage(kLink, SubmitOf("r.1"), kNow + kernel::Millis(1'001))));
}

}  // namespace banyanlane::agent
