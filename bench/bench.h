#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanlane::bench {

/// One question that a benchmark answers with one table. The same seed gives
/// the same table, except where the question is about time.
struct Benchmark {
  std::string name;
  std::string question;
  std::function<void(std::uint64_t seed)> run;
};

/// Benchmarks that registered themselves, by name.
std::vector<Benchmark>& Registry();

/// Registers a benchmark while static objects are initialised.
struct Registration {
  explicit Registration(Benchmark benchmark) {
    Registry().push_back(std::move(benchmark));
  }
};

}  // namespace banyanlane::bench
