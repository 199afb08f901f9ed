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

bool Starts(const AgentActions& actions) {
  return std::any_of(actions.begin(), actions.end(),
                     [](const AgentAction& action) {
                       return std::holds_alternative<StartCall>(action);
                     });
}

}  // namespace

Test(agent_core, never_starts_what_was_revoked_before_it_came) {
  const auto core = MakeCore();
  core->OnMessage(kLink, link::Revoke{"r.1", 1, 1'000, false}, kNow);
  cr_assert_not(Starts(core->OnMessage(kLink, SubmitOf("r.1"), kNow)));
  cr_assert(Starts(core->OnMessage(kLink, SubmitOf("r.2"), kNow)));
}

Test(agent_core, starts_nothing_meant_for_an_earlier_life) {
  const auto core = MakeCore();
  link::Submit submit = SubmitOf("r.1");
  submit.incarnation = kIncarnation - 1;
  cr_assert(core->OnMessage(kLink, submit, kNow).empty());
}

Test(agent_core,
     forgets_settled_attempts_only_when_they_are_too_late_to_start) {
  const auto core = MakeCore();
  core->OnMessage(kLink, link::Revoke{"r.1", 1, 1'000, false}, kNow);
  core->OnTick(kNow + kernel::Millis(999));
  cr_assert_not(Starts(
      core->OnMessage(kLink, SubmitOf("r.1"), kNow + kernel::Millis(999))));
  core->OnTick(kNow + kernel::Millis(1'001));
  cr_assert_not(Starts(
      core->OnMessage(kLink, SubmitOf("r.1"), kNow + kernel::Millis(1'001))));
}

}  // namespace banyanlane::agent
