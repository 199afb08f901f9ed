#include "sessions/session_script.h"

#include <map>
#include <sstream>
#include <stdexcept>

#include "kernel/text.h"
#include "sessions/session_world.h"

namespace banyanlane::sessions {
namespace {

constexpr char kProfiles[] = R"(
[profile:chat]
class = chat
service = model
deadline_ms = 10000
attempt_timeout_ms = 5000
attempts = 3
resume_grace_ms = 2000
unread_window_bytes = 1024
crash_limit = 2
[profile:lookup]
class = service
service = tabs
path_prefix = /tabs
[profile:close]
class = service
service = tabs
path_prefix = /close
repeatable = false
key_lifetime_s = 60
)";

/// The words of one command: positional ones, and options in the form
/// name=value.
class Command {
 public:
  explicit Command(const std::string& line) {
    std::istringstream stream(line);
    std::string word;
    while (stream >> word) {
      const std::size_t equals = word.find('=');
      if (equals == std::string::npos) {
        this->words.push_back(word);
      } else {
        this->options[word.substr(0, equals)] = word.substr(equals + 1);
      }
    }
  }

  const std::string& Word(std::size_t index) const {
    return this->words.at(index);
  }
  bool Has(const std::string& word) const {
    for (const std::string& candidate : this->words) {
      if (candidate == word) return true;
    }
    return false;
  }
  std::string Option(const std::string& name,
                     const std::string& fallback = "") const {
    const auto found = this->options.find(name);
    return found == this->options.end() ? fallback : found->second;
  }

 private:
  std::vector<std::string> words;
  std::map<std::string, std::string> options;
};

class Player {
 public:
  std::string Play(const Command& command) {
    this->world.trace.clear();
    this->Run(command);
    return this->world.trace;
  }

 private:
  void Run(const Command& c) {
    const std::string& verb = c.Word(0);
    if (verb == "agent") {
      agent::AgentLimits limits;
      limits.admission.slots = std::stoul(c.Option("slots", "8"));
      limits.admission.max_queued = std::stoul(c.Option("queue", "4"));
      this->world.AddAgent(c.Word(1), c.Word(2), limits);
      this->world.Publish(kProfiles, 1);
    } else if (verb == "entry") {
      this->world.AddEntry(c.Word(1));
    } else if (verb == "link") {
      this->world.Link(c.Word(1), c.Word(2));
    } else if (verb == "cut") {
      this->world.Cut(c.Word(1), c.Word(2));
    } else if (verb == "hold") {
      this->world.Hold(c.Word(1), c.Word(2));
    } else if (verb == "release") {
      this->world.Release(c.Word(1), c.Word(2));
    } else if (verb == "kill") {
      this->world.Kill(c.Word(1));
    } else if (verb == "restart") {
      this->world.Restart(c.Word(1));
    } else if (verb == "kill-entry") {
      this->world.KillEntry(c.Word(1));
    } else if (verb == "key") {
      this->keys[c.Word(1)] = this->world.IssueKey(c.Word(2), c.Word(1));
    } else if (verb == "request") {
      const std::string key = c.Option("key");
      this->world.Request(c.Word(1), c.Word(2), c.Word(3),
                          c.Option("body", c.Word(1)),
                          key.empty() ? "" : this->keys.at(key),
                          std::stoul(c.Option("deadline", "8000")));
    } else if (verb == "resume") {
      this->world.Resume(c.Word(1), c.Word(2), c.Word(3),
                         std::stoul(c.Option("offset", "0")),
                         c.Option("org", "org"));
    } else if (verb == "gone") {
      this->world.CallerGone(c.Word(1));
    } else if (verb == "head") {
      this->world.EngineHead(c.Word(1), c.Word(2), c.Has("sse"));
    } else if (verb == "data") {
      this->world.EngineData(c.Word(1), c.Word(2), c.Word(3));
    } else if (verb == "end") {
      this->world.EngineEnd(c.Word(1), c.Word(2));
    } else if (verb == "fail") {
      const bool sent = !c.Has("unsent");
      this->world.EngineFail(
          c.Word(1), c.Word(2), kernel::ErrorCode::kConnectionLost,
          sent ? http::SendState::kMaybeSent : http::SendState::kNotSent);
    } else if (verb == "probe") {
      this->world.Probe(c.Word(1), !c.Has("down"), c.Option("boot", "boot"));
    } else if (verb == "leave") {
      this->world.Leave(c.Word(1));
    } else if (verb == "lose-part") {
      this->LoseNext<link::Chunk>();
    } else if (verb == "lose-acknowledgement") {
      this->LoseNext<link::Consumed>();
    } else if (verb == "pass") {
      this->world.Pass(std::stol(c.Word(1)));
    } else {
      throw std::runtime_error("unknown command " + verb);
    }
  }

  template <typename Lost>
  void LoseNext() {
    this->world.network = [this](const std::string& /*link*/,
                                 const link::Message& message) {
      if (!std::holds_alternative<Lost>(message)) return std::vector{message};
      this->world.network = nullptr;
      return std::vector<link::Message>{};
    };
  }

  SessionWorld world;
  std::map<std::string, std::string> keys;
};

}  // namespace

std::string PlaySession(const std::string& session) {
  Player player;
  std::string played;
  std::istringstream lines(session);
  std::string line;
  while (std::getline(lines, line)) {
    const bool comment = kernel::StartsWith(line, "# ");
    const bool command = kernel::StartsWith(line, "> ");
    if (comment || command) played += line + "\n";
    if (command) played += player.Play(Command(line.substr(2)));
  }
  return played;
}

}  // namespace banyanlane::sessions
