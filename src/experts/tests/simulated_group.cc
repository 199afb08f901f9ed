#include "experts/tests/simulated_group.h"

#include <algorithm>
#include <cmath>

#include "link/codec.h"

namespace banyanlane::experts {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr Millis kTickPeriod{20};
constexpr Millis kStepPeriod{60};
constexpr Millis kLinkDelay{1};
constexpr Millis kEngineDelay{1};
constexpr double kSelectionsPerStep = 1'000;
/// The larger this is, the less the popularity of experts differs.
constexpr double kEvenness = 8;

}  // namespace

/// Engine that responds at once, and carries out orders as the platform
/// documents.
class SimulatedEngine : public IRankEngine {
 public:
  SimulatedEngine(SimulatedGroup& group, std::size_t rank)
      : group(group), rank(rank) {
    const SimulatedGroupShape& shape = group.shape;
    this->map.resize(shape.layers);
    for (LayerExperts& layer : this->map) layer.resize(shape.ranks);
    for (LayerExperts& layer : this->map) {
      for (std::size_t expert = 0; expert < shape.experts; ++expert)
        layer[expert % shape.ranks].push_back(expert);
    }
    this->selections.resize(shape.layers * shape.experts, 0.0);
  }

  void ReadReport(
      std::function<void(kernel::Result<RankReport>)> receive) override {
    this->FinishCopy();
    RankReport report;
    report.group = "g";
    report.epoch = 1;
    report.rank = this->rank;
    report.size = this->group.shape.ranks;
    report.open = true;
    report.step = this->group.step;
    report.map_version = this->map_version;
    report.prepared_version = this->prepared_version;
    report.armed = this->armed;
    report.held_step = this->held_step;
    this->Respond([receive, report] { receive(report); });
  }

  void ReadCounts(
      std::function<void(kernel::Result<RankCounts>)> receive) override {
    RankCounts counts;
    counts.epoch = 1;
    for (const double count : this->selections)
      counts.counts.push_back(static_cast<std::uint64_t>(count));
    this->Respond([receive, counts] { receive(counts); });
  }

  void ReadExperts(
      std::function<void(kernel::Result<RankExperts>)> receive) override {
    RankExperts experts;
    experts.epoch = 1;
    experts.version = this->map_version;
    for (const LayerExperts& layer : this->map)
      experts.experts.push_back(layer[this->rank]);
    this->Respond([receive, experts] { receive(experts); });
  }

  void Order(const RankOrder& order, std::uint64_t /*epoch*/,
             std::uint64_t token, Millis /*timeout*/,
             std::function<void(OrderOutcome)> receive) override {
    const OrderOutcome outcome = this->Apply(order, token);
    this->Respond([receive, outcome] { receive(outcome); });
  }

  bool Holds(std::uint64_t step) const {
    return this->held_step && *this->held_step <= step;
  }

  /// @return whether the map changed.
  bool BeginStep(std::uint64_t step) {
    for (std::size_t layer = 0; layer < this->group.shape.layers; ++layer) {
      for (std::size_t expert = 0; expert < this->group.shape.experts; ++expert)
        this->selections[layer * this->group.shape.experts + expert] +=
            this->group.SelectionsOf(layer, expert);
    }
    if (!this->armed || this->armed->step != step) return false;
    this->map_version = this->armed->version;
    this->map = this->prepared_map;
    this->armed.reset();
    this->prepared_version.reset();
    return true;
  }

  const ExpertMap& current_map() const { return this->map; }

 private:
  using LayerExperts = std::vector<std::vector<std::uint64_t>>;

  /// Sends a response, which is lost if the agent ends before.
  void Respond(std::function<void()> deliver) {
    const std::uint64_t incarnation = this->group.nodes[this->rank].incarnation;
    this->group.Schedule(
        kEngineDelay, [this, incarnation, deliver = std::move(deliver)] {
          if (this->group.nodes[this->rank].incarnation == incarnation)
            deliver();
        });
  }

  void FinishCopy() {
    if (this->copying_version == 0 || this->group.now < this->copied_at) return;
    this->prepared_version = this->copying_version;
    this->copying_version = 0;
  }

