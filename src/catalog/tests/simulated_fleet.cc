#include "catalog/tests/simulated_fleet.h"

#include <algorithm>

#include "kernel/hash.h"

namespace banyanlane::catalog {
namespace {

using kernel::Millis;
using kernel::TimePoint;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Millis kStep{10};
constexpr Millis kTick{50};
constexpr Millis kHeartbeat{500};
/// Time from the heartbeat of a peer that is ahead until its list is adopted.
constexpr Millis kPull{350};
constexpr Millis kRoundTrip{10};
constexpr std::size_t kLinksEachSide = 48;
constexpr const char* kPrefix = "servers/";

}  // namespace

std::shared_ptr<SimulatedStore::Call> SimulatedStore::Start(Call call,
                                                            Millis wait,
                                                            Millis timeout,
                                                            TimePoint now) {
  auto started = std::make_shared<Call>(std::move(call));
  started->responds_at = now + std::max(wait, kRoundTrip);
  started->times_out_at = now + timeout;
  started->is_lost = started->is_lost || this->is_silent;
  ++this->calls;
  if (!started->is_page && wait.count() == 0) ++this->checks;
  this->pending.push_back(started);
  return started;
}

CatalogPage SimulatedStore::Respond(const Call& call) const {
  CatalogPage page;
  page.revision = this->revision;
  if (call.is_page || this->revision > call.after)
    page.items = {{"servers/a", std::to_string(this->revision), this->revision,
                   false, 0, false}};
  return page;
}

void SimulatedStore::Run(TimePoint now) {
  // Receivers start further calls.
  std::vector<std::shared_ptr<Call>> due;
  for (const auto& call : this->pending) {
    const bool has_change = !call->is_page && this->revision > call->after;
    const bool responds = now >= call->responds_at || has_change;
    if (responds && this->is_silent) call->is_lost = true;
    if (now >= call->times_out_at || (responds && !call->is_lost))
      due.push_back(call);
  }
  this->pending.erase(std::remove_if(this->pending.begin(), this->pending.end(),
                                     [&due](const auto& call) {
                                       return call->is_over ||
                                              std::find(due.begin(), due.end(),
                                                        call) != due.end();
                                     }),
                      this->pending.end());
  for (const auto& call : due) {
    if (call->is_over) continue;
    call->is_over = true;
    if (call->is_lost)
      call->receive(
          kernel::Error{kernel::ErrorCode::kTimeout, "read_store", "", ""});
    if (!call->is_lost) call->receive(this->Respond(*call));
  }
}

class SimulatedFleet::View : public ICatalog {
 public:
  View(SimulatedStore& store, const TimePoint& now) : store(store), now(now) {}

  std::shared_ptr<ICatalogCall> ReadPage(const std::string& /*prefix*/,
                                         const std::string& /*after_key*/,
                                         Millis timeout,
                                         Receiver receive) override {
    SimulatedStore::Call call;
    call.is_page = true;
    return this->Start(std::move(call), Millis{0}, timeout, std::move(receive));
  }

  std::shared_ptr<ICatalogCall> Watch(const std::string& /*prefix*/,
                                      std::uint64_t after_revision, Millis wait,
                                      Millis timeout,
                                      Receiver receive) override {
    SimulatedStore::Call call;
    call.after = after_revision;
    return this->Start(std::move(call), wait, timeout, std::move(receive));
  }

  bool is_deaf = false;

 private:
  std::shared_ptr<ICatalogCall> Start(SimulatedStore::Call call, Millis wait,
                                      Millis timeout, Receiver receive) {
    call.is_lost = this->is_deaf;
    call.receive = std::move(receive);
    return this->store.Start(std::move(call), wait, timeout, this->now);
  }

