#include <memory>

#include "kernel/audit_trail.h"
#include "kernel/event_log.h"
#include "kernel/metrics.h"
#include "kernel/module_registry.h"

namespace banyanlane::kernel {
namespace {

/// Exports the audit trail and the metrics, and sets the log level.
class BaseModule : public IModule {
 public:
  void Export(ModuleContext& context) override {
    SetLogLevel(context.settings().Text("node", "log_level"));
    context.Export(std::make_shared<AuditTrail>());
    context.Export(std::make_shared<Metrics>());
  }
  void Resolve(ModuleContext& /*context*/) override {}
  void Start() override {}
  void Reload(const Settings& settings) override {
    SetLogLevel(settings.Text("node", "log_level"));
  }
  void Stop() override {}
};

const ModuleRegistration kRegistration(
    {"base",
     {Role::kEntry, Role::kAgent, Role::kGateway, Role::kRank},
     StartOrder::kBase,
     {{"node", "id", SettingKind::kText, "", true, 0, 0,
       "Unique name of this node."},
      {"node", "failure_domain", SettingKind::kText, "", true, 0, 0,
       "Failure domain of this node."},
      {"node", "log_level", SettingKind::kText, "info", false, 0, 0,
       "Minimum log level: debug, info, warning or error."}},
     [] { return std::make_unique<BaseModule>(); }});

}  // namespace
}  // namespace banyanlane::kernel
