#include <criterion/criterion.h>

#include <random>

#include "sessions/simulation.h"

namespace banyanlane::sessions {
namespace {

constexpr char kProfiles[] = R"(
[profile:chat]
class = chat
service = model
attempts = 4
retry_budget_percent = 100
resume_grace_ms = 500
unread_window_bytes = 1024
[profile:close]
class = service
service = tabs
path_prefix = /close
repeatable = false
key_lifetime_s = 3
)";

constexpr int kOperations = 250;  // Number of random operations in each run.
// Maximum number of messages that are recorded for replay, for each direction
// of each link and for all links together.
constexpr std::size_t kMaxRecordedMessages = 12;
constexpr int kSeeds = 400;  // Number of runs, each with its own seed.
constexpr std::uint64_t kDeadlineMillis = 4'000;

/// Runs random requests and failures on a small simulation and checks the
/// promises made to callers after every operation.
///
/// Callers are promised that a key is executed at most once, that a request has
/// at most one final response, that a response which ends normally is the whole
/// response to that request, and that a request with the outcome not_run was
/// never executed.
class RandomFailureRun {
 public:
  explicit RandomFailureRun(std::uint64_t seed)
      : seed(seed), random(seed), simulation(seed) {
    for (const std::string& agent : this->agents) {
      this->simulation.AddAgent(agent, agent[0] == 'm' ? "model" : "tabs");
    }
    this->simulation.Publish(kProfiles, 1);
    this->simulation.message_interceptor =
        [this](const std::string& link, const link::Message& message) {
          return this->InjectFaults(link, message);
        };
    for (const std::string& entry : this->entries) {
      this->simulation.AddEntry(entry);
      for (const std::string& agent : this->agents)
        this->simulation.OpenLink(entry, agent);
    }
  }

  /// @return a description of a violated promise, or "".
  std::string Run() {
    for (int i = 0; i < kOperations && this->violation.empty(); ++i) {
      this->RunRandomOperation();
      this->CheckPromises();
    }
    this->CheckAllResponsesEnd();
    return this->violation;
  }

  Simulation& GetSimulation() { return this->simulation; }

 private:
  /// Progress of a call to an endpoint.
  struct Call {
    std::string text;  ///< Body bytes that the endpoint has sent.
    /// Whether the endpoint has sent the response head.
    bool head_sent = false;
  };

  std::size_t RandomIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }
  bool Chance(int percent) {
    return this->RandomIndex(100) < static_cast<std::size_t>(percent);
  }
  const std::string& RandomAgent() {
    return this->agents[this->RandomIndex(this->agents.size())];
  }
  const std::string& RandomEntry() {
    return this->entries[this->RandomIndex(this->entries.size())];
  }

  /// Returns the message, with the bytes of a Chunk replaced in 1 of 100 cases.
  link::Message MaybeCorrupt(link::Message message) {
    auto* chunk = std::get_if<link::Chunk>(&message);
    if (chunk != nullptr && this->Chance(1)) {
      chunk->data.bytes = std::string(chunk->data.bytes.size(), 'x');
    }
    return message;
  }

  /// Drops, corrupts, duplicates and replays messages at random. A message is
  /// replayed from the same link and direction in 80 of 100 cases, otherwise
  /// from any link.
  /// @param link name of the link and direction.
  /// @return the messages to deliver instead of `message`.
  std::vector<link::Message> InjectFaults(const std::string& link,
                                          const link::Message& message) {
    std::vector<link::Message> delivered;
    if (!this->Chance(2)) delivered.push_back(this->MaybeCorrupt(message));
    if (this->Chance(5)) delivered.push_back(message);
    const std::string source = this->Chance(80) ? link : "any";
    const auto& replayable = this->recorded_messages[source];
    if (!replayable.empty() && this->Chance(8))
      delivered.push_back(replayable[this->RandomIndex(replayable.size())]);
    const bool is_replayable = std::holds_alternative<link::Chunk>(message) ||
                               std::holds_alternative<link::Submit>(message) ||
                               std::holds_alternative<link::Ended>(message);
    if (!is_replayable) return delivered;
    for (const std::string& name : {link, std::string("any")}) {
      auto& recorded = this->recorded_messages[name];
      recorded.push_back(message);
      if (recorded.size() > kMaxRecordedMessages)
        recorded.erase(recorded.begin());
    }
    return delivered;
  }

