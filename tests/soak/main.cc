#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iostream>

#include "soak/soak.h"

ABSL_FLAG(std::string, binary,
          std::string(BANYANLANE_BINARY_DIR) + "/banyanlane",
          "program to run as the gateways");
ABSL_FLAG(std::string, mix, "",
          "JSON file with the deployment and its traffic");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the traffic and the planned work");
ABSL_FLAG(int, seconds, 120, "length of the run");
ABSL_FLAG(double, rate, 1, "factor of all request rates");
ABSL_FLAG(int, descriptors, 0, "limit on descriptors of each gateway");
ABSL_FLAG(int, processors, 0, "processors that all gateways share");
ABSL_FLAG(int, pause_ms, 2'000, "mean time between two pieces of work");
ABSL_FLAG(bool, stops, true, "whether gateways are stopped");
ABSL_FLAG(bool, reloads, true, "whether settings files change, with SIGHUP");
ABSL_FLAG(bool, configurations, true, "whether configurations are published");

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::ParseCommandLine(argc, argv);
  namespace soak = banyanlane::soak;
  soak::SoakOptions options;
  options.mix = soak::Scaled(soak::LoadMix(absl::GetFlag(FLAGS_mix)),
                             absl::GetFlag(FLAGS_rate));
  options.processes = {absl::GetFlag(FLAGS_binary),
                       absl::GetFlag(FLAGS_descriptors),
                       absl::GetFlag(FLAGS_processors)};
  options.plan = {absl::GetFlag(FLAGS_stops), absl::GetFlag(FLAGS_reloads),
                  absl::GetFlag(FLAGS_configurations),
                  banyanlane::kernel::Millis(absl::GetFlag(FLAGS_pause_ms))};
  options.seed = absl::GetFlag(FLAGS_seed);
  options.duration =
      banyanlane::kernel::Millis(absl::GetFlag(FLAGS_seconds) * 1'000);
  const soak::SoakReport report = soak::RunSoak(std::move(options));
  std::cout << soak::Describe(report);
  return report.findings.empty() && report.unplanned_ends == 0 ? 0 : 1;
}
