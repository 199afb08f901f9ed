#include <criterion/criterion.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "processes/process_helpers.h"

namespace banyanlane::processes {

using nlohmann::json;

Test(processes, serve_requests_end_to_end) {
  Fleet fleet;
  StartDefaultFleet(fleet, 2);
  const auto addresses =
      fleet.SendRequest("e1", {"GET", "/v1/addresses", {}, "", ""});
  cr_assert_eq(json::parse(addresses.body)["addresses"].size(), 2);
  const auto streamed =
      fleet.SendRequest("e1", Fleet::ChatRequest("hello", 5, true));
  cr_assert_eq(TokensOf(streamed.body), ExpectedTokens("hello", 5), "%s",
               streamed.body.c_str());
  const auto non_streaming =
      fleet.SendRequest("e2", Fleet::ChatRequest("hello", 5, false));
  cr_assert_eq(
      json::parse(non_streaming.body)["choices"][0]["message"]["content"],
      ExpectedTokens("hello", 5));
  const auto lookup = fleet.SendRequest(
      "e1", {"GET", "/tabs/41", {{"banyanlane-organisation", "org"}}, "", ""});
  cr_assert_eq(lookup.status, 200);
  const auto without_key =
      fleet.SendRequest("e1", Fleet::CloseRequest("", "tab41"));
  cr_assert_eq(without_key.status, 428);
  cr_assert_eq(ParseProblem(without_key)["outcome"], "not_run");
  const std::string key = ParseProblem(without_key)["next_key"];
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::CloseRequest(key, "tab41")).status, 200);
  const auto repeated =
      fleet.SendRequest("e2", Fleet::CloseRequest(key, "tab41"));
  cr_assert_eq(repeated.status, 200, "%s", repeated.body.c_str());
  cr_assert_eq(
      fleet.SendRequest("e2", Fleet::CloseRequest(key, "tab42")).status, 409);
  const json executions = json::parse(fleet.Executions("t1"));
  cr_assert_eq(executions["POST /tabs/close tab41"], 1);
  cr_assert_not(executions.contains("POST /tabs/close tab42"));
}

Test(processes, reject_bad_input_and_continue) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  const http::Headers valid_headers = {{"banyanlane-profile", "chat"},
                                       {"banyanlane-organisation", "org"}};
  const std::string chat = "/v1/chat/completions";
  const auto with = [&valid_headers](const char* name, const char* value) {
    http::Headers headers = valid_headers;
    headers.emplace_back(name, value);
    return headers;
  };
  const std::string valid_body =
      R"({"messages":[{"role":"user","content":"x"}],"max_tokens":1})";
  const std::tuple<http::HttpRequest, int, const char*> cases[] = {
      {{"POST", chat, valid_headers, "{", ""}, 400, "invalid_body"},
      {{"POST", chat, valid_headers, "{}", ""}, 400, "invalid_body"},
      {{"POST", chat, valid_headers, R"({"messages":[],"max_tokens":-1})", ""},
       400,
       "invalid_body"},
      {{"POST", chat, valid_headers, R"({"messages":[],"stream":"yes"})", ""},
       400,
       "invalid_body"},
      {{"GET", chat, valid_headers, "", ""}, 405, "wrong_method"},
      {{"POST", chat, {{"banyanlane-profile", "chat"}}, valid_body, ""},
       400,
       "missing_organisation"},
      {{"POST", chat, {{"banyanlane-organisation", "o"}}, valid_body, ""},
       404,
       "unknown_profile"},
      {{"POST", chat, {{"banyanlane-profile", "none"}}, valid_body, ""},
       404,
       "unknown_profile"},
      {{"POST", "/tabs/1", valid_headers, valid_body, ""},
       400,
       "wrong_profile"},
      {{"POST", chat, with("banyanlane-deadline-ms", "0"), valid_body, ""},
       504,
       "deadline_past"},
      {{"POST", chat, with("banyanlane-deadline-ms", "soon"), valid_body, ""},
       400,
       "invalid_deadline"},
      {{"POST", chat, with("banyanlane-priority", "11"), valid_body, ""},
       400,
       "invalid_priority"},
      {{"GET", "/v1/requests/nothing", valid_headers, "", ""},
       400,
       "invalid_resume"},
      {{"GET", "/v1/requests/m1~1~x", valid_headers, "", ""}, 404, "not_found"},
      {{"GET", "/v1/keys?profile=none", valid_headers, "", ""},
       404,
       "unknown_profile"},
      {{"POST", chat, valid_headers, std::string(5'000'000, 'x'), ""},
       413,
       "body limit exceeded"},
      {{"POST", chat, with("x", std::string(20'000, 'x').c_str()), valid_body,
        ""},
       431,
       "header limit exceeded"},
  };
  for (const auto& [request, status, title] : cases) {
    const auto response = fleet.SendRequest("e1", request);
    cr_expect_eq(response.status, status, "%s %s: %d %s",
                 request.method.c_str(), title, response.status,
                 response.body.c_str());
    cr_expect_eq(ParseProblem(response).value("title", ""), title, "%s",
                 response.body.c_str());
  }
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::ChatRequest("after", 1, false)).status,
      200);
}

