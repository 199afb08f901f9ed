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
  const auto words = absl::ParseCommandLine(argc, argv);
  auto& benchmarks = banyanlane::bench::Registry();
  std::sort(benchmarks.begin(), benchmarks.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  bool found = false;
  for (const auto& benchmark : benchmarks) {
    const bool wanted =
        std::any_of(words.begin() + 1, words.end(), [&](const char* word) {
          return benchmark.name == word || std::string(word) == "all";
        });
    if (!wanted) continue;
    found = true;
    fmt::print("{}: {}\n", benchmark.name, benchmark.question);
    benchmark.run(absl::GetFlag(FLAGS_seed));
    fmt::print("\n");
  }
  if (found) return 0;
  fmt::print("banyanlane_bench NAME... [--seed=N], or all:\n");
  for (const auto& benchmark : benchmarks) {
    fmt::print("  {:<14} {}\n", benchmark.name, benchmark.question);
  }
  return 2;
}
