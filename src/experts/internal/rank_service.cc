#include "experts/internal/rank_service.h"

#include <algorithm>

#include "experts/internal/counts_codec.h"
#include "kernel/event_log.h"

namespace banyanlane::experts {
namespace {

using kernel::EventId;

/// Time from the beginning of a stop in which leaders learn of it. A leader
/// that has not can go on from preparing to holding the group.
constexpr kernel::Millis kNoticeTime{300};
/// Maximum duration of a stop, in which the longest switch is abandoned or
/// completed.
constexpr kernel::Millis kMaxStopTime{6'500};

bool HasSameState(const link::RankStatus& left, const link::RankStatus& right) {
  return left.epoch == right.epoch && left.open == right.open &&
         left.map_version == right.map_version &&
         left.prepared_version == right.prepared_version &&
         left.armed_version == right.armed_version &&
         left.armed_step == right.armed_step &&
         left.held_step == right.held_step &&
         left.fencing_token == right.fencing_token &&
         left.experts.size() == right.experts.size();
}

}  // namespace

RankService::RankService(std::string node, std::string engine_address,
                         const RankServiceLimits& limits,
                         const GroupLeaderLimits& leader_limits,
                         std::shared_ptr<IRankEngine> engine,
                         std::shared_ptr<peers::IPeers> peers,
                         std::shared_ptr<kernel::Metrics> metrics,
                         kernel::BootClock clock, std::uint64_t seed)
    : node(std::move(node)),
      engine_address(std::move(engine_address)),
      limits(limits),
      engine(std::move(engine)),
      peers(std::move(peers)),
      metrics(std::move(metrics)),
      clock(std::move(clock)),
      leader(leader_limits, this->node + "/" + std::to_string(seed), seed),
      sampler(limits.counts_bytes_per_second, seed),
      election(this->clock()) {}

void RankService::Open() {
  this->controller = std::make_shared<RankEngineController>(
      this->engine_address, this->engine, this->limits.poll_periods,
      this->clock, [self = this->weak_from_this()] {
        if (const auto service = self.lock()) service->OnEngineChanged();
      });
}

void RankService::SendAll(const Outbox& outbox) {
  for (const OutgoingMessage& outgoing : outbox)
    outgoing.link->Send(outgoing.message);
}

void RankService::SetBounds(std::size_t max_experts_per_rank,
                            std::size_t max_new_experts_per_rank,
                            double copy_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->leader.SetBounds(max_experts_per_rank, max_new_experts_per_rank,
                         copy_ms);
}

void RankService::OnLinkUp(const link::LinkPtr& link,
                           kernel::TimePoint /*now*/) {
  if (link->peer().role != peers::kRankRole) return;
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links.push_back(link);
    if (this->last_sent_status)
      outbox.push_back({link, *this->last_sent_status});
  }
  SendAll(outbox);
}

void RankService::OnLinkDown(const link::LinkPtr& link,
                             kernel::TimePoint /*now*/) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->links.erase(std::remove(this->links.begin(), this->links.end(), link),
                    this->links.end());
  for (auto it = this->links_by_rank.begin(); it != this->links_by_rank.end();)
    it = it->second == link ? this->links_by_rank.erase(it) : std::next(it);
}

void RankService::OnMessage(const link::LinkPtr& link, link::Message message,
                            kernel::TimePoint /*now*/) {
  const auto now = this->clock();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (const auto* status = std::get_if<link::RankStatus>(&message)) {
      this->OnStatus(link, *status, now);
      if (this->is_leading) this->RunLeader(outbox, now);
    }
    if (const auto* command = std::get_if<link::SwitchCommand>(&message)) {
      this->controller->OnCommand(*command, now);
      this->SendStatus(outbox, now);
    }
    if (auto* counts = std::get_if<link::ExpertCounts>(&message))
      this->OnPackedCounts(*counts, now);
  }
  SendAll(outbox);
}

void RankService::OnPackedCounts(link::ExpertCounts& counts,
                                 kernel::TimePoint now) {
  auto selections = UnpackCounts(counts.counts);
  if (!selections) return;
  counts.counts = std::move(*selections);
  this->leader.OnCounts(counts, now);
}

void RankService::OnStatus(const link::LinkPtr& link,
                           const link::RankStatus& status,
                           kernel::TimePoint now) {
  const bool same_group = this->report && status.group == this->report->group;
  if (!same_group) return;
  this->links_by_rank[status.rank] = link;
  if (status.rank < this->report->rank && status.epoch >= this->report->epoch)
    this->election.OnLowerRankStatus(now);
  this->leader.OnStatus(status, now);
}

void RankService::OnTick(kernel::TimePoint /*now*/) {
  const auto now = this->clock();
  Outbox outbox;
  bool is_leader = false;
  bool must_publish = false;
  RankReport engine_report;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->controller->Tick(now);
    this->ReadCounts(now);
    this->UpdateLeadership(now);
    this->SendStatus(outbox, now);
    if (this->is_leading) this->RunLeader(outbox, now);
    is_leader = this->is_leading;
    if (this->report) engine_report = *this->report;
    must_publish = now >= this->next_publish_at;
    if (must_publish) this->next_publish_at = now + this->limits.publish_period;
  }
  SendAll(outbox);
  if (must_publish) this->Publish(is_leader, engine_report);
}

void RankService::BeginStop() {
  const auto now = this->clock();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->stop_began_at) this->stop_began_at = now;
    this->controller->BeginStop();
    this->SendStatus(outbox, now);
  }
  SendAll(outbox);
}

