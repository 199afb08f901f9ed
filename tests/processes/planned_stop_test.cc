#include <criterion/criterion.h>
#include <poll.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>

#include "processes/process_helpers.h"

namespace banyanlane::processes {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kRequestIntervalMillis = 40;
constexpr int kRoundsAfterStop = 10;
constexpr kernel::Millis kProfileDeadline{8'000};
constexpr kernel::Millis kLookupDeadline{3'000};
constexpr kernel::Millis kShortDeadline{900};

/// Returns the configuration of the tests, whose limits the traffic does not
/// reach, however slowly it is served.
std::string Config() {
  const std::string limit = "organisation_concurrency = 10000\n";
  std::string config = ConfigWith("deadline_ms = 20000", "deadline_ms = 8000");
  for (std::size_t at = config.find("deadline_ms"); at != std::string::npos;
       at = config.find("deadline_ms", at + limit.size() + 1))
    config.insert(at, limit);
  return config;
}

/// Starts two agents of each service and two entries, with deadlines that the
/// traffic of these tests does not reach.
void StartFleet(Fleet& fleet) {
  fleet.reuse_connections = true;
  fleet.StartPlatform(Config());
  for (const char* name : {"m1", "m2"})
    fleet.AddEndpoint(name, "engine", "model");
  for (const char* name : {"t1", "t2"})
    fleet.AddEndpoint(name, "service", "tabs");
  for (const char* name : {"e1", "e2"}) fleet.AddEntry(name);
  fleet.PublishInstances();
  for (const char* name : {"e1", "e2"}) fleet.AwaitEndpoints(name, 4);
}

/// Requests of all kinds to one entry, and their responses.
class Traffic {
 public:
  Traffic(Fleet& fleet, std::string entry)
      : fleet(fleet), entry(std::move(entry)) {}

  /// Sends one request of each kind. Non-repeatable ones have idempotency keys,
  /// which are issued by `key_source`.
  void Send(const std::string& key_source) {
    const std::string name = "x" + std::to_string(this->streams.size());
    this->Start(this->streams, Fleet::ChatRequest(name, kTokens, true));
    this->Start(this->streams, Fleet::ChatRequest(name, kTokens, true),
                kShortDeadline);
    this->Start(this->others, Fleet::ChatRequest(name, kTokens, false));
    this->Start(
        this->others,
        {"GET", "/tabs/1", {{"banyanlane-organisation", "org"}}, "", ""}, {},
        kLookupDeadline);
    const std::string body =
        (this->closes.size() % 4 == 0 ? "SLOW " : "") + name;
    const std::string key = IssueKey(this->fleet, key_source);
    this->Start(this->closes, Fleet::CloseRequest(key, body));
    this->close_bodies.push_back(body);
  }

  /// Checks that each request was completed or refused, and that work which is
  /// not repeatable ran exactly if its response says so.
  void Check(const std::vector<std::string>& services) {
    json executions = json::object();
    for (const auto* sent : {&this->streams, &this->others, &this->closes})
      for (const SentRequest& request : *sent)
        cr_assert(Fleet::Await([&] { return request.response->finished(); }));
    for (const std::string& service : services)
      executions.update(json::parse(this->fleet.Executions(service)));
    for (const auto& request : this->streams) this->CheckEnd(request);
    for (const auto& request : this->others) this->CheckEnd(request);
    for (std::size_t i = 0; i < this->closes.size(); ++i) {
      this->CheckEnd(this->closes[i]);
      const ResponseRecorder& response = *this->closes[i].response;
      const std::string work = "POST /tabs/close " + this->close_bodies[i];
      const int runs = executions.value(work, 0);
      const int expected = response.status() == kOk ? 1 : 0;
      const bool is_known = !IsOverdue(this->closes[i]);
      cr_expect(is_known ? runs == expected : runs <= 1, "%s: %d runs, %d %s",
                work.c_str(), runs, response.status(), response.text().c_str());
    }
  }

  int completed = 0;
  int refused = 0;
  int unread = 0;  ///< Requests that reached no process.

 private:
  struct SentRequest {
    std::shared_ptr<ResponseRecorder> response;
    kernel::TimePoint sent_at;
    kernel::Millis deadline{0};
  };
  using SentRequests = std::vector<SentRequest>;
  static constexpr int kTokens = 60;

  /// Returns whether the deadline of a request was reached, so that its
  /// response may be cut off.
  static bool IsOverdue(const SentRequest& request) {
    return request.response->ended_at() - request.sent_at >= request.deadline;
  }

  void Start(SentRequests& sent, http::HttpRequest request,
             std::optional<kernel::Millis> named = std::nullopt,
             kernel::Millis profile_deadline = kProfileDeadline) {
    if (named)
      request.headers.emplace_back("banyanlane-deadline-ms",
                                   std::to_string(named->count()));
    const auto now = kernel::Clock::now();
    sent.push_back({this->fleet.StartRequest(this->entry, std::move(request)),
                    now, named.value_or(profile_deadline)});
  }

  void CheckEnd(const SentRequest& request) {
    const ResponseRecorder& response = *request.response;
    if (IsOverdue(request)) return;
    if (response.status() == 0) {
      ++this->unread;
      return;
    }
    cr_expect(response.complete(), "%d %s", response.status(),
              response.text().c_str());
    this->completed += response.status() == kOk ? 1 : 0;
    this->refused += response.status() == kUnavailable ? 1 : 0;
    cr_expect(response.status() == kOk || response.status() == kUnavailable,
              "%d %s", response.status(), response.text().c_str());
  }

  Fleet& fleet;
  std::string entry;
  SentRequests streams;
  SentRequests others;
  SentRequests closes;
  std::vector<std::string> close_bodies;
};

/// Sends traffic until `stopping` are gone, and some more. Signals come again
/// meanwhile.
void SendDuringStop(Fleet& fleet, Traffic& traffic,
                    const std::vector<std::string>& stopping) {
  for (int round = 0; round < kRoundsAfterStop; ++round) {
    traffic.Send("e2");
    poll(nullptr, 0, kRequestIntervalMillis);
  }
  for (const std::string& name : stopping) fleet.Signal(name, SIGTERM);
  bool is_running = true;
  for (int after = 0; after < kRoundsAfterStop; after += is_running ? 0 : 1) {
    traffic.Send("e2");
    poll(nullptr, 0, kRequestIntervalMillis);
    is_running = false;
    for (const std::string& name : stopping) {
      if (!fleet.IsRunning(name)) continue;
      is_running = true;
      fleet.Signal(name, SIGHUP);
      fleet.Signal(name, SIGTERM);
    }
  }
}

}  // namespace

Test(planned_stop, an_entry_completes_or_refuses_all_requests) {
  Fleet fleet;
  StartFleet(fleet);
  Traffic traffic(fleet, "e1");
  SendDuringStop(fleet, traffic, {"e1"});
  traffic.Check({"t1", "t2"});
  cr_expect_gt(traffic.completed, 0);
}

Test(planned_stop, requests_go_elsewhere_when_agents_stop) {
  Fleet fleet;
  StartFleet(fleet);
  Traffic traffic(fleet, "e1");
  SendDuringStop(fleet, traffic, {"m1", "t1"});
  traffic.Check({"t1", "t2"});
  cr_expect_eq(traffic.unread, 0, "%d", traffic.unread);
}

Test(planned_stop, an_entry_and_agents_stop_together) {
  Fleet fleet;
  StartFleet(fleet);
  Traffic traffic(fleet, "e1");
  SendDuringStop(fleet, traffic, {"e1", "m1", "t1"});
  traffic.Check({"t1", "t2"});
  cr_expect_gt(traffic.completed, 0);
}

}  // namespace banyanlane::processes