  std::size_t CopiesFor(const ExpertMap& next) const {
    std::size_t copies = 0;
    for (std::size_t layer = 0; layer < next.size(); ++layer) {
      const auto& had = this->map[layer][this->rank];
      for (const std::uint64_t expert : next[layer][this->rank]) {
        if (std::find(had.begin(), had.end(), expert) == had.end()) ++copies;
      }
    }
    return copies;
  }

  OrderOutcome Apply(const RankOrder& order, std::uint64_t token) {
    if (token < this->fencing_token) return OrderOutcome::kFenced;
    this->fencing_token = token;
    const std::uint64_t step = this->group.step;
    if (const auto* prepare = std::get_if<PrepareOrder>(&order)) {
      const bool is_complete =
          prepare->map.size() == this->group.shape.layers &&
          std::all_of(prepare->map.begin(), prepare->map.end(),
                      [this](const LayerExperts& layer) {
                        return layer.size() == this->group.shape.ranks;
                      });
      if (!is_complete || prepare->version <= this->highest_version ||
          this->armed)
        return OrderOutcome::kRefused;
      this->highest_version = prepare->version;
      this->prepared_version.reset();
      this->prepared_map = prepare->map;
      this->copying_version = prepare->version;
      this->copied_at =
          this->group.now + this->group.shape.copy_time *
                                static_cast<int>(this->CopiesFor(prepare->map));
    }
    if (const auto* arm = std::get_if<ArmOrder>(&order)) {
      if (this->prepared_version != arm->version || step >= arm->step)
        return OrderOutcome::kRefused;
      this->armed = ArmedMap{arm->version, arm->step};
    }
    if (const auto* disarm = std::get_if<DisarmOrder>(&order)) {
      if (this->armed && this->armed->version == disarm->version)
        this->armed.reset();
    }
    if (const auto* hold = std::get_if<HoldOrder>(&order)) {
      const bool other = this->held_step && *this->held_step != hold->step;
      if (other || step >= hold->step) return OrderOutcome::kRefused;
      this->held_step = hold->step;
    }
    if (const auto* release = std::get_if<ReleaseOrder>(&order)) {
      if (this->held_step == release->step) this->held_step.reset();
    }
    return OrderOutcome::kDone;
  }

  SimulatedGroup& group;
  std::size_t rank;
  ExpertMap map;
  std::uint64_t map_version = 0;
  ExpertMap prepared_map;
  std::optional<std::uint64_t> prepared_version;
  std::uint64_t highest_version = 0;
  std::uint64_t copying_version = 0;
  TimePoint copied_at;
  std::optional<ArmedMap> armed;
  std::optional<std::uint64_t> held_step;
  std::uint64_t fencing_token = 0;
  std::vector<double> selections;
};

/// One direction of a link between two agents.
class SimulatedGroup::Link : public link::ILink {
 public:
  Link(SimulatedGroup& group, std::size_t from, std::size_t to)
      : group(group), from(from), to(to) {
    this->hello.role = peers::kRankRole;
    this->hello.node = "rank-" + std::to_string(to);
  }
  std::uint64_t id() const override { return this->to; }
  const link::Hello& peer() const override { return this->hello; }
  bool Send(const link::Message& message) override {
    this->group.Transmit(this->from, this->to, message);
    return true;
  }
  void Close(std::string_view /*reason*/) override {}

 private:
  SimulatedGroup& group;
  std::size_t from;
  std::size_t to;
  link::Hello hello;
};

/// All other agents are known from the start.
class SimulatedGroup::Peers : public peers::IPeers {
 public:
  Peers(SimulatedGroup& group, std::size_t rank) : group(group), rank(rank) {}
  std::vector<peers::Peer> LiveGateways(TimePoint /*now*/) override {
    return {};
  }
  std::vector<peers::Peer> PeersOfRole(const std::string& role) override {
    std::vector<peers::Peer> others;
    for (std::size_t other = 0; other < this->group.nodes.size(); ++other) {
      if (other == this->rank) continue;
      peers::Peer peer;
      peer.role = role;
      peer.link_address = std::to_string(other);
      others.push_back(std::move(peer));
    }
    return others;
  }
  void SetExtraLinks(std::vector<std::string> addresses) override {
    this->group.SetTargets(this->rank, addresses);
  }
  std::int64_t InFlightFromPeers(const std::string& /*endpoint*/) override {
    return 0;
  }
  double SlowdownOf(const std::string& /*engine_address*/) override {
    return 1;
  }
  void Publish(peers::LocalState /*state*/, TimePoint /*now*/) override {}