  SimulatedStore& store;
  const TimePoint& now;
};

struct SimulatedFleet::Gateway {
  std::string name;
  std::shared_ptr<View> view;
  std::unique_ptr<ContactMonitor> monitor;
  std::shared_ptr<FollowerDriver> driver;
  /// Version of the list in force.
  std::uint64_t version = 0;
  /// Newer version that is pulled from a peer, and when it arrives.
  std::uint64_t pulled_version = 0;
  TimePoint pulled_at = TimePoint::max();
  Millis heartbeat_phase{0};
  Millis tick_phase{0};
  bool is_cut = false;
};

SimulatedFleet::SimulatedFleet(std::size_t size, std::uint64_t seed)
    : now(kStart), random(seed + 1) {
  for (std::size_t i = 0; i < size; ++i) {
    auto gateway = std::make_unique<Gateway>();
    gateway->name = "g" + std::to_string(i);
    gateway->view = std::make_shared<View>(this->store, this->now);
    const auto phase = [this](Millis period) {
      return kStep *
             static_cast<std::int64_t>(this->random() % (period / kStep));
    };
    gateway->heartbeat_phase = phase(kHeartbeat);
    gateway->tick_phase = phase(kTick);
    this->gateways.push_back(std::move(gateway));
  }
  for (std::size_t i = 0; i < size; ++i) this->Restart(i);
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::Restart(std::size_t gateway) {
  Gateway& restarted = *this->gateways[gateway];
  if (restarted.driver) restarted.driver->Stop();
  restarted.version = 0;
  restarted.pulled_version = 0;
  restarted.pulled_at = TimePoint::max();
  restarted.monitor = std::make_unique<ContactMonitor>(ContactLimits{});
  const auto rank = [this, gateway] {
    const std::string& own = this->gateways[gateway]->name;
    std::size_t before = 0;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      const bool precedes =
          i != gateway && this->AreLinked(i, gateway) &&
          kernel::RendezvousWeight(kPrefix, this->gateways[i]->name) >
              kernel::RendezvousWeight(kPrefix, own);
      if (precedes) ++before;
    }
    return before;
  };
  restarted.driver = std::make_shared<FollowerDriver>(
      restarted.view, kPrefix, CatalogFollower(CatalogLimits{}, this->random()),
      [&restarted](const CatalogSnapshot& items) {
        restarted.version = std::max(restarted.version, items.version);
      },
      SharedContact{restarted.monitor.get(), rank},
      [this] { return this->now; });
}

void SimulatedFleet::SetCut(std::size_t gateway, bool is_cut) {
  this->gateways[gateway]->is_cut = is_cut;
}

void SimulatedFleet::SetDeaf(std::size_t gateway, bool is_deaf) {
  this->gateways[gateway]->view->is_deaf = is_deaf;
}

bool SimulatedFleet::AreLinked(std::size_t left, std::size_t right) const {
  const std::size_t distance = left > right ? left - right : right - left;
  const bool is_near =
      std::min(distance, this->gateways.size() - distance) <= kLinksEachSide;
  return is_near && !this->gateways[left]->is_cut &&
         !this->gateways[right]->is_cut;
}

void SimulatedFleet::Heartbeat(std::size_t sender) {
  const Gateway& from = *this->gateways[sender];
  const auto age = from.monitor->Age(this->now);
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    if (i == sender || !this->AreLinked(i, sender)) continue;
    Gateway& to = *this->gateways[i];
    if (to.version >= from.version) {
      if (age) to.monitor->OnPeerResponse(*age, this->now);
      continue;
    }
    if (to.pulled_at != TimePoint::max()) continue;
    to.pulled_version = from.version;
    to.pulled_at = this->now + kPull;
  }
}

void SimulatedFleet::Run(Millis span) {
  const TimePoint end = this->now + span;
  for (; this->now < end; this->now += kStep) {
    this->store.Run(this->now);
    const auto elapsed = std::chrono::duration_cast<Millis>(this->now - kStart);
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      Gateway& gateway = *this->gateways[i];
      if (this->now >= gateway.pulled_at) {
        gateway.version = std::max(gateway.version, gateway.pulled_version);
        gateway.pulled_at = TimePoint::max();
      }
      if (elapsed % kTick == gateway.tick_phase)
        gateway.driver->OnTick(this->now);
      if (elapsed % kHeartbeat == gateway.heartbeat_phase) this->Heartbeat(i);
    }
  }
}

bool SimulatedFleet::AllKnow() const {
  std::uint64_t newest = 0;
  for (const auto& gateway : this->gateways)
    newest = std::max(newest, gateway->version);
  return newest >= this->store.revision * 16 &&
         std::all_of(this->gateways.begin(), this->gateways.end(),
                     [newest](const auto& gateway) {
                       return gateway->version == newest;
                     });
}

}  // namespace banyanlane::catalog
