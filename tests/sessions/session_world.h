#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "agent/internal/agent_core.h"
#include "entry/internal/endpoint_table.h"
#include "entry/internal/request_flow.h"

namespace banyanlane::sessions {

/// What one caller was told.
struct CallerView {
  std::string text;  ///< Answer bytes received.
  bool final = false;
  int finals = 0;
  bool whole = false;
  bool cut = false;
  std::string outcome;  ///< Of the problem, if it was one.
  std::string key;
};

/// The decision classes of a few entries and agents, joined by links that a
/// test can hold, cut and lose. Time passes only when told to. Every event is
/// written to a trace.
class SessionWorld {
 public:
  explicit SessionWorld(std::uint64_t seed = 1);

  void AddAgent(const std::string& name, const std::string& service,
                const agent::AgentLimits& limits = {});
  void AddEntry(const std::string& name);
  void Publish(const std::string& text, std::uint64_t revision);

  void Link(const std::string& entry, const std::string& agent);
  void Cut(const std::string& entry, const std::string& agent);
  /// Frames of the link wait from now on; Release delivers them.
  void Hold(const std::string& entry, const std::string& agent);
  void Release(const std::string& entry, const std::string& agent);

  /// Ends the agent's process; its links are cut and its calls end.
  void Kill(const std::string& agent);
  /// Starts it anew with another incarnation and an empty memory.
  void Restart(const std::string& agent);
  void KillEntry(const std::string& entry);

  /// Returns a key as `entry` would issue it.
  std::string IssueKey(const std::string& agent, const std::string& nonce);
  void Request(const std::string& name, const std::string& entry,
               const std::string& profile, const std::string& body,
               const std::string& key, std::uint64_t deadline_ms);
  void Resume(const std::string& name, const std::string& entry,
              const std::string& answer, std::uint64_t offset,
              const std::string& organisation);
  void CallerGone(const std::string& request);

  void EngineHead(const std::string& agent, const std::string& stream,
                  bool event_stream);
  void EngineData(const std::string& agent, const std::string& stream,
                  const std::string& data);
  void EngineEnd(const std::string& agent, const std::string& stream);
  void EngineFail(const std::string& agent, const std::string& stream,
                  kernel::ErrorCode code, http::SendState state);
  void Probe(const std::string& agent, bool up, const std::string& boot);
  void Leave(const std::string& agent);

  /// Lets time pass: timers that are due fire.
  void Pass(std::int64_t millis);

  /// Streams whose call is open on `agent`.
  std::set<std::string> OpenCalls(const std::string& agent) const;
  const CallerView& Caller(const std::string& request) {
    return this->callers[request];
  }
  const std::map<std::string, CallerView>& Callers() const {
    return this->callers;
  }
  const agent::AgentCore& Core(const std::string& agent) {
    return *this->agents.at(agent).core;
  }
  /// Calls begun, by the request's name, and by key.
  const std::map<std::string, int>& ExecutionsByRequest() const {
    return this->by_request;
  }
  const std::map<std::string, int>& ExecutionsByKey() const {
    return this->by_key;
  }

  std::string trace;
  /// Returns what arrives in place of a message: nothing, the message, or
  /// others besides.
  std::function<std::vector<link::Message>(const std::string& link,
                                           const link::Message&)>
      network;

 private:
  struct Wire {
    std::uint64_t number = 0;
    bool held = false;
    std::deque<link::Message> to_agent;
    std::deque<link::Message> to_entry;
  };
  struct AgentNode {
    std::string service;
    agent::AgentLimits limits;
    std::uint64_t incarnation = 0;
    std::unique_ptr<agent::AgentCore> core;
    std::map<std::string, std::string> calls;  ///< Open calls and their keys.
    std::map<std::string, std::string> keys;   ///< Key of each submit seen.
  };
  struct EntryNode {
    std::unique_ptr<entry::EndpointTable> table;
    std::unique_ptr<entry::RetryBudget> budget;
    std::unique_ptr<evidence::CrashEvidence> evidence;
    std::map<std::string, std::unique_ptr<entry::RequestFlow>> flows;
  };
  using WireKey = std::pair<std::string, std::string>;

  void StartCore(const std::string& name);
  entry::RequestFlow& AddFlow(const std::string& name, const std::string& entry,
                              entry::CallerRequest request);
  void Perform(const std::string& agent, agent::AgentActions actions);
  void Perform(const std::string& entry, const std::string& request,
               entry::FlowActions actions);
  void DeliverAll();
  void Deliver(const WireKey& key, link::Message message, bool to_agent);
  void ToEntry(const WireKey& key, link::Message message);
  void ToAgent(const WireKey& key, link::Message message);
  Wire* FindWire(std::uint64_t number, WireKey& key);
  void Write(const std::string& line) { this->trace += line + "\n"; }

  kernel::TimePoint now;
  std::uint64_t seed;
  std::uint64_t last_wire = 0;
  std::uint64_t last_incarnation = 100;
  config::ConfigPtr config;
  std::map<std::string, AgentNode> agents;
  std::map<std::string, EntryNode> entries;
  std::map<WireKey, Wire> wires;
  std::map<std::string, CallerView> callers;
  std::map<std::string, int> by_request;
  std::map<std::string, int> by_key;
};

/// Returns one line about `message`.
std::string Describe(const link::Message& message);

}  // namespace banyanlane::sessions
