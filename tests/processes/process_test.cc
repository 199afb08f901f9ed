#include <criterion/criterion.h>
#include <fcntl.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "processes/fleet.h"

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr char kConfig[] = R"(
[profile:chat]
class = chat
service = model
deadline_ms = 20000
max_output_tokens = 4000
resume_grace_ms = 10000
[profile:lookup]
class = service
service = tabs
path_prefix = /tabs
deadline_ms = 3000
[profile:close]
class = service
service = tabs
path_prefix = /tabs/close
repeatable = false
deadline_ms = 8000
)";

/// The text that the engine stand-in streams for `message`.
std::string ExpectedTokens(const std::string& message, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i)
    text += message + "-" + std::to_string(i) + " ";
  return text;
}

/// Joins the tokens of an event stream.
std::string TokensOf(const std::string& events) {
  std::string text;
  for (std::size_t at = events.find("data: {"); at != std::string::npos;
       at = events.find("data: {", at + 1)) {
    const std::size_t start = at + 6;
    const json part =
        json::parse(events.substr(start, events.find('\n', start) - start));
    text += part["choices"][0]["delta"]["content"].get<std::string>();
  }
  return text;
}

std::string IssueKey(Fleet& fleet, const std::string& entry) {
  const auto answer =
      fleet.Ask(entry, {"GET", "/v1/keys?profile=close", {}, "", ""});
  return json::parse(answer.body)["key"].get<std::string>();
}

json Problem(const http::HttpResponse& response) {
  return json::parse(response.body, nullptr, false);
}

/// Starts a platform, endpoints and two entries, and waits until all of them
/// are ready.
void StartUsual(Fleet& fleet, int engines, bool relayed = false) {
  fleet.StartPlatform(kConfig);
  for (int i = 1; i <= engines; ++i) {
    fleet.AddEndpoint("m" + std::to_string(i), "engine", "model", relayed);
  }
  fleet.AddEndpoint("t1", "service", "tabs");
  fleet.AddEntry("e1");
  fleet.AddEntry("e2");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", engines + 1);
  fleet.AwaitEndpoints("e2", engines + 1);
}

/// The process of the agent that an answer's name tells.
std::string AgentOf(const Answer& answer) {
  const std::string name = answer.header("banyanlane-request");
  return name.substr(0, name.find('~'));
}

}  // namespace

Test(processes, serve_the_whole_path) {
  Fleet fleet;
  StartUsual(fleet, 2);
  const auto addresses = fleet.Ask("e1", {"GET", "/v1/addresses", {}, "", ""});
  cr_assert_eq(json::parse(addresses.body)["addresses"].size(), 2);
  const auto streamed = fleet.Ask("e1", Fleet::Chat("hello", 5, true));
  cr_assert_eq(TokensOf(streamed.body), ExpectedTokens("hello", 5), "%s",
               streamed.body.c_str());
  const auto whole = fleet.Ask("e2", Fleet::Chat("hello", 5, false));
  cr_assert_eq(json::parse(whole.body)["choices"][0]["message"]["content"],
               ExpectedTokens("hello", 5));
  const auto lookup = fleet.Ask(
      "e1", {"GET", "/tabs/41", {{"banyanlane-organisation", "org"}}, "", ""});
  cr_assert_eq(lookup.status, 200);
  const auto unkeyed = fleet.Ask("e1", Fleet::Close("", "tab41"));
  cr_assert_eq(unkeyed.status, 428);
  cr_assert_eq(Problem(unkeyed)["outcome"], "not_run");
  const std::string key = Problem(unkeyed)["next_key"];
  cr_assert_eq(fleet.Ask("e1", Fleet::Close(key, "tab41")).status, 200);
  const auto again = fleet.Ask("e2", Fleet::Close(key, "tab41"));
  cr_assert_eq(again.status, 200, "%s", again.body.c_str());
  cr_assert_eq(fleet.Ask("e2", Fleet::Close(key, "tab42")).status, 409);
  const json executions = json::parse(fleet.Executions("t1"));
  cr_assert_eq(executions["POST /tabs/close tab41"], 1);
  cr_assert_not(executions.contains("POST /tabs/close tab42"));
}