 private:
  SimulatedGroup& group;
  std::size_t rank;
};

SimulatedGroup::SimulatedGroup(const SimulatedGroupShape& shape)
    : shape(shape), nodes(shape.ranks) {
  for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
    this->nodes[rank].engine = std::make_unique<SimulatedEngine>(*this, rank);
    this->Start(rank);
  }
  this->last_step_at = this->now;
  this->Schedule(kStepPeriod, [this] { this->BeginStep(); });
}

SimulatedGroup::~SimulatedGroup() = default;

void SimulatedGroup::Start(std::size_t rank) {
  Node& node = this->nodes[rank];
  ++node.incarnation;
  node.peers = std::make_shared<Peers>(*this, rank);
  // The engine outlives all agents, so it is not owned by them.
  const std::shared_ptr<IRankEngine> engine(std::shared_ptr<void>(),
                                            node.engine.get());
  node.service = std::make_shared<RankService>(
      "rank-" + std::to_string(rank), "", RankServiceLimits{},
      GroupLeaderLimits{}, engine, node.peers,
      std::make_shared<kernel::Metrics>(), [this] { return this->now; },
      rank + node.incarnation * this->shape.ranks);
  node.service->SetBounds(this->shape.max_experts_per_rank, 2,
                          static_cast<double>(this->shape.copy_time.count()));
  node.service->Open();
  const Millis offset(static_cast<std::int64_t>(rank) % kTickPeriod.count());
  this->Schedule(offset, [this, rank, incarnation = node.incarnation] {
    this->Tick(rank, incarnation);
  });
}

void SimulatedGroup::RestartAgent(std::size_t rank) {
  this->CloseLinks(rank);
  this->Start(rank);
}

void SimulatedGroup::StopAgent(std::size_t rank) {
  this->nodes[rank].is_stopping = true;
  this->nodes[rank].service->BeginStop();
  this->EndIfStopped(rank);
}

bool SimulatedGroup::EndIfStopped(std::size_t rank) {
  Node& node = this->nodes[rank];
  if (!node.is_stopping || !node.service->Pending().empty()) return false;
  node.has_ended = true;
  ++node.incarnation;
  this->CloseLinks(rank);
  return true;
}

void SimulatedGroup::CloseLinks(std::size_t rank) {
  this->SetTargets(rank, {});
  for (const auto& [peer, link] : this->nodes[rank].links) {
    Node& other = this->nodes[peer];
    const auto found = other.links.find(rank);
    if (found == other.links.end()) continue;
    other.service->OnLinkDown(found->second, this->now);
    other.links.erase(found);
    other.targets.erase(rank);
  }
  this->nodes[rank].links.clear();
}

void SimulatedGroup::Schedule(Millis delay, std::function<void()> run) {
  this->events.emplace(this->now + delay, std::move(run));
}

void SimulatedGroup::Run(Millis length) {
  const TimePoint end = this->now + length;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    const auto first = this->events.begin();
    this->now = first->first;
    const auto run = std::move(first->second);
    this->events.erase(first);
    run();
  }
  this->now = end;
}

void SimulatedGroup::Tick(std::size_t rank, std::uint64_t incarnation) {
  Node& node = this->nodes[rank];
  if (node.incarnation != incarnation) return;
  if (this->EndIfStopped(rank)) return;
  node.service->OnTick(this->now);
  this->Schedule(kTickPeriod,
                 [this, rank, incarnation] { this->Tick(rank, incarnation); });
}

void SimulatedGroup::BeginStep() {
  this->Schedule(kStepPeriod, [this] { this->BeginStep(); });
  const std::uint64_t next = this->step + 1;
  for (const Node& node : this->nodes) {
    if (node.engine->Holds(next)) return;
  }
  this->step = next;
  this->max_pause = std::max(
      this->max_pause,
      std::chrono::duration_cast<Millis>(this->now - this->last_step_at));
  this->last_step_at = this->now;
  bool changed = false;
  for (Node& node : this->nodes)
    changed = node.engine->BeginStep(next) || changed;
  this->map_changes += changed ? 1 : 0;
  for (const Node& node : this->nodes) {
    this->had_one_map =
        this->had_one_map &&
        node.engine->current_map() == this->nodes.front().engine->current_map();
  }
}

