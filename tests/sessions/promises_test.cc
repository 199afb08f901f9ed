#include <criterion/criterion.h>

#include <random>

#include "sessions/session_world.h"

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

constexpr int kOperations = 250;
constexpr std::size_t kOldFramesKept = 12;
constexpr int kSeeds = 400;
constexpr std::uint64_t kDeadlineMillis = 4'000;

/// Plays random failures on a small world and checks the promises after every
/// event.
class PromiseRun {
 public:
  explicit PromiseRun(std::uint64_t seed)
      : seed(seed), random(seed), world(seed) {
    for (const std::string& agent : this->agents) {
      this->world.AddAgent(agent, agent[0] == 'm' ? "model" : "tabs");
    }
    this->world.Publish(kProfiles, 1);
    this->world.network = [this](const std::string& link,
                                 const link::Message& message) {
      return this->Mangle(link, message);
    };
    for (const std::string& entry : this->entries) {
      this->world.AddEntry(entry);
      for (const std::string& agent : this->agents)
        this->world.Link(entry, agent);
    }
  }

  /// @return the first broken promise, or "".
  std::string Run() {
    for (int i = 0; i < kOperations && this->broken.empty(); ++i) {
      this->Operate();
      this->Check();
    }
    this->Settle();
    return this->broken;
  }

  SessionWorld& Played() { return this->world; }