Test(processes, answer_bad_input_and_go_on) {
  Fleet fleet;
  StartUsual(fleet, 1);
  const http::Headers known = {{"banyanlane-profile", "chat"},
                               {"banyanlane-organisation", "org"}};
  const std::string chat = "/v1/chat/completions";
  const auto with = [&known](const char* name, const char* value) {
    http::Headers headers = known;
    headers.emplace_back(name, value);
    return headers;
  };
  const std::string good =
      R"({"messages":[{"role":"user","content":"x"}],"max_tokens":1})";
  const std::tuple<http::HttpRequest, int, const char*> cases[] = {
      {{"POST", chat, known, "{", ""}, 400, "invalid_body"},
      {{"POST", chat, known, "{}", ""}, 400, "invalid_body"},
      {{"POST", chat, known, R"({"messages":[],"max_tokens":-1})", ""},
       400,
       "invalid_body"},
      {{"POST", chat, known, R"({"messages":[],"stream":"yes"})", ""},
       400,
       "invalid_body"},
      {{"GET", chat, known, "", ""}, 405, "wrong_method"},
      {{"POST", chat, {{"banyanlane-profile", "chat"}}, good, ""},
       400,
       "missing_organisation"},
      {{"POST", chat, {{"banyanlane-organisation", "o"}}, good, ""},
       404,
       "unknown_profile"},
      {{"POST", chat, {{"banyanlane-profile", "none"}}, good, ""},
       404,
       "unknown_profile"},
      {{"POST", "/tabs/1", known, good, ""}, 400, "wrong_profile"},
      {{"POST", chat, with("banyanlane-deadline-ms", "0"), good, ""},
       504,
       "deadline_past"},
      {{"POST", chat, with("banyanlane-deadline-ms", "soon"), good, ""},
       400,
       "invalid_deadline"},
      {{"POST", chat, with("banyanlane-priority", "11"), good, ""},
       400,
       "invalid_priority"},
      {{"GET", "/v1/requests/nothing", known, "", ""}, 400, "invalid_resume"},
      {{"GET", "/v1/requests/m1~1~x", known, "", ""}, 404, "not_found"},
      {{"GET", "/v1/keys?profile=none", known, "", ""}, 404, "unknown_profile"},
      {{"POST", chat, known, std::string(5'000'000, 'x'), ""},
       413,
       "body limit exceeded"},
      {{"POST", chat, with("x", std::string(20'000, 'x').c_str()), good, ""},
       431,
       "header limit exceeded"},
  };
  for (const auto& [request, status, title] : cases) {
    const auto answer = fleet.Ask("e1", request);
    cr_expect_eq(answer.status, status, "%s %s: %d %s", request.method.c_str(),
                 title, answer.status, answer.body.c_str());
    cr_expect_eq(Problem(answer).value("title", ""), title, "%s",
                 answer.body.c_str());
  }
  cr_assert_eq(fleet.Ask("e1", Fleet::Chat("after", 1, false)).status, 200);
}

Test(processes, follow_published_changed_and_retired_profiles) {
  Fleet fleet;
  StartUsual(fleet, 1);
  const auto in_force = [&](const std::string& revision) {
    return Fleet::Await([&] {
      for (const char* name : {"e1", "e2", "m1", "t1"}) {
        const std::string status = fleet.AdminPage(name, "/status");
        if (status.find("revision=" + revision + "\n") == std::string::npos)
          return false;
      }
      return true;
    });
  };
  cr_assert(in_force("1"));
  std::string changed = kConfig;
  changed.replace(changed.find("profile:chat"), 12, "profile:talk");
  fleet.Publish(changed);
  cr_assert(in_force("2"));
  cr_assert_eq(fleet.Ask("e1", Fleet::Chat("x", 1, false)).status, 404);
  fleet.Publish("[profile:chat]\nclass = nonsense\n");
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("e1", "/audit").find("config_refused") !=
           std::string::npos;
  }));
  fleet.Publish(kConfig, 1);
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("e1", "/audit").find("config_superseded") !=
           std::string::npos;
  }));
  cr_assert(in_force("2"));
  fleet.Publish(kConfig, 9);
  cr_assert(in_force("9"));
  cr_assert_eq(fleet.Ask("e1", Fleet::Chat("x", 1, false)).status, 200);
}

Test(processes, never_serve_a_stale_platforms_revision) {
  Fleet fleet;
  StartUsual(fleet, 1);
  fleet.Publish(kConfig, 5);
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("m1", "/status").find("revision=5") !=
           std::string::npos;
  }));
  std::string old = kConfig;
  old.replace(old.find("profile:chat"), 12, "profile:talk");
  fleet.Publish(old, 3);
  fleet.Kill("e1");
  fleet.StartEntry("e1");
  // The first request that it takes at all is judged by the newer revision of
  // its peers.
  cr_assert(Fleet::Await([&] {
    const int status = fleet.Ask("e1", Fleet::Chat("x", 1, false)).status;
    cr_assert_neq(status, 404);
    return status == 200;
  }));
}

