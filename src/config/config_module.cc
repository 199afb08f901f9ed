#include <memory>

#include "config/internal/config_relay.h"
#include "config/internal/config_store.h"
#include "config/internal/http_platform.h"
#include "config/internal/platform_watcher.h"
#include "kernel/module_registry.h"
#include "link/i_link.h"

namespace banyanlane::config {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Module that exports IConfigStore and relays revisions and instance lists
/// between peers. It also reads the platform if `addresses` are set.
class ConfigModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    auto format = context.Find<const IConfigFormat>();
    if (!format) format = MakeIniFormat();
    context.Export<IConfigStore>(std::make_shared<ConfigStore>(
        context.Resolve<kernel::AuditTrail>(), std::move(format)));
  }

  void Resolve(kernel::ModuleContext& context) override {
    const auto store = context.Resolve<IConfigStore>();
    const auto membership = context.Resolve<membership::IMembership>();
    const auto relay = std::make_shared<ConfigRelay>(
        store, membership,
        kernel::Millis(context.settings().Integer("platform", "patience_ms")));
    store->Subscribe(
        [relay](const ConfigPtr& config) { relay->AnnounceConfig(config); });
    membership->Subscribe(
        [relay](const auto& list) { relay->AnnounceList(list); });
    context.Resolve<link::ILinkHub>()->Subscribe(relay);
    const auto addresses = context.settings().List("platform", "addresses");
    if (addresses.empty()) return;
    const auto platform = std::make_shared<HttpPlatform>(
        addresses, context.Resolve<kernel::Metrics>());
    const kernel::Millis max_wait(
        context.settings().Integer("platform", "watch_ms"));
    this->watcher = std::make_unique<PlatformWatcher>(
        platform, store, membership, context.settings().Text("node", "id"),
        max_wait);
  }

  void Start() override {
    if (this->watcher) this->watcher->Start();
  }

  void Stop() override {
    if (this->watcher) this->watcher->Stop();
  }

 private:
  std::unique_ptr<PlatformWatcher> watcher;
};

const kernel::ModuleRegistration kRegistration(
    {"config",
     {Role::kEntry, Role::kAgent, Role::kGateway, Role::kRank},
     kernel::StartOrder::kConfig,
     {{"platform", "addresses", SettingKind::kList, "", false, 0, 0,
       "Addresses of the platform's service; only entries read it."},
      {"platform", "watch_ms", SettingKind::kInteger, "3000", false, 100,
       60'000, "Maximum milliseconds that one read waits for a change."},
      {"platform", "patience_ms", SettingKind::kInteger, "0", false, 0, 60'000,
       "Milliseconds to wait for a change from the platform before requesting "
       "it from a peer."}},
     [] { return std::make_unique<ConfigModule>(); }});

}  // namespace
}  // namespace banyanlane::config