double SimulatedGroup::SelectionsOf(std::size_t layer,
                                    std::size_t expert) const {
  // Experts of the same rank in the first map are popular together.
  const std::size_t group =
      (expert + layer + this->demand_phase * 7) % this->shape.ranks;
  const double weight = 1 / (kEvenness + static_cast<double>(group));
  return kSelectionsPerStep * weight / static_cast<double>(this->shape.ranks);
}

double SimulatedGroup::Skew() const {
  const ExpertMap& map = this->nodes.front().engine->current_map();
  GroupLoad load(this->shape.layers);
  for (std::size_t layer = 0; layer < this->shape.layers; ++layer) {
    for (std::size_t expert = 0; expert < this->shape.experts; ++expert)
      load[layer].push_back(this->SelectionsOf(layer, expert));
  }
  const RankSlowdowns slowdowns(this->shape.ranks, 1.0);
  return MapStepTime(map, load, slowdowns) / MinMapStepTime(load, slowdowns);
}

void SimulatedGroup::SetTargets(std::size_t from,
                                const std::vector<std::string>& addresses) {
  std::set<std::size_t> wanted;
  for (const std::string& address : addresses)
    wanted.insert(std::stoul(address));
  Node& node = this->nodes[from];
  if (wanted == node.targets) return;
  const std::set<std::size_t> before = node.targets;
  node.targets = wanted;
  for (const std::size_t to : wanted) {
    if (before.count(to) != 0 || node.links.count(to) != 0) continue;
    Node& other = this->nodes[to];
    node.links[to] = std::make_shared<Link>(*this, from, to);
    other.links[from] = std::make_shared<Link>(*this, to, from);
    // The links open later, since the caller can hold a mutex.
    this->Schedule(kLinkDelay, [this, from, to] {
      const auto open = [this](std::size_t self, std::size_t peer) {
        Node& opened = this->nodes[self];
        const auto found = opened.links.find(peer);
        if (found != opened.links.end())
          opened.service->OnLinkUp(found->second, this->now);
      };
      open(from, to);
      open(to, from);
    });
  }
  for (const std::size_t to : before) {
    Node& other = this->nodes[to];
    const bool is_wanted =
        wanted.count(to) != 0 || other.targets.count(from) != 0;
    const auto own = node.links.find(to);
    if (is_wanted || own == node.links.end()) continue;
    node.service->OnLinkDown(own->second, this->now);
    other.service->OnLinkDown(other.links.at(from), this->now);
    node.links.erase(own);
    other.links.erase(from);
  }
}

TimePoint SimulatedGroup::Occupy(Traffic& traffic, std::size_t bytes,
                                 TimePoint from) {
  const TimePoint begin = std::max(from, traffic.free_at);
  traffic.free_at =
      begin +
      std::chrono::duration_cast<kernel::Clock::duration>(
          std::chrono::duration<double>(static_cast<double>(bytes) /
                                        this->shape.link_bytes_per_second));
  traffic.recent[from] += bytes;
  traffic.recent_bytes += bytes;
  while (traffic.recent.begin()->first + std::chrono::seconds(1) <= from) {
    traffic.recent_bytes -= traffic.recent.begin()->second;
    traffic.recent.erase(traffic.recent.begin());
  }
  this->max_bytes = std::max(this->max_bytes, traffic.recent_bytes);
  return traffic.free_at;
}

void SimulatedGroup::Transmit(std::size_t from, std::size_t to,
                              const link::Message& message) {
  std::string frame = link::Encode(message);
  const TimePoint sent =
      this->Occupy(this->nodes[from].out, frame.size(), this->now);
  const TimePoint received =
      this->Occupy(this->nodes[to].in, frame.size(), sent);
  const auto delay = std::chrono::duration_cast<Millis>(received - this->now);
  this->max_delay = std::max(this->max_delay, delay);
  const std::uint64_t incarnation = this->nodes[to].incarnation;
  this->events.emplace(received + kLinkDelay, [this, from, to, incarnation,
                                               frame = std::move(frame)] {
    Node& node = this->nodes[to];
    const auto found = node.links.find(from);
    if (found == node.links.end() || node.incarnation != incarnation) return;
    auto decoded = link::Decode(frame);
    node.service->OnMessage(
        found->second, std::get<link::Message>(std::move(decoded)), this->now);
  });
}

}  // namespace banyanlane::experts
