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

/// What a caller has received in response to one request.
struct CallerRecord {
  std::string text;       ///< Body bytes received.
  bool final = false;     ///< Whether the response ended in any way.
  int final_count = 0;    ///< Number of ends; a correct run has at most one.
  bool complete = false;  ///< Whether the response ended normally.
  bool aborted = false;   ///< Whether the response was closed before its end.
  std::string outcome;    ///< Outcome of the problem or abort, or empty.
  std::string key;        ///< Idempotency key that was sent, or empty.
};

/// Deterministic simulation of a few entries and agents.
///
/// Runs the classes that make the decisions of entries and agents, without any
/// I/O. A test can delay, drop and replace the messages on a link, and close
/// it. Time advances only by AdvanceTime. The trace records every event.
///
/// A `stream` names one submitted attempt: the request's name, a dot and the
/// number of the attempt, such as "r1.1".
class Simulation {
 public:
  /// @param seed seed of the random choices of the request flows.
  explicit Simulation(std::uint64_t seed = 1);

  /// Adds a running agent whose endpoint is up.
  void AddAgent(const std::string& name, const std::string& service,
                const agent::AgentLimits& limits = {});
  void AddEntry(const std::string& name);
  /// Publishes a configuration to all agents and to later requests.
  /// @param text profiles in INI form; they must be valid.
  void Publish(const std::string& text, std::uint64_t revision);

  /// Opens a link, which replaces an open one between the same two nodes.
  void OpenLink(const std::string& entry, const std::string& agent);
  /// Closes a link; its undelivered messages are lost.
  void CloseLink(const std::string& entry, const std::string& agent);
  /// Delays all messages of the link until ReleaseMessages.
  void HoldMessages(const std::string& entry, const std::string& agent);
  /// Delivers the delayed messages of the link, and later ones at once.
  void ReleaseMessages(const std::string& entry, const std::string& agent);

  /// Ends the agent's process, which closes its links and ends its calls.
  void KillAgent(const std::string& agent);
  /// Starts a killed agent with a new incarnation and no state.
  void RestartAgent(const std::string& agent);
  /// Ends the entry's process, which closes its links.
  void KillEntry(const std::string& entry);

  /// Returns an idempotency key of `agent`, as an entry would issue it.
  std::string IssueKey(const std::string& agent, const std::string& nonce);
  /// Sends a caller's request to `entry`.
  /// @param name name of the request in the trace and in Caller.
  /// @param key idempotency key, or empty.
  /// @param deadline_ms time from now until the request's deadline.
  void SendRequest(const std::string& name, const std::string& entry,
                   const std::string& profile, const std::string& body,
                   const std::string& key, std::uint64_t deadline_ms);
  /// Sends a caller's request for the rest of a response to `entry`.
  /// @param name name of the new request in the trace and in Caller.
  /// @param response response to resume, in the form "agent/stream".
  /// @param offset number of body bytes that the caller already has.
  void ResumeResponse(const std::string& name, const std::string& entry,
                      const std::string& response, std::uint64_t offset,
                      const std::string& organisation);
  /// Closes the caller's connection.
  void DisconnectCaller(const std::string& request);

  /// Sends the response head of the call `stream` from the agent's endpoint.
  /// @param event_stream whether the response is streamed.
  void SendEngineHead(const std::string& agent, const std::string& stream,
                      bool event_stream);
  /// Sends the next body bytes of the call `stream`.
  void SendEngineData(const std::string& agent, const std::string& stream,
                      const std::string& data);
  /// Ends the response to the call `stream` normally.
  void EndEngineResponse(const std::string& agent, const std::string& stream);
  /// Fails the call `stream`.
  /// @param state with kNotSent, the call does not count as an execution.
  void FailEngineCall(const std::string& agent, const std::string& stream,
                      kernel::ErrorCode code, http::SendState state);
  /// Reports the result of a health check to `agent`.
  /// @param boot boot id that the endpoint returned.
  void ReportProbe(const std::string& agent, bool up, const std::string& boot);
  /// Makes `agent` refuse new work and finish the work that is running.
  void SetAgentLeaving(const std::string& agent);

  /// Advances the simulated time and runs the timers that are due.
  void AdvanceTime(std::int64_t millis);

  /// Returns the streams that have an open call on `agent`.
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
  /// Returns the number of calls to endpoints by request name. Calls that
  /// failed with kNotSent are not counted.
  const std::map<std::string, int>& ExecutionsByRequest() const {
    return this->executions_by_request;
  }
  /// Returns the number of calls to endpoints by idempotency key. Calls that
  /// failed with kNotSent are not counted.
  const std::map<std::string, int>& ExecutionsByKey() const {
    return this->executions_by_key;
  }

  std::string trace;  ///< One line for each event.
  /// Function that returns the messages to deliver instead of the one sent. If
  /// it is empty, every message is delivered unchanged.
  ///
  /// `link` is the name of the entry, that of the agent, and ">" for a message
  /// to the agent or "<" for one to the entry, such as "e1a1>".
  std::function<std::vector<link::Message>(const std::string& link,
                                           const link::Message&)>
      message_interceptor;

 private:
  /// Undelivered messages of one open link.
  struct LinkQueues {
    std::uint64_t number = 0;  ///< Identifies the link to entry and agent.
    bool held = false;         ///< Whether delivery is suspended.
    std::deque<link::Message> to_agent;
    std::deque<link::Message> to_entry;
  };
  struct AgentNode {
    std::string service;
    agent::AgentLimits limits;
    std::uint64_t incarnation = 0;
    std::unique_ptr<agent::AgentCore> core;
    /// Idempotency key of each open call, by stream.
    std::map<std::string, std::string> calls;
    /// Idempotency key of each submit received, by stream.
    std::map<std::string, std::string> keys;
  };
  struct EntryNode {
    std::unique_ptr<entry::EndpointTable> table;
    std::unique_ptr<entry::RetryBudget> budget;
    std::unique_ptr<evidence::CrashEvidence> evidence;
    std::map<std::string, std::unique_ptr<entry::RequestFlow>> flows;
  };
  /// Names of entry and agent.
  using LinkKey = std::pair<std::string, std::string>;

  void StartCore(const std::string& name);
  entry::RequestFlow& AddFlow(const std::string& name, const std::string& entry,
                              entry::CallerRequest request);
  void Perform(const std::string& agent, agent::AgentActions actions);
  void Perform(const std::string& entry, const std::string& request,
               entry::FlowActions actions);
  /// Delivers messages until no link that is not held has any left.
  void DeliverAll();
  void Deliver(const LinkKey& key, link::Message message, bool to_agent);
  void DeliverToEntry(const LinkKey& key, link::Message message);
  void DeliverToAgent(const LinkKey& key, link::Message message);
  /// Returns the open link with this number and sets `key` to its key. Returns
  /// null if there is no such link.
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

/// Returns a one-line description of `message` for the trace.
std::string Describe(const link::Message& message);

}  // namespace banyanlane::sessions
