#include <sys/resource.h>

#include <algorithm>
#include <memory>

#include "http/i_http_runtime.h"
#include "kernel/module_registry.h"

namespace banyanlane::http {
namespace {

using kernel::Role;
using kernel::SettingKind;

/// Descriptors that are not for sockets: files, pipes and the library's own.
constexpr std::uint64_t kFileDescriptors = 200;
/// Where the process's limit is lower or not known.
constexpr std::uint64_t kFewestDescriptors = 400;
/// Part of the sockets that callers may have. Each request that is sent on
/// needs one more, and links to other processes do.
constexpr double kCallerPart = 0.75;
/// Part of the memory that bodies may take. Each is held twice while it is sent
/// on, and the rest of the process needs half of the memory.
constexpr std::uint64_t kBodyPart = 8;
constexpr std::uint64_t kMegabyte = std::uint64_t{1024} * 1024;

/// Returns the descriptors that the process may have.
std::uint64_t DescriptorsOf(const kernel::Settings& settings) {
  const std::int64_t set = settings.Integer("http", "descriptors");
  if (set > 0) return static_cast<std::uint64_t>(set);
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kFewestDescriptors;
  return std::max<std::uint64_t>(limit.rlim_cur, kFewestDescriptors);
}

ServerCapacity ReadCapacity(const kernel::Settings& settings) {
  const std::uint64_t descriptors =
      std::max(DescriptorsOf(settings), kFewestDescriptors);
  ServerCapacity capacity;
  capacity.connections = static_cast<std::size_t>(
      static_cast<double>(descriptors - kFileDescriptors) * kCallerPart);
  capacity.body_bytes =
      static_cast<std::uint64_t>(settings.Integer("http", "memory_mb")) *
      kMegabyte / kBodyPart;
  return capacity;
}

/// Exports IHttpRuntime and runs its threads.
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
       "Threads that run connections."},
      {"http", "descriptors", SettingKind::kInteger, "0", false, 0, 10'000'000,
       "File descriptors the process may have; 0: what its own limit says."},
      {"http", "memory_mb", SettingKind::kInteger, "256", false, 16, 1'000'000,
       "Memory the process may have; an eighth of it is for bodies."}},
     [] { return std::make_unique<HttpModule>(); }});

}  // namespace
}  // namespace banyanlane::http
