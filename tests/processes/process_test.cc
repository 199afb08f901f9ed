#include <criterion/criterion.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "processes/process_helpers.h"

namespace banyanlane::processes {

using nlohmann::json;

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

Test(processes, answer_a_body_that_stops_half_way_and_go_on) {
  Fleet fleet;
  StartUsual(fleet, 1);
  const std::string answer =
      fleet.AskRaw("e1",
                   "POST /v1/chat/completions HTTP/1.1\r\nHost: "
                   "e1\r\nContent-Length: 100\r\n\r\n{\"m");
  cr_assert_eq(answer.rfind("HTTP/1.1 408 ", 0), 0, "%s", answer.c_str());
  cr_assert_neq(answer.find("\"outcome\":\"not_run\""), std::string::npos);
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
  const std::string changed = ConfigWith("profile:chat", "profile:talk");
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
  const std::string old = ConfigWith("profile:chat", "profile:talk");
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
  const json stats = EngineStats(fleet, "m1");
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

Test(processes, wait_for_an_answer_that_comes_whole_as_long_as_its_deadline) {
  Fleet fleet;
  StartSmall(fleet, ConfigWith("resume_grace_ms",
                               "attempt_timeout_ms = 300\nresume_grace_ms"));
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

Test(processes, stop_at_once_when_there_is_nothing_to_wait_for) {
  Fleet fleet;
  StartUsual(fleet, 1);
  for (const char* name : {"m1", "t1", "e1", "e2"}) fleet.Signal(name, SIGTERM);
  for (const char* name : {"m1", "t1", "e1", "e2"})
    cr_assert_eq(fleet.Wait(name), 0);
}

}  // namespace banyanlane::processes
