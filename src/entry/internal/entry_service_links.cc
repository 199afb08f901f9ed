// Methods of EntryService for link events, timers and instance lists. Those for
// callers' requests are in entry_service.cc.
#include <set>

#include "entry/internal/entry_service.h"

namespace banyanlane::entry {

void EntryService::OnLinkUp(const link::LinkPtr& link, kernel::TimePoint now) {
  const std::uint64_t revision = link->peer().revision;
  std::uint64_t newest = this->newest_peer_revision;
  while (revision > newest &&
         !this->newest_peer_revision.compare_exchange_weak(newest, revision)) {
  }
  this->peer_connected = true;
  this->links.Set(link->id(), link);
  this->endpoint_table.OnLinkUp(link->id(), link->peer(), now);
  for (link::Evidence& evidence : this->crash_evidence.All(now))
    link->Send(evidence);
  const std::string node = link->peer().node;
  for (const RunnerPtr& runner : this->flows.All()) {
    runner->Dispatch(
        [&](RequestFlow& flow) { return flow.OnLinkUp(node, now); });
  }
}

void EntryService::OnMessage(const link::LinkPtr& link, link::Message message,
                             kernel::TimePoint now) {
  if (const auto* heartbeat = std::get_if<link::Heartbeat>(&message)) {
    this->endpoint_table.OnHeartbeat(link->id(), link->peer().node, *heartbeat,
                                     now);
    return;
  }
  if (const auto* announce = std::get_if<link::ConfigAnnounce>(&message)) {
    this->endpoint_table.OnRevision(link->peer().node, announce->revision);
    return;
  }
  if (const auto* evidence = std::get_if<link::Evidence>(&message)) {
    if (!this->crash_evidence.Merge(*evidence, now)) return;
    for (const link::LinkPtr& other : this->links.Values()) {
      if (other->id() != link->id()) other->Send(*evidence);
    }
    return;
  }
  const std::string* request = nullptr;
  if (const auto* started = std::get_if<link::Started>(&message))
    request = &started->request;
  if (const auto* head = std::get_if<link::Head>(&message))
    request = &head->request;
  if (const auto* chunk = std::get_if<link::Chunk>(&message))
    request = &chunk->request;
  if (const auto* ended = std::get_if<link::Ended>(&message))
    request = &ended->request;
  if (request == nullptr) return;
  for (const RunnerPtr& runner :
       this->flows.Find(RequestFlow::FlowIdOf(*request))) {
    runner->Dispatch([&](RequestFlow& flow) {
      return flow.OnMessage(link->id(), message, now);
    });
  }
}

void EntryService::OnLinkDown(const link::LinkPtr& link,
                              kernel::TimePoint now) {
  this->links.Erase(link->id());
  this->endpoint_table.OnLinkDown(link->id(), link->peer().node);
  for (const RunnerPtr& runner : this->flows.All()) {
    runner->Dispatch(
        [&](RequestFlow& flow) { return flow.OnLinkDown(link->id(), now); });
  }
}

void EntryService::OnTick(kernel::TimePoint now) {
  this->crash_evidence.Expire(now);
  this->retry_budget.RemoveUnused();
  this->metrics->SetGauge("banyanlane_requests_in_flight",
                          static_cast<double>(this->flows.Size()));
  this->metrics->SetGauge("banyanlane_suspected_work",
                          static_cast<double>(this->crash_evidence.Size()));
  this->metrics->SetGauge("banyanlane_links",
                          static_cast<double>(this->links.Size()));
}

void EntryService::OnInstances(const membership::InstanceListPtr& list) {
  std::set<std::string> leaving;
  for (const membership::Instance& instance : list->instances) {
    if (instance.state == membership::InstanceState::kLeaving)
      leaving.insert(instance.id);
  }
  this->endpoint_table.OnLeavingNodes(leaving);
}

}  // namespace banyanlane::entry
