#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "app/process_signals.h"
#include "app/role_process.h"
#include "config/i_config.h"
#include "http/i_http_runtime.h"
#include "kernel/event_log.h"

ABSL_FLAG(std::string, settings, "", "INI file with the settings of the role");
ABSL_FLAG(std::string, profile, "", "profile of the request (explain)");
ABSL_FLAG(std::string, prefix, "", "text of the first message (explain)");

namespace banyanlane::app {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr kernel::Millis kAdminTimeout{3'000};
/// Longest time to write the last log lines of a process.
constexpr kernel::Millis kLogTimeout{100};

constexpr char kUsage[] =
    R"(load balancer for expert-parallel model groups

  banyanlane entry --settings=FILE     run an entry: accepts requests from callers
  banyanlane agent --settings=FILE     run an agent: controls all access to one endpoint
  banyanlane gateway --settings=FILE   run a gateway: an entry that calls endpoints directly
  banyanlane check FILE                check a configuration before it is published
  banyanlane rank --settings=FILE      run a rank agent: balances experts across the ranks of a group
  banyanlane settings ROLE             list the settings of entry, agent, gateway or rank
  banyanlane events                    list the log events
  banyanlane status ADDRESS            show the status of the process with this admin address
  banyanlane audit ADDRESS             show the latest changes of the process
  banyanlane explain ADDRESS --profile=NAME [--prefix=TEXT]
                                       show where a request would go, and why
)";

int Fail(const kernel::Error& error) {
  std::cerr << "banyanlane: " << kernel::Describe(error) << "\n";
  return kExitFailed;
}

int RunRole(kernel::Role role) {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "banyanlane: --settings=FILE is required\n";
    return kExitUsage;
  }
  const ProcessSignals signals;
  kernel::StartLog();
  auto assembled = RoleProcess::Assemble(role, path);
  if (const kernel::Error* error = kernel::ErrorOf(assembled))
    return Fail(*error);
  const int status = std::get<0>(assembled)->Run(signals);
  if (!kernel::StopLog(kLogTimeout)) std::_Exit(status);
  return status;
}

int CheckConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail({kernel::ErrorCode::kInvalidConfig, "check", "",
                 path + ": cannot be opened"});
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto parsed = config::ParseConfig(text.str(), path);
  if (const kernel::Error* error = kernel::ErrorOf(parsed)) return Fail(*error);
  const auto& snapshot = std::get<config::ConfigSnapshot>(parsed);
  std::cout << path << ": good, " << snapshot.profiles.size() << " profiles, "
            << snapshot.groups.size() << " groups, digest " << snapshot.digest
            << "\n";
  return kExitOk;
}

int ShowAdminPage(const std::string& address, const std::string& target) {
  http::HttpRequest request;
  request.target = target;
  const auto response = http::Fetch(address, request, kAdminTimeout);
  if (const kernel::Error* error = kernel::ErrorOf(response))
    return Fail(*error);
  std::cout << std::get<0>(response).body;
  return kExitOk;
}

int ListSettings(const std::string& role_name) {
  const auto role = kernel::ParseRole(role_name);
  if (!role) {
    std::cerr << "banyanlane: there is no role '" << role_name << "'\n";
    return kExitUsage;
  }
  for (const auto& field : kernel::ModuleRegistry::Instance().SchemaOf(*role)) {
    const std::string default_text =
        field.required ? "required" : "default '" + field.default_text + "'";
    std::cout << "[" << field.section << "] " << field.key << " ("
              << default_text << "): " << field.meaning << "\n";
  }
  return kExitOk;
}

int ListEvents() {
  for (const kernel::EventRow& row : kernel::EventCatalogue()) {
    std::printf("BL%04d %s: %s\n", static_cast<int>(row.id),
                std::string(row.name).c_str(),
                std::string(row.meaning).c_str());
  }
  return kExitOk;
}

/// Lets large blocks of memory be mapped, so that they are returned to the
/// system when they are freed. By default the size from which this holds grows
/// with the blocks that are freed, and others keep what lies between them.
void MapLargeBlocks() {
  constexpr int kMappedBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

int RunCommand(const std::vector<std::string>& arguments) {
  const std::string command = arguments.empty() ? "" : arguments[0];
  if (const auto role = kernel::ParseRole(command)) return RunRole(*role);
  if (command == "events") return ListEvents();
  if (arguments.size() == 2) {
    if (command == "check") return CheckConfig(arguments[1]);
    if (command == "settings") return ListSettings(arguments[1]);
    if (command == "status") return ShowAdminPage(arguments[1], "/status");
    if (command == "audit") return ShowAdminPage(arguments[1], "/audit");
    if (command == "explain") {
      return ShowAdminPage(
          arguments[1],
          "/explain?profile=" +
              http::EncodeQuery(absl::GetFlag(FLAGS_profile)) +
              "&prefix=" + http::EncodeQuery(absl::GetFlag(FLAGS_prefix)));
    }
  }
  std::cerr << "banyanlane: " << kUsage;
  return kExitUsage;
}

}  // namespace
}  // namespace banyanlane::app

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  banyanlane::app::MapLargeBlocks();
  absl::SetProgramUsageMessage(banyanlane::app::kUsage);
  const std::vector<char*> parsed = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> arguments(parsed.begin() + 1, parsed.end());
  try {
    return banyanlane::app::RunCommand(arguments);
  } catch (const std::exception& failure) {
    std::cerr << "banyanlane: " << failure.what() << "\n";
    return 1;
  }
}