  void RunRandomOperation() {
    const std::size_t random_percent = this->RandomIndex(100);
    if (random_percent < 18) return this->SendRandomRequest();
    if (random_percent < 62) return this->AdvanceRandomCall();
    if (random_percent < 72)
      return this->simulation.AdvanceTime(
          static_cast<std::int64_t>(this->RandomIndex(700)));
    const std::string agent = this->RandomAgent();
    const std::string entry = this->RandomEntry();
    if (random_percent < 77) return this->simulation.CloseLink(entry, agent);
    if (random_percent < 83) return this->ReopenLink(entry, agent);
    if (random_percent < 86) return this->simulation.HoldMessages(entry, agent);
    if (random_percent < 90)
      return this->simulation.ReleaseMessages(entry, agent);
    if (random_percent < 92) return this->KillAndRestart(agent);
    if (random_percent < 94) return this->ReplaceEntry(entry);
    if (random_percent < 96 && !this->bodies.empty())
      return this->DisconnectRandomCaller();
    if (random_percent < 97) return this->simulation.SetAgentLeaving(agent);
    this->simulation.ReportProbe(agent, this->Chance(60),
                                 "boot" + std::to_string(this->RandomIndex(2)));
  }

  void SendRandomRequest() {
    const std::string name = "r" + std::to_string(++this->request_count);
    if (this->Chance(50)) {
      this->bodies[name] = name + "body";
      this->simulation.SendRequest(name, this->RandomEntry(), "chat",
                                   this->bodies[name], "", kDeadlineMillis);
      return;
    }
    if (this->keys.empty() || this->Chance(40)) {
      const std::string agent = this->Chance(50) ? "t1" : "t2";
      this->keys.push_back(this->simulation.IssueKey(
          agent, "n" + std::to_string(this->request_count)));
    }
    const std::string key = this->keys[this->RandomIndex(this->keys.size())];
    this->bodies[name] = "close" + key;
    this->simulation.SendRequest(name, this->RandomEntry(), "close",
                                 this->bodies[name], key, kDeadlineMillis);
  }

  /// Fails one open call of a random agent, or sends the response head or the
  /// next part of the body on it.
  void AdvanceRandomCall() {
    const std::string agent = this->RandomAgent();
    const auto open = this->simulation.OpenCalls(agent);
    if (open.empty()) return;
    const std::string stream = *std::next(
        open.begin(), static_cast<long>(this->RandomIndex(open.size())));
    const std::string id = agent + "/" + stream + "/" +
                           std::to_string(this->restart_counts[agent]);
    Call& call = this->calls[id];
    const std::string& body =
        this->bodies[entry::RequestFlow::FlowIdOf(stream)];
    const bool is_chat = agent[0] == 'm';
    const std::size_t random_percent = this->RandomIndex(100);
    if (random_percent < 5) {
      this->simulation.FailEngineCall(
          agent, stream, kernel::ErrorCode::kConnectionLost,
          call.head_sent || this->Chance(50) ? http::SendState::kMaybeSent
                                             : http::SendState::kNotSent);
      return;
    }
    if (!call.head_sent) {
      call.head_sent = true;
      this->simulation.SendEngineHead(agent, stream, is_chat);
      return;
    }
    const bool is_last_part = random_percent > 70;
    const std::string part =
        is_last_part && is_chat ? "data:[DONE]" : "data:" + body + ";";
    call.text += part;
    // The complete response is recorded first, because it can reach the caller
    // before SendEngineData returns.
    if (is_last_part) this->complete_responses[body].insert(call.text);
    this->simulation.SendEngineData(agent, stream, part);
    if (is_last_part && this->simulation.OpenCalls(agent).count(stream) > 0) {
      this->simulation.EndEngineResponse(agent, stream);
    }
  }

  void ReopenLink(const std::string& entry, const std::string& agent) {
    this->simulation.CloseLink(entry, agent);
    this->simulation.OpenLink(entry, agent);
  }

  void KillAndRestart(const std::string& agent) {
    this->simulation.KillAgent(agent);
    ++this->restart_counts[agent];
    this->simulation.RestartAgent(agent);
    for (const std::string& entry : this->entries) {
      if (this->Chance(80)) this->simulation.OpenLink(entry, agent);
    }
  }