Test(processes, start_and_serve_while_the_platform_is_down) {
  Fleet fleet;
  StartUsual(fleet, 1);
  fleet.SetPlatformMode("down");
  fleet.Kill("e1");
  fleet.StartEntry("e1");
  fleet.AwaitEndpoints("e1", 2);
  cr_assert_eq(fleet.Ask("e1", Fleet::Chat("x", 1, false)).status, 200);
}

Test(processes, resume_an_answer_after_its_entry_was_killed) {
  Fleet fleet;
  StartUsual(fleet, 2);
  const auto first = fleet.Begin("e1", Fleet::Chat("long", 200, true));
  cr_assert(Fleet::Await([&] { return first->text().size() > 1'000; }));
  fleet.Kill("e1");
  cr_assert(Fleet::Await([&] { return first->over(); }));
  cr_assert_not(first->whole());
  const std::string have = first->text();
  const std::string target =
      "/v1/requests/" + first->header("banyanlane-request");
  const std::string offset = "?offset=" + std::to_string(have.size());
  const auto stranger = fleet.Ask(
      "e2",
      {"GET", target + offset, {{"banyanlane-organisation", "other"}}, "", ""});
  cr_assert_eq(stranger.status, 404);
  const auto rest = fleet.Ask(
      "e2",
      {"GET", target + offset, {{"banyanlane-organisation", "org"}}, "", ""});
  cr_assert_eq(rest.status, 200);
  cr_assert_eq(TokensOf(have + rest.body), ExpectedTokens("long", 200));
}

Test(processes, go_on_over_a_new_link_when_the_old_one_goes_silent) {
  Fleet fleet;
  StartUsual(fleet, 1, true);
  const auto answer = fleet.Begin("e1", Fleet::Chat("long", 1'500, true));
  cr_assert(Fleet::Await([&] { return answer->text().size() > 1'000; }));
  fleet.Signal("relay-m1", SIGUSR1);
  cr_assert(Fleet::Await([&] { return answer->over(); }));
  cr_assert(answer->whole(), "%s",
            answer->text().substr(answer->text().size() - 300).c_str());
  cr_assert_eq(TokensOf(answer->text()), ExpectedTokens("long", 1'500));
}

Test(processes, run_a_close_at_most_once_when_its_entry_is_frozen) {
  Fleet fleet;
  StartUsual(fleet, 1);
  const std::string key = IssueKey(fleet, "e1");
  const auto first = fleet.Begin("e1", Fleet::Close(key, "SLOW tab7"));
  cr_assert(Fleet::Await([&] {
    return fleet.Executions("t1").find("tab7") != std::string::npos;
  }));
  fleet.Signal("e1", SIGSTOP);
  cr_assert_eq(fleet.Ask("e2", Fleet::Close(key, "SLOW tab7")).status, 200);
  fleet.Signal("e1", SIGCONT);
  cr_assert(Fleet::Await([&] { return first->over(); }));
  cr_assert_eq(
      json::parse(fleet.Executions("t1"))["POST /tabs/close SLOW tab7"], 1);
}

Test(processes, tell_unknown_when_the_agent_of_a_running_close_is_killed) {
  Fleet fleet;
  StartUsual(fleet, 1);
  const std::string key = IssueKey(fleet, "e1");
  const auto first = fleet.Begin("e1", Fleet::Close(key, "SLOW tab8"));
  cr_assert(Fleet::Await([&] {
    return fleet.Executions("t1").find("tab8") != std::string::npos;
  }));
  fleet.Kill("t1");
  fleet.StartAgent("t1");
  cr_assert(Fleet::Await([&] { return first->over(); }));
  cr_assert_eq(json::parse(first->text())["outcome"], "unknown");
  fleet.AwaitEndpoints("e2", 2);
  const auto again = fleet.Ask("e2", Fleet::Close(key, "SLOW tab8"));
  cr_assert_eq(Problem(again)["outcome"], "unknown");
  cr_assert_eq(
      json::parse(fleet.Executions("t1"))["POST /tabs/close SLOW tab8"], 1);
}

Test(processes, lose_no_more_engines_to_poison_than_its_limit) {
  Fleet fleet;
  StartUsual(fleet, 4);
  const auto neighbour = fleet.Begin("e1", Fleet::Chat("neighbour", 300, true));
  cr_assert(Fleet::Await([&] { return !neighbour->text().empty(); }));
  int last = 0;
  for (int i = 0; i < 6; ++i) {
    last = fleet.Ask(i % 2 == 0 ? "e1" : "e2", Fleet::Chat("CRASH", 5, true))
               .status;
  }
  cr_assert_eq(last, 422);
  int running = 0;
  for (int i = 1; i <= 4; ++i)
    running += fleet.IsRunning("standin-m" + std::to_string(i)) ? 1 : 0;
  cr_assert_geq(running, 2);
  cr_assert_eq(fleet.Ask("e2", Fleet::Chat("innocent", 2, false)).status, 200);
}

Test(processes, cut_off_nothing_when_entry_and_agent_are_stopped) {
  Fleet fleet;
  StartUsual(fleet, 2);
  const auto answer = fleet.Begin("e1", Fleet::Chat("long", 300, true));
  cr_assert(Fleet::Await([&] { return !answer->text().empty(); }));
  const std::string agent = AgentOf(*answer);
  fleet.Signal(agent, SIGTERM);
  fleet.Signal("e1", SIGTERM);
  // Callers that keep the address are served meanwhile, by the other agent.
  cr_assert_eq(fleet.Ask("e1", Fleet::Chat("kept", 1, false)).status, 200);
  cr_assert_eq(fleet.Wait("e1"), 0);
  cr_assert_eq(fleet.Wait(agent), 0);
  cr_assert(Fleet::Await([&] { return answer->over(); }));
  cr_assert(answer->whole());
  cr_assert_eq(TokensOf(answer->text()), ExpectedTokens("long", 300));
}

Test(processes, give_a_leaving_agent_no_work_although_it_was_frozen) {
  Fleet fleet;
  StartUsual(fleet, 2);
  fleet.Signal("m1", SIGSTOP);
  fleet.SetState("m1", "leaving");
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("e1", "/status").find("leaving=true") !=
               std::string::npos ||
           fleet.AdminPage("e1", "/status").find("m1") == std::string::npos;
  }));
  fleet.Signal("m1", SIGCONT);
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(
        fleet.Ask("e1", Fleet::Chat("x" + std::to_string(i), 1, false)).status,
        200);
  }
  const json stats =
      json::parse(fleet.Page(fleet.Address("standin-m1"), "/control/stats"));
  cr_assert_eq(stats["tokens"], 0);
}

Test(processes, link_only_to_peers_with_a_certificate_in_their_own_name) {
  Fleet fleet;
  fleet.SecureLinks();
  fleet.Certify("m2", "m1");
  fleet.Certify("m3", "m3", "stranger");
  fleet.StartPlatform(kConfig);
  for (const char* name : {"m1", "m2", "m3"})
    fleet.AddEndpoint(name, "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 1);
  cr_assert_eq(fleet.Ask("e1", Fleet::Chat("x", 2, false)).status, 200);
  const std::string status = fleet.AdminPage("e1", "/status");
  cr_assert_neq(status.find("m1 service"), std::string::npos);
  // What reaches the others is refused each time they are dialled.
  const auto refused = [&] {
    return fleet.Log("e1").find("certificate names m1");
  };
  cr_assert(Fleet::Await([&] { return refused() != std::string::npos; }));
  cr_assert_eq(status.find("m3 service"), std::string::npos);
  cr_assert_neq(fleet.AdminPage("m2", "/status").find("revision=0\n"),
                std::string::npos);
  cr_assert_neq(fleet.AdminPage("m3", "/status").find("revision=0\n"),
                std::string::npos);
}

Test(processes, follow_the_platform_after_its_watches_went_silent) {
  Fleet fleet;
  fleet.StartPlatform(kConfig);
  fleet.RelayPlatform();
  fleet.AddEndpoint("m1", "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 1);
  fleet.Signal("relay-platform", SIGUSR1);
  fleet.Publish(kConfig, 7);
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("m1", "/status").find("revision=7\n") !=
           std::string::npos;
  }));
}

Test(processes, try_elsewhere_when_an_engine_goes_silent_before_its_answer) {
  Fleet fleet;
  std::string impatient = kConfig;
  impatient.replace(impatient.find("resume_grace_ms"), 0,
                    "attempt_timeout_ms = 400\n");
  fleet.StartPlatform(impatient);
  fleet.AddEndpoint("m1", "engine", "model");
  fleet.AddEndpoint("m2", "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 2);
  fleet.Signal("standin-m1", SIGSTOP);
  for (int i = 0; i < 4; ++i) {
    const auto answer =
        fleet.Ask("e1", Fleet::Chat("x" + std::to_string(i), 3, false));
    cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
  }
}

Test(processes, wait_for_an_answer_that_comes_whole_as_long_as_its_deadline) {
  Fleet fleet;
  std::string impatient = kConfig;
  impatient.replace(impatient.find("resume_grace_ms"), 0,
                    "attempt_timeout_ms = 300\n");
  fleet.StartPlatform(impatient);
  fleet.AddEndpoint("m1", "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 1);
  const auto answer = fleet.Ask("e1", Fleet::Chat("long", 200, false));
  cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
}

Test(processes, tell_a_cut_from_a_whole_answer) {
  Fleet fleet;
  StartUsual(fleet, 1);
  const auto streamed = fleet.Begin("e1", Fleet::Chat("CUT", 40, true));
  cr_assert(Fleet::Await([&] { return streamed->over(); }));
  cr_assert_not(streamed->whole());
  cr_assert_neq(streamed->text().find("event: error"), std::string::npos);
  const auto whole = fleet.Ask("e1", Fleet::Chat("CUT", 40, false));
  cr_assert_eq(whole.status, 502, "%s", whole.body.c_str());
  cr_assert_eq(Problem(whole)["outcome"], "unknown");
}

Test(processes, hold_the_engine_back_for_a_caller_who_does_not_read) {
  Fleet fleet;
  std::string narrow = kConfig;
  narrow.replace(narrow.find("resume_grace_ms"), 0,
                 "unread_window_bytes = 1024\n");
  // Long enough for any machine: the engine's own buffers have to fill first.
  narrow.replace(narrow.find("resume_grace_ms = 10000"), 23,
                 "resume_grace_ms = 600000");
  narrow.replace(narrow.find("deadline_ms = 20000"), 19,
                 "deadline_ms = 600000");
  fleet.StartPlatform(narrow);
  fleet.AddEndpoint("m1", "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 1);
  const auto answer =
      fleet.Begin("e1", Fleet::Chat(std::string(2'000, 'x'), 3'000, true));
  cr_assert(Fleet::Await([&] { return !answer->text().empty(); }));
  // The entry's process stands still: nothing takes what the engine makes.
  fleet.Signal("e1", SIGSTOP);
  const auto tokens = [&] {
    return json::parse(fleet.Page(fleet.Address("standin-m1"),
                                  "/control/stats"))["tokens"]
        .get<int>();
  };
  int before = -1;
  int repeats = 0;
  cr_assert(Fleet::Await([&] {
    const int now = tokens();
    repeats = now == before ? repeats + 1 : 0;
    before = now;
    return repeats > 30;
  }));
  cr_assert_lt(before, 3'000);
  fleet.Signal("e1", SIGCONT);
  cr_assert(Fleet::Await([&] { return tokens() > before; }));
}

Test(processes, stop_at_once_when_there_is_nothing_to_wait_for) {
  Fleet fleet;
  StartUsual(fleet, 1);
  for (const char* name : {"m1", "t1", "e1", "e2"}) fleet.Signal(name, SIGTERM);
  for (const char* name : {"m1", "t1", "e1", "e2"})
    cr_assert_eq(fleet.Wait(name), 0);
}

Test(processes, cancel_the_engines_work_when_its_caller_goes) {
  Fleet fleet;
  std::string hasty = kConfig;
  hasty.replace(hasty.find("resume_grace_ms = 10000"), 23,
                "resume_grace_ms = 0");
  fleet.StartPlatform(hasty);
  fleet.AddEndpoint("m1", "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 1);
  {
    const auto gone =
        http::Fetch(fleet.Address("e1"), Fleet::Chat("long", 3'000, true),
                    kernel::Millis(500));
    cr_assert(kernel::ErrorOf(gone) != nullptr);
  }
  cr_assert(Fleet::Await([&] {
    const auto stats =
        json::parse(fleet.Page(fleet.Address("standin-m1"), "/control/stats"));
    return stats["cancelled"] == 1 && stats["running"] == 0;
  }));
}

}  // namespace banyanlane::processes
