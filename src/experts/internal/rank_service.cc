#include "experts/internal/rank_service.h"

#include <algorithm>

#include "kernel/boot_clock.h"
#include "kernel/event_log.h"

namespace banyanlane::experts {
namespace {

using kernel::EventId;

/// Ranks beyond this one wait no longer than it does before they lead.
constexpr std::uint64_t kLastStaggeredRank = 8;

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
                         std::uint64_t seed)
    : node(std::move(node)),
      engine_address(std::move(engine_address)),
      limits(limits),
      engine(std::move(engine)),
      peers(std::move(peers)),
      agent(RankAgentLimits{}),
      lead(lead_limits, this->node + "/" + std::to_string(seed), seed),
      lower_rank_seen(kernel::BootNow()) {}

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
    const auto status = this->agent.Status(kernel::BootNow());
    if (status) outbox.push_back({link, *status});
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
      const bool same_group =
          this->report && status->group == this->report->group;
      if (same_group && status->rank < this->report->rank &&
          status->epoch >= this->report->epoch) {
        this->lower_rank_seen = now;
      }
      this->by_rank[status->rank] = link;
      if (same_group) this->lead.OnStatus(*status, now);
      if (this->leading) this->Lead(outbox, now);
    }
    if (const auto* command = std::get_if<link::SwitchCommand>(&message))
      this->OnCommand(*command, outbox, now);
    if (const auto* counts = std::get_if<link::ExpertCounts>(&message))
      this->lead.OnCounts(*counts, now);
  }
  Deliver(outbox);
}

void RankService::OnCommand(const link::SwitchCommand& command, Outbox& outbox,
                            kernel::TimePoint now) {
  this->agent.OnCommand(command, now);
  this->Act(outbox, now);
}

void RankService::OnTick(kernel::TimePoint /*now*/) {
  const auto now = kernel::BootNow();
  Outbox outbox;
  bool is_lead = false;
  bool publish = false;
  double pace = 1;
  std::vector<std::string> addresses;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Poll(now);
    is_lead = this->IsLead(now);
    if (is_lead != this->leading) {
      kernel::LogEvent(EventId::kGroupLead,
                       {{"group", this->report ? this->report->group : ""},
                        {"leads", is_lead ? "yes" : "no"}});
    }
    this->leading = is_lead;
    this->Act(outbox, now);
    if (this->report) pace = this->report->pace;
    publish = now >= this->next_publish;
    if (publish) this->next_publish = now + this->limits.publish;
  }
  Deliver(outbox);
  if (!publish) return;
  peers::LocalState state;
  state.ready = true;
  state.engine_address = this->engine_address;
  state.engine_pace = pace;
  this->peers->Publish(std::move(state), kernel::Clock::now());
  if (is_lead) {
    for (const peers::Peer& peer : this->peers->Known(peers::kRankRole))
      addresses.push_back(peer.link_address);
  }
  this->peers->LinkTo(std::move(addresses));
}

bool RankService::IsLead(kernel::TimePoint now) const {
  if (!this->report) return false;
  const auto rank = std::min(this->report->rank, kLastStaggeredRank);
  const auto wait = this->limits.lead_after +
                    this->limits.lead_stagger * static_cast<std::int64_t>(rank);
  return now - this->lower_rank_seen > wait;
}

void RankService::Poll(kernel::TimePoint now) {
  const auto self = this->shared_from_this();
  if (!this->reading_report && now >= this->next_report) {
    this->reading_report = true;
    const bool busy = this->agent.IsBusy(now);
    this->next_report =
        now + (busy ? this->limits.busy_poll : this->limits.calm_poll);
    this->engine->ReadReport([self](const kernel::Result<RankReport>& result) {
      self->OnReport(result);
    });
  }
  if (!this->reading_counts && now >= this->next_counts) {
    this->reading_counts = true;
    this->next_counts = now + this->limits.counts_poll;
    this->engine->ReadCounts([self](const kernel::Result<RankCounts>& result) {
      self->OnCounts(result);
    });
  }
}

void RankService::OnReport(const kernel::Result<RankReport>& result) {
  const auto now = kernel::BootNow();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_report = false;
    const auto* read = std::get_if<RankReport>(&result);
    if (read == nullptr) return;
    this->report = *read;
    this->agent.OnReport(*read);
    if (this->agent.NeedsExperts() && !this->reading_experts) {
      this->reading_experts = true;
      this->engine->ReadExperts(
          [self = this->shared_from_this()](
              const kernel::Result<RankExperts>& experts) {
            self->OnExperts(experts);
          });
    }
    this->Act(outbox, now);
  }
  Deliver(outbox);
}

void RankService::OnExperts(const kernel::Result<RankExperts>& result) {
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_experts = false;
    const auto* read = std::get_if<RankExperts>(&result);
    if (read == nullptr) return;
    this->agent.OnExperts(*read);
    this->Act(outbox, kernel::BootNow());
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

void RankService::OnOrderOutcome(OrderOutcome outcome) {
  const auto now = kernel::BootNow();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->agent.OnOrderOutcome(outcome, now);
  // Only the report tells what the order has done.
  this->next_report = now;
  this->Poll(now);
}

void RankService::Act(Outbox& outbox, kernel::TimePoint now) {
  const auto order = this->agent.NextOrder(now);
  if (order) {
    this->engine->Order(
        order->order, order->epoch, order->fence, RankAgentLimits{}.order,
        [self = this->shared_from_this()](OrderOutcome outcome) {
          self->OnOrderOutcome(outcome);
        });
  }
  this->ReportStatus(outbox, now);
  if (this->leading) this->Lead(outbox, now);
}

void RankService::ReportStatus(Outbox& outbox, kernel::TimePoint now) {
  const auto status = this->agent.Status(now);
  if (!status) return;
  if (this->leading) this->lead.OnStatus(*status, now);
  const bool changed =
      !this->last_status || !SameState(*this->last_status, *status);
  const auto period =
      this->leading ? this->limits.lead_statement : this->limits.calm_poll;
  const bool due = now - this->status_sent_at >= period;
  if (!due && (this->leading || !changed)) return;
  this->last_status = status;
  this->status_sent_at = now;
  for (const link::LinkPtr& link : this->links)
    outbox.push_back({link, *status});
}

void RankService::Lead(Outbox& outbox, kernel::TimePoint now) {
  if (!this->report) return;
  for (GroupLead::Send& send : this->lead.OnTick(this->report->rank, now)) {
    if (send.rank == this->report->rank) {
      this->agent.OnCommand(send.command, now);
      this->next_report = std::min(this->next_report, now);
      continue;
    }
    const auto link = this->by_rank.find(send.rank);
    if (link != this->by_rank.end())
      outbox.push_back({link->second, std::move(send.command)});
  }
  for (const auto& [event, fields] : this->lead.TakeReports())
    kernel::LogEvent(event, fields);
}

}  // namespace banyanlane::experts
