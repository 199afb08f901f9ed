#include <memory>

#include "kernel/module_registry.h"
#include "membership/internal/membership_store.h"

namespace banyanlane::membership {
namespace {

using kernel::Role;

/// Exports IMembership.
class MembershipModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    context.Export<IMembership>(std::make_shared<MembershipStore>());
  }
  void Resolve(kernel::ModuleContext& /*context*/) override {}
  void Start() override {}
  void Stop() override {}
};

const kernel::ModuleRegistration kRegistration(
    {"membership",
     {Role::kEntry, Role::kAgent, Role::kGateway, Role::kRank},
     kernel::StartOrder::kBase,
     {},
     [] { return std::make_unique<MembershipModule>(); }});

}  // namespace
}  // namespace banyanlane::membership