  void ReplaceEntry(const std::string& entry) {
    for (const auto& [name, caller] : this->simulation.Callers()) {
      if (!caller.final) this->unreachable_requests.insert(name);
    }
    this->simulation.KillEntry(entry);
    this->simulation.AddEntry(entry);
    for (const std::string& agent : this->agents)
      this->simulation.OpenLink(entry, agent);
  }

  void DisconnectRandomCaller() {
    const std::string name =
        std::next(this->bodies.begin(),
                  static_cast<long>(this->RandomIndex(this->bodies.size())))
            ->first;
    if (!this->simulation.Caller(name).final)
      this->unreachable_requests.insert(name);
    this->simulation.DisconnectCaller(name);
  }

  void CheckPromises() {
    for (const auto& [key, count] : this->simulation.ExecutionsByKey()) {
      if (count > 1)
        this->violation =
            "key " + key + " was executed " + std::to_string(count) + " times";
    }
    for (const auto& [name, caller] : this->simulation.Callers()) {
      if (caller.final_count > 1)
        this->violation = name + " received more than one final response";
      if (caller.complete && this->complete_responses[this->bodies[name]].count(
                                 caller.text) == 0) {
        this->violation =
            name +
            " received a truncated response or that of another request: " +
            caller.text;
      }
      const auto& executions = caller.key.empty()
                                   ? this->simulation.ExecutionsByRequest()
                                   : this->simulation.ExecutionsByKey();
      const auto found =
          executions.find(caller.key.empty() ? name : caller.key);
      const bool was_executed = found != executions.end() && found->second > 0;
      if (caller.outcome == "not_run" && was_executed)
        this->violation = name + " was executed, but its outcome is not_run";
    }
  }

  /// Releases all held messages, advances the time past all deadlines, and
  /// checks that each request not in `unreachable_requests` has a final
  /// response. Messages are still dropped, corrupted, duplicated and replayed.
  void CheckAllResponsesEnd() {
    if (!this->violation.empty()) return;
    for (const std::string& entry : this->entries) {
      for (const std::string& agent : this->agents)
        this->simulation.ReleaseMessages(entry, agent);
    }
    for (int i = 0; i < 4; ++i) {
      this->simulation.AdvanceTime(static_cast<std::int64_t>(kDeadlineMillis));
      this->CheckPromises();
    }
    for (const auto& [name, caller] : this->simulation.Callers()) {
      const bool ended_or_exempt =
          caller.final || this->unreachable_requests.count(name) > 0;
      if (!ended_or_exempt && this->violation.empty())
        this->violation = name + " received no final response";
    }
  }

  std::uint64_t seed;
  std::mt19937_64 random;
  Simulation simulation;
  const std::vector<std::string> agents = {"m1", "m2", "t1", "t2"};
  const std::vector<std::string> entries = {"e1", "e2"};
  /// Recent messages by link and direction, and of all links under "any".
  std::map<std::string, std::vector<link::Message>> recorded_messages;
  std::vector<std::string> keys;
  /// Request body by request name.
  std::map<std::string, std::string> bodies;
  /// Texts of complete responses that endpoints sent, by request body.
  std::map<std::string, std::set<std::string>> complete_responses;
  /// Open and ended calls by agent, stream and restart count of the agent.
  std::map<std::string, Call> calls;
  /// Number of restarts by agent.
  std::map<std::string, int> restart_counts;
  /// Requests that had no final response when their caller disconnected or when
  /// any entry was replaced. They may stay without one.
  std::set<std::string> unreachable_requests;
  int request_count = 0;  ///< Requests sent so far.
  std::string violation;
};

}  // namespace

Test(promises, hold_under_random_failures) {
  int complete = 0;
  int not_run = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFailureRun run(seed);
    const std::string violation = run.Run();
    const std::string& trace = run.GetSimulation().trace;
    cr_assert(
        violation.empty(), "seed %lu: %s\n%s", seed, violation.c_str(),
        trace.substr(trace.size() - std::min<std::size_t>(trace.size(), 4'000))
            .c_str());
    for (const auto& [name, caller] : run.GetSimulation().Callers()) {
      complete += caller.complete ? 1 : 0;
      not_run += caller.outcome == "not_run" ? 1 : 0;
    }
  }
  // With few complete responses or few outcomes not_run, the promises about
  // them would hardly be checked.
  cr_assert_gt(complete, 2'000);
  cr_assert_gt(not_run, 500);
}

}  // namespace banyanlane::sessions
