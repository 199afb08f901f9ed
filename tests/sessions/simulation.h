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

/// Responses that one caller has received.
struct CallerRecord {
  std::string text;  ///< Answer bytes received.
  bool final = false;
  int final_count = 0;
  bool complete = false;
  bool aborted = false;
  std::string outcome;  ///< Of the problem, if it was one.
  std::string key;
};

/// The decision classes of a few entries and agents, joined by links that a
/// test can hold, cut and lose. Time passes only when told to. Every event is
/// written to a trace.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed = 1);

  void AddAgent(const std::string& name, const std::string& service,
                const agent::AgentLimits& limits = {});
  void AddEntry(const std::string& name);
  void Publish(const std::string& text, std::uint64_t revision);

  void OpenLink(const std::string& entry, const std::string& agent);
  void CloseLink(const std::string& entry, const std::string& agent);
  /// Frames of the link wait from now on; ReleaseMessages delivers them.
  void HoldMessages(const std::string& entry, const std::string& agent);
  void ReleaseMessages(const std::string& entry, const std::string& agent);

  /// Ends the agent's process; its links are cut and its calls end.
  void KillAgent(const std::string& agent);
  /// Starts it anew with another incarnation and an empty memory.
  void RestartAgent(const std::string& agent);
  void KillEntry(const std::string& entry);

  /// Returns a key as `entry` would issue it.
  std::string IssueKey(const std::string& agent, const std::string& nonce);
  void SendRequest(const std::string& name, const std::string& entry,
                   const std::string& profile, const std::string& body,
                   const std::string& key, std::uint64_t deadline_ms);
  void ResumeResponse(const std::string& name, const std::string& entry,
                      const std::string& response, std::uint64_t offset,
                      const std::string& organisation);
  void DisconnectCaller(const std::string& request);

  void SendEngineHead(const std::string& agent, const std::string& stream,
                      bool event_stream);
  void SendEngineData(const std::string& agent, const std::string& stream,
                      const std::string& data);
  void EndEngineResponse(const std::string& agent, const std::string& stream);
  void FailEngineCall(const std::string& agent, const std::string& stream,
                      kernel::ErrorCode code, http::SendState state);
  void ReportProbe(const std::string& agent, bool up, const std::string& boot);
  void SetAgentLeaving(const std::string& agent);

  /// Lets time pass: timers that are due fire.
  void AdvanceTime(std::int64_t millis);

  /// Streams whose call is open on `agent`.
  std::set<std::string> OpenCalls(const std::string& agent) const;
  const CallerRecord& Caller(const std::string& request) {
    return this->callers[request];
  }
  const std::map<std::string, CallerRecord>& Callers() const {
    return this->callers;
  }
  const agent::AgentCore& CoreOf(const std::string& agent) {
    return *this->agents.at(agent).core;
  }
  /// Calls begun, by the request's name, and by key.
  const std::map<std::string, int>& ExecutionsByRequest() const {
    return this->executions_by_request;
  }
  const std::map<std::string, int>& ExecutionsByKey() const {
    return this->executions_by_key;
  }

  std::string trace;
  /// Returns what arrives in place of a message: nothing, the message, or
  /// others besides.
  std::function<std::vector<link::Message>(const std::string& link,
                                           const link::Message&)>
      message_interceptor;

 private:
  struct LinkQueues {
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
  using LinkKey = std::pair<std::string, std::string>;

  void StartCore(const std::string& name);
  entry::RequestFlow& AddFlow(const std::string& name, const std::string& entry,
                              entry::CallerRequest request);
  void Perform(const std::string& agent, agent::AgentActions actions);
  void Perform(const std::string& entry, const std::string& request,
               entry::FlowActions actions);
  void DeliverAll();
  void Deliver(const LinkKey& key, link::Message message, bool to_agent);
  void DeliverToEntry(const LinkKey& key, link::Message message);
  void DeliverToAgent(const LinkKey& key, link::Message message);
  LinkQueues* FindLink(std::uint64_t number, LinkKey& key);
  void WriteTrace(const std::string& line) { this->trace += line + "\n"; }

  kernel::TimePoint now;
  std::uint64_t seed;
  std::uint64_t last_link_number = 0;
  std::uint64_t last_incarnation = 100;
  config::ConfigPtr config;
  std::map<std::string, AgentNode> agents;
  std::map<std::string, EntryNode> entries;
  std::map<LinkKey, LinkQueues> links;
  std::map<std::string, CallerRecord> callers;
  std::map<std::string, int> executions_by_request;
  std::map<std::string, int> executions_by_key;
};

/// Returns one line about `message`.
std::string Describe(const link::Message& message);

}  // namespace banyanlane::sessions