Test(processes, reject_a_truncated_body_and_continue) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  const std::string response =
      fleet.SendRaw("e1",
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: "
                    "e1\r\nContent-Length: 100\r\n\r\n{\"m");
  cr_assert_eq(response.rfind("HTTP/1.1 408 ", 0), 0, "%s", response.c_str());
  cr_assert_neq(response.find("\"outcome\":\"not_run\""), std::string::npos);
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::ChatRequest("after", 1, false)).status,
      200);
}

Test(processes, apply_published_changed_and_removed_profiles) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  const auto revision_is_active = [&](const std::string& revision) {
    return Fleet::Await([&] {
      for (const char* name : {"e1", "e2", "m1", "t1"}) {
        const std::string status = fleet.AdminPage(name, "/status");
        if (status.find("revision=" + revision + "\n") == std::string::npos)
          return false;
      }
      return true;
    });
  };
  cr_assert(revision_is_active("1"));
  const std::string changed = ConfigWith("profile:chat", "profile:talk");
  fleet.Publish(changed);
  cr_assert(revision_is_active("2"));
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::ChatRequest("x", 1, false)).status, 404);
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
  cr_assert(revision_is_active("2"));
  fleet.Publish(kConfig, 9);
  cr_assert(revision_is_active("9"));
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::ChatRequest("x", 1, false)).status, 200);
}

Test(processes, never_serve_a_stale_platforms_revision) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  fleet.Publish(kConfig, 5);
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("m1", "/status").find("revision=5") !=
           std::string::npos;
  }));
  const std::string old = ConfigWith("profile:chat", "profile:talk");
  fleet.Publish(old, 3);
  fleet.Kill("e1");
  fleet.StartEntry("e1");
  // From its first request on, the restarted entry uses the newer revision of
  // its peers, which has the profile, and not the older one of the platform.
  cr_assert(Fleet::Await([&] {
    const int status =
        fleet.SendRequest("e1", Fleet::ChatRequest("x", 1, false)).status;
    cr_assert_neq(status, 404);
    return status == 200;
  }));
}

Test(processes, start_and_serve_while_the_platform_is_down) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  fleet.SetPlatformMode("down");
  fleet.Kill("e1");
  fleet.StartEntry("e1");
  fleet.AwaitEndpoints("e1", 2);
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::ChatRequest("x", 1, false)).status, 200);
}

Test(processes, finish_streams_when_entry_and_agent_are_stopped) {
  Fleet fleet;
  StartDefaultFleet(fleet, 2);
  const auto response =
      fleet.StartRequest("e1", Fleet::ChatRequest("long", 300, true));
  cr_assert(Fleet::Await([&] { return !response->text().empty(); }));
  const std::string agent = AgentOf(*response);
  fleet.Signal(agent, SIGTERM);
  fleet.Signal("e1", SIGTERM);
  // While it stops, the entry serves callers that still use its address,
  // through the other agent.
  const auto kept =
      fleet.SendRequest("e1", Fleet::ChatRequest("kept", 1, false));
  cr_assert_eq(kept.status, 200, "%d %s", kept.status, kept.body.c_str());
  cr_assert_eq(fleet.WaitForExit("e1"), 0);
  cr_assert_eq(fleet.WaitForExit(agent), 0);
  cr_assert(Fleet::Await([&] { return response->finished(); }));
  cr_assert(response->complete());
  cr_assert_eq(TokensOf(response->text()), ExpectedTokens("long", 300));
}

