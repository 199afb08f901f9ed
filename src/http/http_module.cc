#include <memory>

#include "http/i_http_runtime.h"
#include "kernel/module_registry.h"

namespace banyanlane::http {
namespace {

using kernel::Role;

/// Exports IHttpRuntime and runs its threads.
class HttpModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    this->threads =
        static_cast<int>(context.settings().Integer("http", "threads"));
    this->runtime = MakeHttpRuntime();
    context.Export<IHttpRuntime>(this->runtime);
  }
  void Resolve(kernel::ModuleContext& /*context*/) override {}
  void Start() override { this->runtime->Start(this->threads); }
  void Stop() override { this->runtime->Stop(); }

 private:
  int threads = 1;
  std::shared_ptr<IHttpRuntime> runtime;
};

const kernel::ModuleRegistration kRegistration(
    {"http",
     {Role::kEntry, Role::kAgent, Role::kGateway, Role::kRank},
     kernel::StartOrder::kHttp,
     {{"http", "threads", kernel::SettingKind::kInteger, "1", false, 1, 64,
       "Threads that run connections."}},
     [] { return std::make_unique<HttpModule>(); }});

}  // namespace
}  // namespace banyanlane::http
