#include "sessions/simulation.h"

#include <fmt/format.h>

#include "config/i_config.h"

namespace banyanlane::sessions {
namespace {

struct Describer {
  std::string operator()(const link::Submit& m) const {
    return fmt::format("Submit {} #{} {} p{} start_by={}{}", m.request,
                       m.attempt, m.profile, m.priority, m.start_by_ms,
                       m.key.empty() ? "" : " key=" + m.key);
  }
  std::string operator()(const link::Started& m) const {
    return fmt::format("Started {} #{}", m.request, m.attempt);
  }
  std::string operator()(const link::Head& m) const {
    return fmt::format("Head {} #{} inc={} {}", m.request, m.attempt,
                       m.incarnation, m.status);
  }
  std::string operator()(const link::Chunk& m) const {
    return fmt::format("Chunk {} #{} @{} '{}'", m.request, m.attempt, m.offset,
                       m.data.bytes);
  }
  std::string operator()(const link::Ended& m) const {
    return fmt::format("Ended {} #{} {} {} length={}", m.request, m.attempt,
                       link::OutcomeName(m.outcome), link::ReasonName(m.reason),
                       m.length);
  }
  std::string operator()(const link::Revoke& m) const {
    return fmt::format("Revoke {} #{}", m.request, m.attempt);
  }
  std::string operator()(const link::Cancel& m) const {
    return fmt::format("Cancel {} #{}{}", m.request, m.attempt,
                       m.immediate ? " at once" : "");
  }
  std::string operator()(const link::Resume& m) const {
    return fmt::format("Resume {} #{} @{} {}", m.request, m.attempt, m.offset,
                       m.organisation);
  }
  std::string operator()(const link::Consumed& m) const {
    return fmt::format("Consumed {} #{} @{}", m.request, m.attempt, m.offset);
  }
  std::string operator()(const link::Evidence& m) const {
    return fmt::format("Evidence {} {} crashes={}", m.fingerprint.substr(0, 6),
                       link::SuspicionName(m.suspicion), m.crashes.size());
  }
  std::string operator()(const link::Heartbeat& m) const {
    return fmt::format("Heartbeat leaving={} running={}", m.leaving, m.running);
  }
  template <typename Other>
  std::string operator()(const Other& /*message*/) const {
    return "other";
  }
};

}  // namespace

std::string Describe(const link::Message& message) {
  return std::visit(Describer{}, message);
}

Simulation::Simulation(std::uint64_t seed)
    : now(kernel::TimePoint{} + kernel::Millis(1'000'000)), seed(seed) {}

void Simulation::AddAgent(const std::string& name, const std::string& service,
                          const agent::AgentLimits& limits) {
  this->agents[name].service = service;
  this->agents[name].limits = limits;
  this->StartCore(name);
}

void Simulation::StartCore(const std::string& name) {
  AgentNode& node = this->agents.at(name);
  node.incarnation = ++this->last_incarnation;
  const agent::AgentIdentity identity{name, node.incarnation, this->now,
                                      node.service};
  node.core = std::make_unique<agent::AgentCore>(identity, node.limits,
                                                 agent::MakeFullCharge());
  node.core->OnConfig(this->config);
  this->Perform(name, node.core->OnProbe(true, "boot", this->now));
}

void Simulation::AddEntry(const std::string& name) {
  EntryNode& node = this->entries[name];
  node.table =
      std::make_unique<entry::EndpointTable>(entry::MakeAffinityRoute(1.25));
  node.budget = std::make_unique<entry::RetryBudget>();
  node.evidence =
      std::make_unique<evidence::CrashEvidence>(kernel::Millis(600'000));
}

void Simulation::Publish(const std::string& text, std::uint64_t revision) {
  auto parsed = config::ParseConfig(text, "session");
  auto snapshot = std::make_shared<config::ConfigSnapshot>(
      std::get<config::ConfigSnapshot>(parsed));
  snapshot->revision = revision;
  this->config = snapshot;
  for (auto& [name, node] : this->agents) node.core->OnConfig(this->config);
}

void Simulation::OpenLink(const std::string& entry, const std::string& agent) {
  LinkQueues queues;
  queues.number = ++this->last_link_number;
  this->links[{entry, agent}] = queues;
  const AgentNode& node = this->agents.at(agent);
  link::Hello hello;
  hello.node = agent;
  hello.incarnation = node.incarnation;
  hello.service = node.service;
  hello.revision = 1;
  hello.clock_ms = node.core->ClockMillis(this->now);
  hello.leaving = node.core->IsLeaving();
  this->WriteTrace(fmt::format("link {} {} up", entry, agent));
  EntryNode& entry_node = this->entries.at(entry);
  entry_node.table->OnLinkUp(queues.number, hello, this->now);
  this->Perform(agent, node.core->OnLinkUp(queues.number, this->now));
  for (auto& [name, flow] : entry_node.flows) {
    this->Perform(entry, name, flow->OnLinkUp(agent, this->now));
  }
  this->DeliverAll();
}

void Simulation::CloseLink(const std::string& entry, const std::string& agent) {
  const auto found = this->links.find({entry, agent});
  if (found == this->links.end()) return;
  const std::uint64_t number = found->second.number;
  this->links.erase(found);
  this->WriteTrace(fmt::format("link {} {} down", entry, agent));
  const auto entry_node = this->entries.find(entry);
  if (entry_node != this->entries.end()) {
    entry_node->second.table->OnLinkDown(number, agent);
    for (auto& [name, flow] : entry_node->second.flows) {
      this->Perform(entry, name, flow->OnLinkDown(number, this->now));
    }
  }
  AgentNode& node = this->agents.at(agent);
  if (node.core) this->Perform(agent, node.core->OnLinkDown(number, this->now));
  this->DeliverAll();
}

void Simulation::HoldMessages(const std::string& entry,
                              const std::string& agent) {
  const auto found = this->links.find({entry, agent});
  if (found != this->links.end()) found->second.held = true;
}

void Simulation::ReleaseMessages(const std::string& entry,
                                 const std::string& agent) {
  const auto found = this->links.find({entry, agent});
  if (found == this->links.end()) return;
  found->second.held = false;
  this->DeliverAll();
}

void Simulation::KillAgent(const std::string& agent) {
  AgentNode& node = this->agents.at(agent);
  this->WriteTrace("kill " + agent);
  node.core.reset();
  node.calls.clear();
  std::vector<std::string> linked_names;
  for (const auto& [key, queues] : this->links) {
    if (key.second == agent) linked_names.push_back(key.first);
  }
  for (const std::string& entry : linked_names) this->CloseLink(entry, agent);
}

void Simulation::RestartAgent(const std::string& agent) {
  this->StartCore(agent);
}

void Simulation::KillEntry(const std::string& entry) {
  this->WriteTrace("kill " + entry);
  this->entries.erase(entry);
  std::vector<std::string> linked_names;
  for (const auto& [key, queues] : this->links) {
    if (key.first == entry) linked_names.push_back(key.second);
  }
  for (const std::string& agent : linked_names) this->CloseLink(entry, agent);
}

std::string Simulation::IssueKey(const std::string& agent,
                                 const std::string& nonce) {
  const AgentNode& node = this->agents.at(agent);
  const std::uint64_t clock = node.core ? node.core->ClockMillis(this->now) : 0;
  return agent::IdempotencyKey{agent, node.incarnation, clock, nonce}.Format();
}

entry::RequestFlow& Simulation::AddFlow(const std::string& name,
                                        const std::string& entry,
                                        entry::CallerRequest request) {
  EntryNode& node = this->entries.at(entry);
  const entry::FlowContext context{
      *node.table, *node.budget, *node.evidence, {}};
  auto flow = std::make_unique<entry::RequestFlow>(
      context, name, std::move(request), this->seed);
  return *(node.flows[name] = std::move(flow));
}

void Simulation::SendRequest(const std::string& name, const std::string& entry,
                             const std::string& profile,
                             const std::string& body, const std::string& key,
                             std::uint64_t deadline_ms) {
  entry::CallerRequest request;
  request.config = this->config;
  request.profile = this->config->FindProfile(profile);
  request.organisation = "org";
  request.deadline_ms = deadline_ms;
  request.reserved_tokens = 100;
  request.key = key;
  request.fingerprint = kernel::Digest(profile + body);
  request.affinity = body;
  request.method = "POST";
  request.target = "/";
  request.body = body;
  this->callers[name].key = key;
  this->WriteTrace(fmt::format("request {} at {}", name, entry));
  entry::RequestFlow& flow = this->AddFlow(name, entry, std::move(request));
  this->Perform(entry, name, flow.Start(this->now));
  this->DeliverAll();
}

void Simulation::ResumeResponse(const std::string& name,
                                const std::string& entry,
                                const std::string& response,
                                std::uint64_t offset,
                                const std::string& organisation) {
  entry::CallerRequest request;
  request.config = this->config;
  request.profile = &this->config->profiles.begin()->second;
  request.organisation = organisation;
  request.deadline_ms = 10'000;
  this->WriteTrace(fmt::format("resume {} at {} from {}", name, entry, offset));
  // The script names a response as agent/stream. The agent's current
  // incarnation completes the response id.
  const std::size_t slash = response.find('/');
  const std::string agent = response.substr(0, slash);
  const entry::ResponseId parsed{agent, this->agents.at(agent).incarnation,
                                 response.substr(slash + 1)};
  entry::RequestFlow& flow = this->AddFlow(name, entry, std::move(request));
  this->Perform(entry, name, flow.StartResumed(parsed, offset, this->now));
  this->DeliverAll();
}

void Simulation::DisconnectCaller(const std::string& request) {
  for (auto& [entry, node] : this->entries) {
    const auto flow = node.flows.find(request);
    if (flow == node.flows.end()) continue;
    this->Perform(entry, request,
                  flow->second->OnCallerDisconnected(this->now));
  }
  this->DeliverAll();
}

void Simulation::SendEngineHead(const std::string& agent,
                                const std::string& stream, bool event_stream) {
  const http::Headers headers = {{"content-type", event_stream
                                                      ? "text/event-stream"
                                                      : "application/json"}};
  this->Perform(agent, this->agents.at(agent).core->OnCallHead(
                           stream, 200, headers, this->now));
  this->DeliverAll();
}

void Simulation::SendEngineData(const std::string& agent,
                                const std::string& stream,
                                const std::string& data) {
  this->Perform(
      agent, this->agents.at(agent).core->OnCallData(stream, data, this->now));
  this->DeliverAll();
}

void Simulation::EndEngineResponse(const std::string& agent,
                                   const std::string& stream) {
  AgentNode& node = this->agents.at(agent);
  node.calls.erase(stream);
  this->Perform(agent, node.core->OnCallEnd(stream, this->now));
  this->DeliverAll();
}

void Simulation::FailEngineCall(const std::string& agent,
                                const std::string& stream,
                                kernel::ErrorCode code, http::SendState state) {
  AgentNode& node = this->agents.at(agent);
  if (state == http::SendState::kNotSent) {
    // The request never reached the endpoint, so it does not count as executed.
    --this->executions_by_request[entry::RequestFlow::FlowIdOf(stream)];
    if (!node.calls[stream].empty())
      --this->executions_by_key[node.calls[stream]];
  }
  node.calls.erase(stream);
  const kernel::Error error{code, "read_body", "engine", ""};
  this->Perform(agent,
                node.core->OnCallFailed(stream, error, state, this->now));
  this->DeliverAll();
}

void Simulation::ReportProbe(const std::string& agent, bool up,
                             const std::string& boot) {
  this->Perform(agent,
                this->agents.at(agent).core->OnProbe(up, boot, this->now));
  this->DeliverAll();
}

void Simulation::SetAgentLeaving(const std::string& agent) {
  this->Perform(agent, this->agents.at(agent).core->OnLeaving("stop requested",
                                                              this->now));
  this->DeliverAll();
}

void Simulation::AdvanceTime(std::int64_t millis) {
  this->now += kernel::Millis(millis);
  this->WriteTrace(fmt::format("time +{}", millis));
  for (auto& [name, node] : this->agents) {
    if (node.core) this->Perform(name, node.core->OnTick(this->now));
  }
  for (auto& [entry, node] : this->entries) {
    for (auto& [name, flow] : node.flows) {
      if (flow->IsDone() || flow->NextTimer() > this->now) continue;
      this->Perform(entry, name, flow->OnTimer(this->now));
    }
  }
  this->DeliverAll();
}

std::set<std::string> Simulation::OpenCalls(const std::string& agent) const {
  std::set<std::string> open;
  for (const auto& [stream, key] : this->agents.at(agent).calls)
    open.insert(stream);
  return open;
}

Simulation::LinkQueues* Simulation::FindLink(std::uint64_t number,
                                             LinkKey& key) {
  for (auto& [link_key, queues] : this->links) {
    if (queues.number != number) continue;
    key = link_key;
    return &queues;
  }
  return nullptr;
}

void Simulation::Perform(const std::string& agent,
                         agent::AgentActions actions) {
  AgentNode& node = this->agents.at(agent);
  for (agent::AgentAction& action : actions) {
    if (auto* send = std::get_if<agent::SendMessage>(&action)) {
      LinkKey key;
      LinkQueues* queues = this->FindLink(send->link, key);
      if (queues != nullptr)
        queues->to_entry.push_back(std::move(send->message));
    }
    if (auto* broadcast = std::get_if<agent::Broadcast>(&action)) {
      for (auto& [key, queues] : this->links) {
        if (key.second == agent) queues.to_entry.push_back(broadcast->message);
      }
    }
    if (auto* call = std::get_if<agent::StartCall>(&action)) {
      this->WriteTrace(fmt::format("{}: call {} starts", agent, call->stream));
      const std::string key = node.keys[call->stream];
      node.calls[call->stream] = key;
      ++this->executions_by_request[entry::RequestFlow::FlowIdOf(call->stream)];
      if (!key.empty()) ++this->executions_by_key[key];
    }
    if (auto* call = std::get_if<agent::AbortCall>(&action)) {
      this->WriteTrace(fmt::format("{}: call {} aborts", agent, call->stream));
      node.calls.erase(call->stream);
    }
    if (auto* call = std::get_if<agent::PauseCall>(&action)) {
      this->WriteTrace(fmt::format("{}: call {} pauses", agent, call->stream));
    }
    if (auto* call = std::get_if<agent::ResumeCall>(&action)) {
      this->WriteTrace(fmt::format("{}: call {} resumes", agent, call->stream));
    }
    if (std::holds_alternative<agent::ProbeEndpoint>(action))
      this->WriteTrace(agent + ": probe");
    if (auto* report = std::get_if<agent::WriteLogEvent>(&action)) {
      this->WriteTrace(
          fmt::format("{}: BL{:04}", agent, static_cast<int>(report->event)));
    }
  }
}

void Simulation::Perform(const std::string& entry, const std::string& request,
                         entry::FlowActions actions) {
  CallerRecord& caller = this->callers[request];
  for (entry::FlowAction& action : actions) {
    if (auto* send = std::get_if<entry::SendToAgent>(&action)) {
      LinkKey key;
      LinkQueues* queues = this->FindLink(send->link, key);
      if (queues != nullptr)
        queues->to_agent.push_back(std::move(send->message));
    }
    std::string trace_text;
    bool final = false;
    if (auto* complete = std::get_if<entry::DeliverResponse>(&action)) {
      caller.text += complete->response.body;
      trace_text = fmt::format("whole {} '{}'", complete->response.status,
                               complete->response.body);
      final = caller.complete = true;
    }
    if (auto* part = std::get_if<entry::DeliverData>(&action)) {
      caller.text += part->data;
      trace_text = fmt::format("part '{}'", part->data);
      const auto flow = this->entries.at(entry).flows.find(request);
      this->Perform(
          entry, request,
          flow->second->OnCallerConsumed(part->end_offset, this->now));
    }
    if (std::holds_alternative<entry::DeliverHead>(action)) trace_text = "head";
    if (std::holds_alternative<entry::DeliverEnd>(action)) {
      trace_text = "end";
      final = caller.complete = true;
    }
    if (auto* aborted = std::get_if<entry::DeliverAbort>(&action)) {
      caller.outcome = link::OutcomeName(aborted->problem.outcome);
      trace_text =
          fmt::format("cut {} {}", caller.outcome, aborted->problem.reason);
      final = caller.aborted = true;
    }
    if (auto* problem = std::get_if<entry::DeliverProblem>(&action)) {
      caller.outcome = link::OutcomeName(problem->problem.outcome);
      trace_text = fmt::format("problem {} {} {} at {}{}",
                               problem->problem.status, caller.outcome,
                               problem->problem.reason, problem->problem.step,
                               problem->problem.retry_after_ms ? " retry" : "");
      final = true;
    }
    if (!trace_text.empty())
      this->WriteTrace(fmt::format("  caller of {}: {}", request, trace_text));
    caller.final = caller.final || final;
    caller.final_count += final ? 1 : 0;
  }
}

void Simulation::DeliverAll() {
  bool delivered_any = true;
  while (delivered_any) {
    delivered_any = false;
    std::vector<LinkKey> keys;
    for (const auto& [key, queues] : this->links) keys.push_back(key);
    for (const LinkKey& key : keys) {
      const auto found = this->links.find(key);
      if (found == this->links.end() || found->second.held) continue;
      LinkQueues& queues = found->second;
      if (!queues.to_agent.empty()) {
        link::Message message = std::move(queues.to_agent.front());
        queues.to_agent.pop_front();
        this->Deliver(key, std::move(message), true);
        delivered_any = true;
      } else if (!queues.to_entry.empty()) {
        link::Message message = std::move(queues.to_entry.front());
        queues.to_entry.pop_front();
        this->Deliver(key, std::move(message), false);
        delivered_any = true;
      }
    }
  }
}

void Simulation::Deliver(const LinkKey& key, link::Message message,
                         bool to_agent) {
  std::vector<link::Message> delivered = {message};
  // This is a copy, because the interceptor can replace itself during its call.
  const auto interceptor = this->message_interceptor;
  if (interceptor)
    delivered =
        interceptor(key.first + key.second + (to_agent ? ">" : "<"), message);
  for (link::Message& arrived : delivered) {
    // Processing one message can close the link, which loses the next ones.
    if (this->links.count(key) == 0) return;
    if (to_agent)
      this->DeliverToAgent(key, std::move(arrived));
    else
      this->DeliverToEntry(key, std::move(arrived));
  }
}

void Simulation::DeliverToAgent(const LinkKey& key, link::Message message) {
  this->WriteTrace(
      fmt::format("{} > {}: {}", key.first, key.second, Describe(message)));
  AgentNode& node = this->agents.at(key.second);
  if (const auto* submit = std::get_if<link::Submit>(&message)) {
    node.keys[submit->request] = submit->key;
  }
  const std::uint64_t number = this->links.at(key).number;
  this->Perform(key.second,
                node.core->OnMessage(number, std::move(message), this->now));
}

void Simulation::DeliverToEntry(const LinkKey& key, link::Message message) {
  this->WriteTrace(
      fmt::format("{} < {}: {}", key.first, key.second, Describe(message)));
  const auto found = this->entries.find(key.first);
  if (found == this->entries.end()) return;
  EntryNode& node = found->second;
  const std::uint64_t number = this->links.at(key).number;
  if (const auto* heartbeat = std::get_if<link::Heartbeat>(&message)) {
    node.table->OnHeartbeat(number, key.second, *heartbeat, this->now);
    return;
  }
  if (const auto* evidence = std::get_if<link::Evidence>(&message)) {
    if (!node.evidence->Merge(*evidence, this->now)) return;
    for (auto& [other, queues] : this->links) {
      if (other.first == key.first && other != key)
        queues.to_agent.push_back(*evidence);
    }
    return;
  }
  for (auto& [name, flow] : node.flows) {
    this->Perform(key.first, name, flow->OnMessage(number, message, this->now));
  }
}

}  // namespace banyanlane::sessions