 private:
  struct Call {
    std::string text;
    bool head = false;
  };

  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }
  bool Chance(int percent) {
    return this->Pick(100) < static_cast<std::size_t>(percent);
  }
  const std::string& AnyAgent() {
    return this->agents[this->Pick(this->agents.size())];
  }
  const std::string& AnyEntry() {
    return this->entries[this->Pick(this->entries.size())];
  }

  /// Returns now and then a part of an answer with the bytes of another.
  link::Message Damaged(link::Message message) {
    auto* chunk = std::get_if<link::Chunk>(&message);
    if (chunk != nullptr && this->Chance(1)) {
      chunk->data.bytes = std::string(chunk->data.bytes.size(), 'x');
    }
    return message;
  }

  /// Loses frames, doubles them, and brings back old ones, of the same link or
  /// of any.
  std::vector<link::Message> Mangle(const std::string& link,
                                    const link::Message& message) {
    std::vector<link::Message> arriving;
    if (!this->Chance(2)) arriving.push_back(this->Damaged(message));
    if (this->Chance(5)) arriving.push_back(message);
    const std::string from = this->Chance(80) ? link : "any";
    const auto& old = this->old_frames[from];
    if (!old.empty() && this->Chance(8))
      arriving.push_back(old[this->Pick(old.size())]);
    const bool worth_keeping = std::holds_alternative<link::Chunk>(message) ||
                               std::holds_alternative<link::Submit>(message) ||
                               std::holds_alternative<link::Ended>(message);
    if (!worth_keeping) return arriving;
    for (const std::string& name : {link, std::string("any")}) {
      auto& kept = this->old_frames[name];
      kept.push_back(message);
      if (kept.size() > kOldFramesKept) kept.erase(kept.begin());
    }
    return arriving;
  }

  void Operate() {
    const std::size_t dice = this->Pick(100);
    if (dice < 18) return this->Ask();
    if (dice < 62) return this->Advance();
    if (dice < 72)
      return this->world.Pass(static_cast<std::int64_t>(this->Pick(700)));
    const std::string agent = this->AnyAgent();
    const std::string entry = this->AnyEntry();
    if (dice < 77) return this->world.Cut(entry, agent);
    if (dice < 83) return this->Relink(entry, agent);
    if (dice < 86) return this->world.Hold(entry, agent);
    if (dice < 90) return this->world.Release(entry, agent);
    if (dice < 92) return this->KillAndRestart(agent);
    if (dice < 94) return this->ReplaceEntry(entry);
    if (dice < 96 && !this->bodies.empty()) return this->Leave();
    if (dice < 97) return this->world.Leave(agent);
    this->world.Probe(agent, this->Chance(60),
                      "boot" + std::to_string(this->Pick(2)));
  }

  void Ask() {
    const std::string name = "r" + std::to_string(++this->requests);
    if (this->Chance(50)) {
      this->bodies[name] = name + "body";
      this->world.Request(name, this->AnyEntry(), "chat", this->bodies[name],
                          "", kDeadlineMillis);
      return;
    }
    if (this->keys.empty() || this->Chance(40)) {
      const std::string tabs = this->Chance(50) ? "t1" : "t2";
      this->keys.push_back(
          this->world.IssueKey(tabs, "n" + std::to_string(this->requests)));
    }
    const std::string key = this->keys[this->Pick(this->keys.size())];
    this->bodies[name] = "close" + key;
    this->world.Request(name, this->AnyEntry(), "close", this->bodies[name],
                        key, kDeadlineMillis);
  }

  /// Moves one open call a step on.
  void Advance() {
    const std::string agent = this->AnyAgent();
    const auto open = this->world.OpenCalls(agent);
    if (open.empty()) return;
    const std::string stream =
        *std::next(open.begin(), static_cast<long>(this->Pick(open.size())));
    const std::string id =
        agent + "/" + stream + "/" + std::to_string(this->lives[agent]);
    Call& call = this->calls[id];
    const std::string& body =
        this->bodies[entry::RequestFlow::FlowIdOf(stream)];
    const bool chat = agent[0] == 'm';
    const std::size_t dice = this->Pick(100);
    if (dice < 5) {
      this->world.EngineFail(agent, stream, kernel::ErrorCode::kConnectionLost,
                             call.head || this->Chance(50)
                                 ? http::SendState::kMaybeSent
                                 : http::SendState::kNotSent);
      return;
    }
    if (!call.head) {
      call.head = true;
      this->world.EngineHead(agent, stream, chat);
      return;
    }
    const bool last = dice > 70;
    const std::string part =
        last && chat ? "data:[DONE]" : "data:" + body + ";";
    call.text += part;
    // Set first, since the answer can reach the caller during the call below.
    if (last) this->whole_answers[body].insert(call.text);
    this->world.EngineData(agent, stream, part);
    if (last && this->world.OpenCalls(agent).count(stream) > 0) {
      this->world.EngineEnd(agent, stream);
    }
  }

  void Relink(const std::string& entry, const std::string& agent) {
    this->world.Cut(entry, agent);
    this->world.Link(entry, agent);
  }

  void KillAndRestart(const std::string& agent) {
    this->world.Kill(agent);
    ++this->lives[agent];
    this->world.Restart(agent);
    for (const std::string& entry : this->entries) {
      if (this->Chance(80)) this->world.Link(entry, agent);
    }
  }

  void ReplaceEntry(const std::string& entry) {
    for (const auto& [name, caller] : this->world.Callers()) {
      if (!caller.final) this->orphans.insert(name);
    }
    this->world.KillEntry(entry);
    this->world.AddEntry(entry);
    for (const std::string& agent : this->agents)
      this->world.Link(entry, agent);
  }

  void Leave() {
    const std::string name =
        std::next(this->bodies.begin(),
                  static_cast<long>(this->Pick(this->bodies.size())))
            ->first;
    if (!this->world.Caller(name).final) this->orphans.insert(name);
    this->world.CallerGone(name);
  }

  void Check() {
    for (const auto& [key, count] : this->world.ExecutionsByKey()) {
      if (count > 1)
        this->broken =
            "key " + key + " ran " + std::to_string(count) + " times";
    }
    for (const auto& [name, caller] : this->world.Callers()) {
      if (caller.finals > 1) this->broken = name + " got two final answers";
      if (caller.whole &&
          this->whole_answers[this->bodies[name]].count(caller.text) == 0) {
        this->broken =
            name +
            " got an answer that is not whole or not its own: " + caller.text;
      }
      const auto& ran = caller.key.empty() ? this->world.ExecutionsByRequest()
                                           : this->world.ExecutionsByKey();
      const auto found = ran.find(caller.key.empty() ? name : caller.key);
      const bool started = found != ran.end() && found->second > 0;
      if (caller.outcome == "not_run" && started)
        this->broken = name + " ran, but not_run was told";
    }
  }

  /// Ends all failures, lets all deadlines pass, and checks that each caller
  /// has its answer.
  void Settle() {
    if (!this->broken.empty()) return;
    for (const std::string& entry : this->entries) {
      for (const std::string& agent : this->agents)
        this->world.Release(entry, agent);
    }
    for (int i = 0; i < 4; ++i) {
      this->world.Pass(static_cast<std::int64_t>(kDeadlineMillis));
      this->Check();
    }
    for (const auto& [name, caller] : this->world.Callers()) {
      const bool answered = caller.final || this->orphans.count(name) > 0;
      if (!answered && this->broken.empty())
        this->broken = name + " never got a final answer";
    }
  }

  std::uint64_t seed;
  std::mt19937_64 random;
  SessionWorld world;
  const std::vector<std::string> agents = {"m1", "m2", "t1", "t2"};
  const std::vector<std::string> entries = {"e1", "e2"};
  std::map<std::string, std::vector<link::Message>> old_frames;
  std::vector<std::string> keys;
  std::map<std::string, std::string> bodies;
  std::map<std::string, std::set<std::string>> whole_answers;
  std::map<std::string, Call> calls;
  std::map<std::string, int> lives;
  std::set<std::string> orphans;
  int requests = 0;
  std::string broken;
};

}  // namespace

Test(promises, hold_under_random_failures) {
  int whole = 0;
  int not_run = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PromiseRun run(seed);
    const std::string broken = run.Run();
    const std::string& trace = run.Played().trace;
    cr_assert(
        broken.empty(), "seed %lu: %s\n%s", seed, broken.c_str(),
        trace.substr(trace.size() - std::min<std::size_t>(trace.size(), 4'000))
            .c_str());
    for (const auto& [name, caller] : run.Played().Callers()) {
      whole += caller.whole ? 1 : 0;
      not_run += caller.outcome == "not_run" ? 1 : 0;
    }
  }
  // A run in which little happens proves little.
  cr_assert_gt(whole, 2'000);
  cr_assert_gt(not_run, 500);
}

}  // namespace banyanlane::sessions