Test(processes, send_no_work_to_a_leaving_agent_that_was_frozen) {
  Fleet fleet;
  StartDefaultFleet(fleet, 2);
  fleet.Signal("m1", SIGSTOP);
  fleet.SetState("m1", "leaving");
  cr_assert(Fleet::Await([&] {
    return fleet.AdminPage("e1", "/status").find("leaving=true") !=
               std::string::npos ||
           fleet.AdminPage("e1", "/status").find("m1") == std::string::npos;
  }));
  fleet.Signal("m1", SIGCONT);
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(fleet
                     .SendRequest("e1", Fleet::ChatRequest(
                                            "x" + std::to_string(i), 1, false))
                     .status,
                 200);
  }
  const json stats = EngineStats(fleet, "m1");
  cr_assert_eq(stats["tokens"], 0);
}

Test(processes, link_only_to_peers_with_a_certificate_in_their_own_name) {
  Fleet fleet;
  fleet.SecureLinks();
  fleet.IssueCertificate("m2", "m1");
  fleet.IssueCertificate("m3", "m3", "stranger");
  fleet.StartPlatform(kConfig);
  for (const char* name : {"m1", "m2", "m3"})
    fleet.AddEndpoint(name, "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 1);
  cr_assert_eq(
      fleet.SendRequest("e1", Fleet::ChatRequest("x", 2, false)).status, 200);
  const std::string status = fleet.AdminPage("e1", "/status");
  cr_assert_neq(status.find("m1 service"), std::string::npos);
  // The entry refuses m2 and m3 on each connection attempt.
  const auto refusal_position = [&] {
    return fleet.ReadLog("e1").find("certificate names m1");
  };
  cr_assert(
      Fleet::Await([&] { return refusal_position() != std::string::npos; }));
  cr_assert_eq(status.find("m3 service"), std::string::npos);
  cr_assert_neq(fleet.AdminPage("m2", "/status").find("revision=0\n"),
                std::string::npos);
  cr_assert_neq(fleet.AdminPage("m3", "/status").find("revision=0\n"),
                std::string::npos);
}

Test(processes, receive_revisions_after_platform_watches_went_silent) {
  Fleet fleet;
  fleet.StartPlatform(kConfig);
  fleet.AddPlatformRelay();
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

Test(processes, wait_for_a_non_streaming_response_until_its_deadline) {
  Fleet fleet;
  StartSingleEntryFleet(
      fleet, ConfigWith("resume_grace_ms",
                        "attempt_timeout_ms = 300\nresume_grace_ms"));
  const auto response =
      fleet.SendRequest("e1", Fleet::ChatRequest("long", 200, false));
  cr_assert_eq(response.status, 200, "%s", response.body.c_str());
}

Test(processes, distinguish_an_aborted_from_a_complete_response) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  const auto streamed =
      fleet.StartRequest("e1", Fleet::ChatRequest("CUT", 40, true));
  cr_assert(Fleet::Await([&] { return streamed->finished(); }));
  cr_assert_not(streamed->complete(), "%d %s", streamed->status(),
                streamed->text().c_str());
  cr_assert_neq(streamed->text().find("event: error"), std::string::npos);
  const auto non_streaming =
      fleet.SendRequest("e1", Fleet::ChatRequest("CUT", 40, false));
  cr_assert_eq(non_streaming.status, 502, "%s", non_streaming.body.c_str());
  cr_assert_eq(ParseProblem(non_streaming)["outcome"], "unknown");
}

Test(processes, stop_immediately_without_pending_work) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  for (const char* name : {"m1", "t1", "e1", "e2"}) fleet.Signal(name, SIGTERM);
  for (const char* name : {"m1", "t1", "e1", "e2"})
    cr_assert_eq(fleet.WaitForExit(name), 0);
}

}  // namespace banyanlane::processes
