#include <memory>

#include "kernel/module_registry.h"
#include "link/internal/ws_hub.h"

namespace banyanlane::link {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Exports ILinkHub and runs its thread.
class LinkModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    LinkLimits limits;
    limits.heartbeat =
        kernel::Millis(context.settings().Integer("link", "heartbeat_ms"));
    limits.misses =
        static_cast<int>(context.settings().Integer("link", "misses"));
    this->hub = std::make_shared<WsHub>(limits);
    context.Export<ILinkHub>(this->hub);
  }
  void Resolve(kernel::ModuleContext& /*context*/) override {}
  void Start() override { this->hub->Start(); }
  void Stop() override { this->hub->Stop(); }

 private:
  std::shared_ptr<ILinkHub> hub;
};

const kernel::ModuleRegistration kRegistration(
    {"link",
     {Role::kEntry, Role::kAgent},
     kernel::StartOrder::kLink,
     {{"link", "heartbeat_ms", SettingKind::kInteger, "1000", false, 10, 60'000,
       "Longest time without a frame to a peer."},
      {"link", "misses", SettingKind::kInteger, "3", false, 2, 20,
       "Heartbeats missed before a link counts as silent."}},
     [] { return std::make_unique<LinkModule>(); }});

}  // namespace
}  // namespace banyanlane::link
