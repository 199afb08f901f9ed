#include "sessions/session_script.h"

#include <map>
#include <sstream>
#include <stdexcept>

#include "kernel/text.h"
#include "sessions/simulation.h"

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

/// Words of one command, which are positional arguments and options of the form
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

/// Runs the commands of one session on a simulation of its own.
class ScriptPlayer {
 public:
  /// @return the trace of the events that the command caused.
  std::string Play(const Command& command) {
    this->simulation.trace.clear();
    this->Run(command);
    return this->simulation.trace;
  }

 private:
  void Run(const Command& command) {
    const std::string& verb = command.Word(0);
    if (verb == "agent") {
      agent::AgentLimits limits;
      limits.admission.slots = std::stoul(command.Option("slots", "8"));
      limits.admission.max_queued = std::stoul(command.Option("queue", "4"));
      this->simulation.AddAgent(command.Word(1), command.Word(2), limits);
      this->simulation.Publish(kProfiles, 1);
    } else if (verb == "entry") {
      this->simulation.AddEntry(command.Word(1));
    } else if (verb == "link") {
      this->simulation.OpenLink(command.Word(1), command.Word(2));
    } else if (verb == "cut") {
      this->simulation.CloseLink(command.Word(1), command.Word(2));
    } else if (verb == "hold") {
      this->simulation.HoldMessages(command.Word(1), command.Word(2));
    } else if (verb == "release") {
      this->simulation.ReleaseMessages(command.Word(1), command.Word(2));
    } else if (verb == "kill") {
      this->simulation.KillAgent(command.Word(1));
    } else if (verb == "restart") {
      this->simulation.RestartAgent(command.Word(1));
    } else if (verb == "kill-entry") {
      this->simulation.KillEntry(command.Word(1));
    } else if (verb == "key") {
      this->keys[command.Word(1)] =
          this->simulation.IssueKey(command.Word(2), command.Word(1));
    } else if (verb == "request") {
      const std::string key = command.Option("key");
      this->simulation.SendRequest(
          command.Word(1), command.Word(2), command.Word(3),
          command.Option("body", command.Word(1)),
          key.empty() ? "" : this->keys.at(key),
          std::stoul(command.Option("deadline", "8000")));
    } else if (verb == "resume") {
      this->simulation.ResumeResponse(command.Word(1), command.Word(2),
                                      command.Word(3),
                                      std::stoul(command.Option("offset", "0")),
                                      command.Option("org", "org"));
    } else if (verb == "gone") {
      this->simulation.DisconnectCaller(command.Word(1));
    } else if (verb == "head") {
      this->simulation.SendEngineHead(command.Word(1), command.Word(2),
                                      command.Has("sse"));
    } else if (verb == "data") {
      this->simulation.SendEngineData(command.Word(1), command.Word(2),
                                      command.Word(3));
    } else if (verb == "end") {
      this->simulation.EndEngineResponse(command.Word(1), command.Word(2));
    } else if (verb == "fail") {
      const bool sent = !command.Has("unsent");
      this->simulation.FailEngineCall(
          command.Word(1), command.Word(2), kernel::ErrorCode::kConnectionLost,
          sent ? http::SendState::kMaybeSent : http::SendState::kNotSent);
    } else if (verb == "probe") {
      this->simulation.ReportProbe(command.Word(1), !command.Has("down"),
                                   command.Option("boot", "boot"));
    } else if (verb == "leave") {
      this->simulation.SetAgentLeaving(command.Word(1));
    } else if (verb == "lose-part") {
      this->DropNext<link::Chunk>();
    } else if (verb == "lose-acknowledgement") {
      this->DropNext<link::Consumed>();
    } else if (verb == "pass") {
      this->simulation.AdvanceTime(std::stol(command.Word(1)));
    } else {
      throw std::runtime_error("unknown session command: " + verb);
    }
  }

  /// Drops the next message of this type on any link.
  template <typename MessageType>
  void DropNext() {
    this->simulation.message_interceptor =
        [this](const std::string& /*link*/, const link::Message& message) {
          if (!std::holds_alternative<MessageType>(message))
            return std::vector{message};
          this->simulation.message_interceptor = nullptr;
          return std::vector<link::Message>{};
        };
  }

  Simulation simulation;
  std::map<std::string, std::string> keys;
};

}  // namespace

std::string PlaySession(const std::string& session) {
  ScriptPlayer player;
  std::string transcript;
  std::istringstream lines(session);
  std::string line;
  while (std::getline(lines, line)) {
    const bool comment = kernel::StartsWith(line, "# ");
    const bool command = kernel::StartsWith(line, "> ");
    if (comment || command) transcript += line + "\n";
    if (command) transcript += player.Play(Command(line.substr(2)));
  }
  return transcript;
}

}  // namespace banyanlane::sessions
