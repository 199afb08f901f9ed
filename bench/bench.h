#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanlane::bench {

/// A benchmark, which prints its results as a table. The same seed gives the
/// same table, unless the benchmark measures time, memory or traffic.
struct Benchmark {
  std::string name;
  std::string description;  ///< One line, printed above the table.
  std::function<void(std::uint64_t seed)> run;
};

/// Returns all registered benchmarks.
std::vector<Benchmark>& Registry();

/// Registers a benchmark when constructed as a static object.
struct Registration {
  explicit Registration(Benchmark benchmark) {
    Registry().push_back(std::move(benchmark));
  }
};

}  // namespace banyanlane::bench
