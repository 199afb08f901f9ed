#include <criterion/criterion.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "processes/process_helpers.h"

namespace banyanlane::processes {

using nlohmann::json;

Test(processes, resume_a_response_after_its_entry_was_killed) {
  Fleet fleet;
  StartDefaultFleet(fleet, 2);
  const auto first =
      fleet.StartRequest("e1", Fleet::ChatRequest("long", 200, true));
  cr_assert(Fleet::Await([&] { return first->text().size() > 1'000; }));
  fleet.Kill("e1");
  cr_assert(Fleet::Await([&] { return first->finished(); }));
  cr_assert_not(first->complete());
  const std::string received = first->text();
  const std::string target =
      "/v1/requests/" + first->header("banyanlane-request");
  const std::string offset = "?offset=" + std::to_string(received.size());
  const auto other_organisation = fleet.SendRequest(
      "e2",
      {"GET", target + offset, {{"banyanlane-organisation", "other"}}, "", ""});
  cr_assert_eq(other_organisation.status, 404);
  const auto resumed = fleet.SendRequest(
      "e2",
      {"GET", target + offset, {{"banyanlane-organisation", "org"}}, "", ""});
  cr_assert_eq(resumed.status, 200);
  cr_assert_eq(TokensOf(received + resumed.body), ExpectedTokens("long", 200));
}

Test(processes, continue_over_a_new_link_when_the_old_one_goes_silent) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1, true);
  const auto response =
      fleet.StartRequest("e1", Fleet::ChatRequest("long", 1'500, true));
  cr_assert(Fleet::Await([&] { return response->text().size() > 1'000; }));
  fleet.Signal("relay-m1", SIGUSR1);
  cr_assert(Fleet::Await([&] { return response->finished(); }));
  cr_assert(response->complete(), "%s",
            response->text().substr(response->text().size() - 300).c_str());
  cr_assert_eq(TokensOf(response->text()), ExpectedTokens("long", 1'500));
}

Test(processes, run_a_close_at_most_once_when_its_entry_is_frozen) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  const std::string key = IssueKey(fleet, "e1");
  const auto first =
      fleet.StartRequest("e1", Fleet::CloseRequest(key, "SLOW tab7"));
  cr_assert(Fleet::Await([&] {
    return fleet.Executions("t1").find("tab7") != std::string::npos;
  }));
  fleet.Signal("e1", SIGSTOP);
  cr_assert_eq(
      fleet.SendRequest("e2", Fleet::CloseRequest(key, "SLOW tab7")).status,
      200);
  fleet.Signal("e1", SIGCONT);
  cr_assert(Fleet::Await([&] { return first->finished(); }));
  cr_assert_eq(
      json::parse(fleet.Executions("t1"))["POST /tabs/close SLOW tab7"], 1);
}

Test(processes, report_unknown_when_the_agent_of_a_running_close_is_killed) {
  Fleet fleet;
  StartDefaultFleet(fleet, 1);
  const std::string key = IssueKey(fleet, "e1");
  const auto first =
      fleet.StartRequest("e1", Fleet::CloseRequest(key, "SLOW tab8"));
  cr_assert(Fleet::Await([&] {
    return fleet.Executions("t1").find("tab8") != std::string::npos;
  }));
  fleet.Kill("t1");
  fleet.StartAgent("t1");
  cr_assert(Fleet::Await([&] { return first->finished(); }));
  cr_assert_eq(json::parse(first->text())["outcome"], "unknown");
  fleet.AwaitEndpoints("e2", 2);
  const auto repeated =
      fleet.SendRequest("e2", Fleet::CloseRequest(key, "SLOW tab8"));
  cr_assert_eq(ParseProblem(repeated)["outcome"], "unknown");
  cr_assert_eq(
      json::parse(fleet.Executions("t1"))["POST /tabs/close SLOW tab8"], 1);
}

Test(processes, lose_no_more_engines_to_a_crashing_request_than_its_limit) {
  Fleet fleet;
  StartDefaultFleet(fleet, 4);
  const auto neighbour =
      fleet.StartRequest("e1", Fleet::ChatRequest("neighbour", 300, true));
  cr_assert(Fleet::Await([&] { return !neighbour->text().empty(); }));
  int last_status = 0;
  for (int i = 0; i < 6; ++i) {
    last_status = fleet
                      .SendRequest(i % 2 == 0 ? "e1" : "e2",
                                   Fleet::ChatRequest("CRASH", 5, true))
                      .status;
  }
  cr_assert_eq(last_status, 422);
  int running = 0;
  for (int i = 1; i <= 4; ++i)
    running += fleet.IsRunning("standin-m" + std::to_string(i)) ? 1 : 0;
  cr_assert_geq(running, 2);
  cr_assert_eq(
      fleet.SendRequest("e2", Fleet::ChatRequest("innocent", 2, false)).status,
      200);
}

Test(processes,
     retry_elsewhere_when_an_engine_goes_silent_before_its_response) {
  Fleet fleet;
  StartSingleEntryFleet(fleet,
                        ConfigWith("resume_grace_ms",
                                   "attempt_timeout_ms = 400\nresume_grace_ms"),
                        2);
  fleet.Signal("standin-m1", SIGSTOP);
  for (int i = 0; i < 4; ++i) {
    const auto response = fleet.SendRequest(
        "e1", Fleet::ChatRequest("x" + std::to_string(i), 3, false));
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  }
}

Test(processes, pause_the_engine_for_a_caller_that_does_not_read) {
  Fleet fleet;
  fleet.token_millis = 1;
  // The engine pauses only when the buffers between it and the agent are full.
  // Its tokens are quick, since it closes a connection that is not read for 10
  // s (kTcpUserTimeoutMillis). The deadline and the resume grace time are
  // longer than that.
  StartSingleEntryFleet(
      fleet,
      ConfigWith("deadline_ms = 20000\nmax_output_tokens = "
                 "4000\nresume_grace_ms = 10000",
                 "deadline_ms = 600000\nmax_output_tokens = 4000\n"
                 "unread_window_bytes = 1024\nresume_grace_ms = 600000"));
  const auto response = fleet.StartRequest(
      "e1", Fleet::ChatRequest(std::string(2'000, 'x'), 3'000, true));
  cr_assert(Fleet::Await([&] { return !response->text().empty(); }));
  // With its entry frozen, nothing consumes the engine's tokens.
  fleet.Signal("e1", SIGSTOP);
  const auto tokens = [&] {
    return EngineStats(fleet, "m1")["tokens"].get<int>();
  };
  int last_count = -1;
  int unchanged_polls = 0;
  cr_assert(Fleet::Await([&] {
    const int count = tokens();
    unchanged_polls = count == last_count ? unchanged_polls + 1 : 0;
    last_count = count;
    return unchanged_polls > 30;
  }));
  cr_assert_lt(last_count, 3'000);
  fleet.Signal("e1", SIGCONT);
  cr_assert(Fleet::Await([&] { return tokens() > last_count; }));
}

Test(processes, cancel_the_engines_work_when_its_caller_disconnects) {
  Fleet fleet;
  const std::string without_grace =
      ConfigWith("resume_grace_ms = 10000", "resume_grace_ms = 0");
  StartSingleEntryFleet(fleet, without_grace);
  {
    const auto timed_out = http::Fetch(fleet.Address("e1"),
                                       Fleet::ChatRequest("long", 3'000, true),
                                       kernel::Millis(500));
    cr_assert(kernel::ErrorOf(timed_out) != nullptr);
  }
  cr_assert(Fleet::Await([&] {
    const auto stats = EngineStats(fleet, "m1");
    return stats["cancelled"] == 1 && stats["running"] == 0;
  }));
}

}  // namespace banyanlane::processes