std::string RankService::Pending() {
  const auto now = this->clock();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->stop_began_at) return "";
  const auto elapsed = now - *this->stop_began_at;
  if (elapsed >= kMaxStopTime) return "";
  if (elapsed < kNoticeTime) return "leaders that may not know of the stop";
  return this->controller->IsNeededForSwitch(now) ? "a switch of the expert map"
                                                  : "";
}

void RankService::Publish(bool is_leader, const RankReport& engine) {
  peers::LocalState state;
  state.ready = true;
  state.engine_address = this->engine_address;
  state.engine_slowdown = engine.slowdown;
  this->peers->Publish(std::move(state), kernel::Clock::now());
  this->metrics->SetGauge("banyanlane_engine_pace", engine.slowdown);
  this->metrics->SetGauge("banyanlane_engine_running",
                          static_cast<double>(engine.running));
  this->metrics->SetGauge("banyanlane_engine_queued",
                          static_cast<double>(engine.queued));
  this->metrics->SetGauge("banyanlane_leads_group", is_leader ? 1 : 0);
  std::vector<std::string> addresses;
  if (is_leader) {
    for (const peers::Peer& peer : this->peers->PeersOfRole(peers::kRankRole))
      addresses.push_back(peer.link_address);
  }
  this->peers->SetExtraLinks(std::move(addresses));
}

void RankService::UpdateLeadership(kernel::TimePoint now) {
  const bool is_leader =
      this->report &&
      this->election.Decide(this->report->rank, this->leader.IsAttemptActive(),
                            now);
  if (is_leader == this->is_leading) return;
  this->is_leading = is_leader;
  // Publish also updates the links, and a leader needs links to all ranks.
  this->next_publish_at = now;
  kernel::LogEvent(EventId::kGroupLead,
                   {{"group", this->report ? this->report->group : ""},
                    {"leads", is_leader ? "yes" : "no"}});
}

void RankService::ReadCounts(kernel::TimePoint now) {
  if (this->reading_counts || !this->sampler.IsDue(now)) return;
  this->reading_counts = true;
  this->engine->ReadCounts([self = this->shared_from_this()](
                               const kernel::Result<RankCounts>& result) {
    self->OnCounts(result);
  });
}

void RankService::OnEngineChanged() {
  const auto now = this->clock();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->report = this->controller->Report();
    this->SendStatus(outbox, now);
    if (this->is_leading) this->RunLeader(outbox, now);
  }
  SendAll(outbox);
}

void RankService::OnCounts(const kernel::Result<RankCounts>& result) {
  const auto now = this->clock();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading_counts = false;
    const auto* read = std::get_if<RankCounts>(&result);
    if (read == nullptr || !this->report) {
      this->sampler.OnReadFailed(now);
      return;
    }
    auto selections = this->sampler.OnCounts(*read, this->report->size, now);
    const bool is_current = read->epoch == this->report->epoch;
    if (selections && is_current)
      this->SendCounts(std::move(*selections), outbox, now);
  }
  SendAll(outbox);
}

void RankService::SendCounts(std::vector<std::uint64_t> selections,
                             Outbox& outbox, kernel::TimePoint now) {
  link::ExpertCounts counts;
  counts.group = this->report->group;
  counts.epoch = this->report->epoch;
  counts.rank = this->report->rank;
  if (this->is_leading) {
    counts.counts = std::move(selections);
    this->leader.OnCounts(counts, now);
    return;
  }
  counts.counts = PackCounts(selections);
  for (const link::LinkPtr& link : this->links)
    outbox.push_back({link, counts});
}

void RankService::SendStatus(Outbox& outbox, kernel::TimePoint now) {
  const auto status = this->controller->Status(now);
  if (!status) return;
  if (this->is_leading) this->leader.OnStatus(*status, now);
  const bool has_changed = !this->last_sent_status ||
                           !HasSameState(*this->last_sent_status, *status);
  const auto period = this->is_leading ? this->limits.leader_status_period
                                       : this->limits.status_period;
  const bool is_due = now - this->status_sent_at >= period;
  if (!is_due && (this->is_leading || !has_changed)) return;
  this->last_sent_status = status;
  this->status_sent_at = now;
  for (const link::LinkPtr& link : this->links)
    outbox.push_back({link, *status});
}

void RankService::RunLeader(Outbox& outbox, kernel::TimePoint now) {
  if (!this->report) return;
  for (GroupLeader::OutgoingCommand& outgoing :
       this->leader.OnTick(this->report->rank, now))
    this->SendCommand(std::move(outgoing), outbox, now);
  for (auto& [event, fields] : this->leader.TakeEvents()) {
    fields.emplace_back("running", std::to_string(this->report->running));
    fields.emplace_back("queued", std::to_string(this->report->queued));
    kernel::LogEvent(event, fields);
    this->metrics->Count("banyanlane_map_events_total{event=\"" +
                         std::string(kernel::EventName(event)) + "\"}");
  }
}

void RankService::SendCommand(GroupLeader::OutgoingCommand outgoing,
                              Outbox& outbox, kernel::TimePoint now) {
  if (outgoing.rank == this->report->rank) {
    this->controller->OnCommand(outgoing.command, now);
    this->controller->PollSoon(now);
    return;
  }
  const auto link = this->links_by_rank.find(outgoing.rank);
  if (link != this->links_by_rank.end())
    outbox.push_back({link->second, std::move(outgoing.command)});
}

}  // namespace banyanlane::experts
