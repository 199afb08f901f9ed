#include <memory>
#include <stdexcept>

#include "kernel/descriptors.h"
#include "kernel/metrics.h"
#include "kernel/module_registry.h"
#include "link/internal/link_security.h"
#include "link/internal/ws_hub.h"

namespace banyanlane::link {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Connections that other processes open may use the descriptors for sockets
/// divided by this number, if no maximum is set.
constexpr std::uint64_t kAcceptedDivisor = 8;

/// Returns a hub with plain or TLS links, as configured.
/// @throws std::runtime_error when the certificates can't be loaded.
std::shared_ptr<ILinkHub> MakeHub(
    const LinkLimits& limits, const kernel::Settings& settings,
    const std::shared_ptr<kernel::Metrics>& metrics) {
  if (settings.Boolean("tls", "plain_links")) {
    return std::make_shared<WsHub<PlainSecurity>>(limits, PlainSecurity{},
                                                  metrics);
  }
  auto security = TlsSecurity::Load({settings.Text("tls", "certificate"),
                                     settings.Text("tls", "key"),
                                     settings.Text("tls", "authority")});
  if (const kernel::Error* error = kernel::ErrorOf(security)) {
    throw std::runtime_error(kernel::Describe(*error) +
                             " (or set plain_links = true in [tls])");
  }
  return std::make_shared<WsHub<TlsSecurity>>(
      limits, std::get<TlsSecurity>(std::move(security)), metrics);
}

/// Returns the maximum number of connections that other processes may open.
std::size_t MaxAccepted(const kernel::Settings& settings) {
  const std::int64_t configured = settings.Integer("link", "max_accepted");
  if (configured > 0) return static_cast<std::size_t>(configured);
  return static_cast<std::size_t>(kernel::SocketDescriptors(settings) /
                                  kAcceptedDivisor);
}

/// Exports ILinkHub and runs its thread.
class LinkModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    LinkLimits limits;
    limits.heartbeat_period =
        kernel::Millis(context.settings().Integer("link", "heartbeat_ms"));
    limits.missed_heartbeats =
        static_cast<int>(context.settings().Integer("link", "misses"));
    limits.max_accepted = MaxAccepted(context.settings());
    this->hub =
        MakeHub(limits, context.settings(), context.Resolve<kernel::Metrics>());
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
     {Role::kEntry, Role::kAgent, Role::kGateway, Role::kRank},
     kernel::StartOrder::kLink,
     {{"link", "heartbeat_ms", SettingKind::kInteger, "1000", false, 10, 60'000,
       "Milliseconds between heartbeats to a peer."},
      {"link", "misses", SettingKind::kInteger, "3", false, 2, 20,
       "Number of missed heartbeats after which a link counts as silent."},
      {"link", "max_accepted", SettingKind::kInteger, "0", false, 0, 1'000'000,
       "Maximum number of open connections that other processes have opened; 0 "
       "uses an eighth of the descriptors."},
      {"tls", "certificate", SettingKind::kText, "", false, 0, 0,
       "File with this node's certificate; its common name is the node's id."},
      {"tls", "key", SettingKind::kText, "", false, 0, 0,
       "File with the private key of the certificate."},
      {"tls", "authority", SettingKind::kText, "", false, 0, 0,
       "File with the certificate of the authority that signs all nodes' "
       "certificates."},
      {"tls", "plain_links", SettingKind::kBoolean, "false", false, 0, 0,
       "Whether links are plain text, without authentication of the peer."}},
     [] { return std::make_unique<LinkModule>(); }});

}  // namespace
}  // namespace banyanlane::link
