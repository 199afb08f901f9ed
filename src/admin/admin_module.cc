#include <memory>

#include "admin/internal/admin_handler.h"
#include "http/i_http_runtime.h"
#include "kernel/module_registry.h"

namespace banyanlane::admin {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Exports IStatusBoard and runs the admin server for operators.
class AdminModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    this->handler =
        std::make_shared<AdminHandler>(context.Resolve<kernel::AuditTrail>(),
                                       context.Resolve<kernel::Metrics>());
    context.Export<IStatusBoard>(this->handler);
    this->address = context.settings().Text("admin", "address");
  }
  void Resolve(kernel::ModuleContext& context) override {
    this->runtime = context.Resolve<http::IHttpRuntime>();
  }
  void Start() override {
    this->server =
        http::OpenServer(*this->runtime, this->address, this->handler);
  }
  void Stop() override { this->server->StopAccepting(); }

 private:
  std::string address;
  std::shared_ptr<AdminHandler> handler;
  std::shared_ptr<http::IHttpRuntime> runtime;
  std::shared_ptr<http::IHttpServer> server;
};

const kernel::ModuleRegistration kRegistration(
    {"admin",
     {Role::kEntry, Role::kAgent, Role::kGateway, Role::kRank},
     kernel::StartOrder::kConfig,
     {{"admin", "address", SettingKind::kText, "127.0.0.1:0", false, 0, 0,
       "Address of the admin server, which serves status, metrics and the "
       "audit trail."}},
     [] { return std::make_unique<AdminModule>(); }});

}  // namespace
}  // namespace banyanlane::admin
