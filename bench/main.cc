#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>

#include "bench.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random choices");

namespace banyanlane::bench {

std::vector<Benchmark>& Registry() {
  static std::vector<Benchmark> benchmarks;
  return benchmarks;
}

}  // namespace banyanlane::bench

int main(int argc, char** argv) {
  const auto arguments = absl::ParseCommandLine(argc, argv);
  auto& benchmarks = banyanlane::bench::Registry();
  std::sort(benchmarks.begin(), benchmarks.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  bool any_selected = false;
  for (const auto& benchmark : benchmarks) {
    const bool selected = std::any_of(
        arguments.begin() + 1, arguments.end(), [&](const char* argument) {
          return benchmark.name == argument || std::string(argument) == "all";
        });
    if (!selected) continue;
    any_selected = true;
    fmt::print("{}: {}\n", benchmark.name, benchmark.description);
    benchmark.run(absl::GetFlag(FLAGS_seed));
    fmt::print("\n");
  }
  if (any_selected) return 0;
  fmt::print("usage: banyanlane_bench [--seed=N] all | NAME...\n");
  for (const auto& benchmark : benchmarks) {
    fmt::print("  {:<14} {}\n", benchmark.name, benchmark.description);
  }
  return 2;
}
