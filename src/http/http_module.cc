#include <algorithm>
#include <memory>

#include "http/i_http_runtime.h"
#include "kernel/descriptors.h"
#include "kernel/module_registry.h"

namespace banyanlane::http {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Fraction of the descriptors for sockets that caller connections may use. The
/// rest is for forwarded requests, which need a second socket, and for links.
constexpr double kCallerSocketFraction = 0.75;
// Each of these uses may take the memory of the process divided by its number.
// A body is stored twice while it is forwarded.
constexpr std::uint64_t kBodyMemoryDivisor = 8;
constexpr std::uint64_t kHeadMemoryDivisor = 16;
constexpr std::uint64_t kResponseMemoryDivisor = 4;
constexpr std::uint64_t kConnectionMemoryDivisor = 4;
/// Memory of a connection that receives a request: the read buffer, and the
/// stack of its coroutine.
constexpr std::uint64_t kConnectionBytes = std::uint64_t{40} * 1024;
constexpr std::uint64_t kMegabyte = std::uint64_t{1024} * 1024;

ServerCapacity ReadCapacity(const kernel::Settings& settings) {
  const std::uint64_t memory =
      static_cast<std::uint64_t>(settings.Integer("http", "memory_mb")) *
      kMegabyte;
  ServerCapacity capacity;
  capacity.connections =
      std::min(static_cast<std::uint64_t>(
                   static_cast<double>(kernel::SocketDescriptors(settings)) *
                   kCallerSocketFraction),
               memory / kConnectionMemoryDivisor / kConnectionBytes);
  capacity.body_bytes = memory / kBodyMemoryDivisor;
  capacity.response_bytes = memory / kResponseMemoryDivisor;
  capacity.head_bytes = memory / kHeadMemoryDivisor;
  capacity.chunk_overhead =
      static_cast<std::uint32_t>(settings.Integer("http", "chunk_overhead"));
  return capacity;
}

/// Exports IHttpRuntime and runs its thread pool.
class HttpModule : public kernel::IModule {
 public:
  void Export(kernel::ModuleContext& context) override {
    this->threads =
        static_cast<int>(context.settings().Integer("http", "threads"));
    this->runtime = MakeHttpRuntime(ReadCapacity(context.settings()));
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
     {{"http", "threads", SettingKind::kInteger, "1", false, 1, 64,
       "Number of threads that serve connections."},
      {"http", "descriptors", SettingKind::kInteger, "0", false, 0, 10'000'000,
       "Maximum number of file descriptors; 0 uses the limit of the process."},
      {"http", "memory_mb", SettingKind::kInteger, "256", false, 16, 1'000'000,
       "Memory of the process in MB; an eighth is available for request "
       "bodies."},
      {"http", "chunk_overhead", SettingKind::kInteger, "16", false, 5, 1'000,
       "Maximum number of bytes that frame one byte of a chunked request body, "
       "on average."},
      {"http", "patience_ms", SettingKind::kInteger, "2000", false, 100, 60'000,
       "Milliseconds after which an incomplete request, or a response that is "
       "not taken, gives way to others that need its place or memory."}},
     [] { return std::make_unique<HttpModule>(); }});

}  // namespace
}  // namespace banyanlane::http
