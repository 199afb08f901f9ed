#include "experts/internal/rank_service.h"

#include <algorithm>

#include "kernel/boot_clock.h"
#include "kernel/event_log.h"

namespace banyanlane::experts {
namespace {

using kernel::EventId;

bool SameState(const link::RankStatus& left, const link::RankStatus& right) {
  return left.epoch == right.epoch && left.open == right.open &&
         left.map_version == right.map_version &&
         left.prepared_version == right.prepared_version &&
         left.armed_version == right.armed_version &&
         left.armed_step == right.armed_step &&
         left.held_step == right.held_step && left.fence == right.fence &&
         left.experts.size() == right.experts.size();
}

}  // namespace

RankService::RankService(std::string node, std::string engine_address,
                         const RankServiceLimits& limits,
                         const GroupLeadLimits& lead_limits,
                         std::shared_ptr<IRankEngine> engine,
                         std::shared_ptr<peers::IPeers> peers,
                         std::shared_ptr<kernel::Metrics> metrics,
                         std::uint64_t seed)
    : node(std::move(node)),
      engine_address(std::move(engine_address)),
      limits(limits),
      engine(std::move(engine)),
      peers(std::move(peers)),
      metrics(std::move(metrics)),
      lead(lead_limits, this->node + "/" + std::to_string(seed), seed),
      claim(kernel::BootNow()) {}

void RankService::Open() {
  this->own = std::make_shared<RankHand>(this->engine_address, this->engine,
                                         this->limits.poll,
                                         [self = this->weak_from_this()] {
                                           if (const auto service = self.lock())
                                             service->OnHandChanged();
                                         });
}

void RankService::Deliver(const Outbox& outbox) {
  for (const Outgoing& outgoing : outbox) outgoing.link->Send(outgoing.message);
}

void RankService::SetBounds(std::size_t places, std::size_t spare) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->lead.SetBounds(places, spare);
}

void RankService::OnLinkUp(const link::LinkPtr& link,
                           kernel::TimePoint /*now*/) {
  if (link->peer().role != peers::kRankRole) return;
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links.push_back(link);
    if (this->last_status) outbox.push_back({link, *this->last_status});
  }
  Deliver(outbox);
}

void RankService::OnLinkDown(const link::LinkPtr& link,
                             kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->links.erase(std::remove(this->links.begin(), this->links.end(), link),
                    this->links.end());
  for (auto it = this->by_rank.begin(); it != this->by_rank.end();)
    it = it->second == link ? this->by_rank.erase(it) : std::next(it);
}

void RankService::OnMessage(const link::LinkPtr& link, link::Message message,
                            kernel::TimePoint /*now*/) {
  const auto now = kernel::BootNow();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (const auto* status = std::get_if<link::RankStatus>(&message)) {
      this->OnStatus(link, *status, now);
      if (this->leading) this->Lead(outbox, now);
    }
    if (const auto* command = std::get_if<link::SwitchCommand>(&message)) {
      this->own->OnCommand(*command, now);
      this->ReportStatus(outbox, now);
    }
    if (const auto* counts = std::get_if<link::ExpertCounts>(&message))
      this->lead.OnCounts(*counts, now);
  }
  Deliver(outbox);
}

void RankService::OnStatus(const link::LinkPtr& link,
                           const link::RankStatus& status,
                           kernel::TimePoint now) {
  this->by_rank[status.rank] = link;
  const bool same_group = this->report && status.group == this->report->group;
  if (!same_group) return;
  if (status.rank < this->report->rank && status.epoch >= this->report->epoch)
    this->claim.OnLowerRank(now);
  this->lead.OnStatus(status, now);
}

void RankService::OnTick(kernel::TimePoint /*now*/) {
  const auto now = kernel::BootNow();
  Outbox outbox;
  bool is_lead = false;
  bool publish = false;
  double pace = 1;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->own->Tick(now);
    this->ReadCounts(now);
    this->UpdateLeading(now);
    this->ReportStatus(outbox, now);
    if (this->leading) this->Lead(outbox, now);
    is_lead = this->leading;
    if (this->report) pace = this->report->pace;
    publish = now >= this->next_publish;
    if (publish) this->next_publish = now + this->limits.publish;
  }
  Deliver(outbox);
  if (publish) this->Publish(is_lead, pace);
}

