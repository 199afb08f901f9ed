#include "config/internal/platform_watcher.h"

#include "config/internal/watch_plan.h"
#include "kernel/event_log.h"

namespace banyanlane::config {
namespace {

using kernel::EventId;

constexpr kernel::Millis kPauseAfterFailure{500};

}  // namespace

PlatformWatcher::PlatformWatcher(
    std::shared_ptr<IPlatform> platform, std::shared_ptr<IConfigStore> store,
    std::shared_ptr<membership::IMembership> membership, std::string node,
    kernel::Millis max_wait)
    : platform(std::move(platform)),
      store(std::move(store)),
      membership(std::move(membership)),
      node(std::move(node)),
      max_wait(max_wait) {}

PlatformWatcher::~PlatformWatcher() { this->Stop(); }

void PlatformWatcher::Start() {
  this->config_thread = std::thread([this] {
    this->Run("config", [this](kernel::Millis wait, kernel::Error& error) {
      return this->ReadConfig(wait, error);
    });
  });
  this->instances_thread = std::thread([this] {
    this->Run("instances", [this](kernel::Millis wait, kernel::Error& error) {
      return this->ReadInstances(wait, error);
    });
  });
}

void PlatformWatcher::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopped = true;
  }
  this->wake.notify_all();
  this->platform->Cancel();
  if (this->config_thread.joinable()) this->config_thread.join();
  if (this->instances_thread.joinable()) this->instances_thread.join();
}

void PlatformWatcher::Run(const std::string& resource,
                          const ReadOnce& read_once) {
  bool reachable = true;
  bool first_read = true;
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->stopped) return;
    }
    const WatchPlan plan = PlanWatch(this->membership->Current(), this->node);
    kernel::Error error;
    const bool wait = plan.watches && !first_read;
    const kernel::Error* failed =
        read_once(wait ? this->max_wait : kernel::Millis{0}, error);
    if (failed != nullptr && reachable) {
      kernel::LogEvent(
          EventId::kPlatformUnreachable,
          {{"what", resource}, {"reason", kernel::Describe(*failed)}});
    }
    if (failed == nullptr && !reachable) {
      kernel::LogEvent(EventId::kPlatformRecovered, {{"what", resource}});
    }
    reachable = failed == nullptr;
    first_read = first_read && !reachable;
    if (!reachable) this->Pause(kPauseAfterFailure);
    if (reachable && !plan.watches) this->Pause(plan.pause);
  }
}

const kernel::Error* PlatformWatcher::ReadConfig(kernel::Millis wait,
                                                 kernel::Error& error) {
  const ConfigPtr current = this->store->Current();
  const auto read =
      this->platform->ReadConfig(current ? current->revision : 0, wait);
  if (const kernel::Error* failed = kernel::ErrorOf(read)) {
    error = *failed;
    return error.code == kernel::ErrorCode::kTimeout ? nullptr : &error;
  }
  const OfferOutcome outcome = this->store->Offer(
      std::get<ConfigOffer>(read), "platform", kernel::Clock::now());
  // The platform keeps returning a revision that was not adopted, so without a
  // pause it would be read again immediately.
  if (outcome != OfferOutcome::kAdopted) this->Pause(kPauseAfterFailure);
  return nullptr;
}

const kernel::Error* PlatformWatcher::ReadInstances(kernel::Millis wait,
                                                    kernel::Error& error) {
  const auto current = this->membership->Current();
  const auto read =
      this->platform->ReadInstances(current ? current->version : 0, wait);
  if (const kernel::Error* failed = kernel::ErrorOf(read)) {
    error = *failed;
    return error.code == kernel::ErrorCode::kTimeout ? nullptr : &error;
  }
  const auto& list = std::get<InstanceListText>(read);
  const bool adopted =
      this->membership->Offer(list.text, "platform", kernel::Clock::now());
  if (!adopted) this->Pause(kPauseAfterFailure);
  return nullptr;
}

void PlatformWatcher::Pause(kernel::Millis pause) {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->wake.wait_for(lock, pause, [this] { return this->stopped; });
}

}  // namespace banyanlane::config