void RankService::Publish(bool is_lead, double pace) {
  peers::LocalState state;
  state.ready = true;
  state.engine_address = this->engine_address;
  state.engine_slowdown = pace;
  this->peers->Publish(std::move(state), kernel::Clock::now());
  this->metrics->SetGauge("banyanlane_engine_pace", pace);
  this->metrics->SetGauge("banyanlane_leads_group", is_lead ? 1 : 0);
  std::vector<std::string> addresses;
  if (is_lead) {
    for (const peers::Peer& peer : this->peers->PeersOfRole(peers::kRankRole))
      addresses.push_back(peer.link_address);
  }
  this->peers->SetExtraLinks(std::move(addresses));
}

void RankService::UpdateLeading(kernel::TimePoint now) {
  const bool is_lead =
      this->report &&
      this->claim.Decide(this->report->rank, this->lead.IsBusy(), now);
  if (is_lead == this->leading) return;
  this->leading = is_lead;
  // Links to all ranks are needed now.
  this->next_publish = now;
  kernel::LogEvent(EventId::kGroupLead,
                   {{"group", this->report ? this->report->group : ""},
                    {"leads", is_lead ? "yes" : "no"}});
}

void RankService::ReadCounts(kernel::TimePoint now) {
  if (this->reading_counts || now < this->next_counts) return;
  this->reading_counts = true;
  this->next_counts = now + this->limits.counts_poll;
  this->engine->ReadCounts([self = this->shared_from_this()](
                               const kernel::Result<RankCounts>& result) {
    self->OnCounts(result);
  });
}

void RankService::OnHandChanged() {
  const auto now = kernel::BootNow();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->report = this->own->Report();
    this->ReportStatus(outbox, now);
    if (this->leading) this->Lead(outbox, now);
  }
  Deliver(outbox);
}

void RankService::OnCounts(const kernel::Result<RankCounts>& result) {
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_counts = false;
    const auto* read = std::get_if<RankCounts>(&result);
    if (read != nullptr && this->report && read->counts != this->counts_sent) {
      this->SendCounts(*read, outbox, kernel::BootNow());
    }
  }
  Deliver(outbox);
}

void RankService::SendCounts(const RankCounts& read, Outbox& outbox,
                             kernel::TimePoint now) {
  this->counts_sent = read.counts;
  link::ExpertCounts counts;
  counts.group = this->report->group;
  counts.epoch = read.epoch;
  counts.rank = this->report->rank;
  counts.counts = read.counts;
  if (this->leading) {
    this->lead.OnCounts(counts, now);
    return;
  }
  for (const link::LinkPtr& link : this->links)
    outbox.push_back({link, counts});
}

void RankService::ReportStatus(Outbox& outbox, kernel::TimePoint now) {
  const auto status = this->own->Status(now);
  if (!status) return;
  if (this->leading) this->lead.OnStatus(*status, now);
  const bool changed =
      !this->last_status || !SameState(*this->last_status, *status);
  const auto period =
      this->leading ? this->limits.lead_statement : this->limits.status;
  const bool due = now - this->status_sent_at >= period;
  if (!due && (this->leading || !changed)) return;
  this->last_status = status;
  this->status_sent_at = now;
  for (const link::LinkPtr& link : this->links)
    outbox.push_back({link, *status});
}

void RankService::Lead(Outbox& outbox, kernel::TimePoint now) {
  if (!this->report) return;
  for (GroupLead::Send& send : this->lead.OnTick(this->report->rank, now))
    this->Pass(std::move(send), outbox, now);
  for (const auto& [event, fields] : this->lead.TakeReports()) {
    kernel::LogEvent(event, fields);
    this->metrics->Count("banyanlane_map_events_total{event=\"" +
                         std::string(kernel::EventName(event)) + "\"}");
  }
}

void RankService::Pass(GroupLead::Send send, Outbox& outbox,
                       kernel::TimePoint now) {
  if (send.rank == this->report->rank) {
    this->own->OnCommand(send.command, now);
    this->own->LookSoon(now);
    return;
  }
  const auto link = this->by_rank.find(send.rank);
  if (link != this->by_rank.end())
    outbox.push_back({link->second, std::move(send.command)});
}

}  // namespace banyanlane::experts
