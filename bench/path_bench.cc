#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <mutex>

#include "bench.h"
#include "proc_stat.h"
#include "processes/fleet.h"

namespace banyanlane::bench {
namespace {

using processes::Fleet;

constexpr char kConfig[] = R"(
[profile:chat]
class = chat
service = model
deadline_ms = 120000
attempt_timeout_ms = 60000
max_output_tokens = 100000
organisation_concurrency = 100000
resume_grace_ms = 0
)";

/// Notes when each part of a stream came.
class TimedStream : public http::IHttpCallObserver {
 public:
  void OnHead(int /*status*/, const http::Headers& /*headers*/) override {}
  void OnData(std::string_view data) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->times.push_back(kernel::Clock::now());
    for (std::size_t at = data.find("data: {"); at != std::string_view::npos;
         at = data.find("data: {", at + 1)) {
      ++this->tokens;
    }
  }
  void OnEnd() override { this->Over(true); }
  void OnFailed(const kernel::Error& /*error*/,
                http::SendState /*state*/) override {
    this->Over(false);
  }
  bool IsOver() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->over;
  }

  std::mutex mutex;
  kernel::TimePoint begun = kernel::Clock::now();
  std::vector<kernel::TimePoint> times;
  int tokens = 0;
  bool over = false;
  bool whole = false;

 private:
  void Over(bool ended_whole) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->over = true;
    this->whole = ended_whole;
  }
};

struct LoadResult {
  std::vector<double> first_millis;
  std::vector<double> gap_millis;
  int tokens = 0;
  int whole = 0;
  double seconds = 0;
};

double At(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

/// Opens `streams` at a time of `tokens` tokens each.
LoadResult Load(http::IHttpRuntime& runtime, const std::string& address,
                int streams, int tokens,
                const std::function<void()>& when_open = nullptr) {
  std::vector<std::shared_ptr<TimedStream>> all;
  const auto begun = kernel::Clock::now();
  for (int i = 0; i < streams; ++i) {
    auto stream = std::make_shared<TimedStream>();
    runtime.Call(address,
                 Fleet::ChatRequest("m" + std::to_string(i), tokens, true), {},
                 stream);
    all.push_back(std::move(stream));
    constexpr int kStarts = 20;
    if (i % kStarts == kStarts - 1) poll(nullptr, 0, 1);
  }
  if (when_open) when_open();
  const auto done = [&all] {
    return std::all_of(all.begin(), all.end(),
                       [](const auto& stream) { return stream->IsOver(); });
  };
  while (!done()) poll(nullptr, 0, 5);
  LoadResult result;
  result.seconds =
      std::chrono::duration<double>(kernel::Clock::now() - begun).count();
  for (const auto& stream : all) {
    result.tokens += stream->tokens;
    result.whole += stream->whole ? 1 : 0;
    for (std::size_t i = 0; i < stream->times.size(); ++i) {
      const auto before = i == 0 ? stream->begun : stream->times[i - 1];
      const double millis =
          std::chrono::duration<double, std::milli>(stream->times[i] - before)
              .count();
      (i == 0 ? result.first_millis : result.gap_millis).push_back(millis);
    }
  }
  return result;
}

void PrintLoad(const std::string& way, int streams, const LoadResult& r) {
  fmt::print(
      "{:<10} {:>7} {:>6} {:>9.0f} {:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f} "
      "{:>8.2f} {:>8.2f}\n",
      way, streams, r.whole, r.tokens / r.seconds, At(r.first_millis, 0.5),
      At(r.first_millis, 0.95), At(r.first_millis, 0.99), At(r.gap_millis, 0.5),
      At(r.gap_millis, 0.95), At(r.gap_millis, 0.99));
}

void MeasurePath(std::uint64_t /*seed*/) {
  Fleet fleet;
  fleet.StartPlatform(kConfig);
  for (int i = 1; i <= 2; ++i)
    fleet.AddEndpoint("m" + std::to_string(i), "engine", "model");
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 2);
  const auto runtime = http::MakeHttpRuntime();
  runtime->Start(1);

  constexpr int kIdleMillis = 5'000;
  const double bytes_before = LoopbackBytes();
  const double entry_before = CpuSeconds(fleet.Pid("e1"));
  const double agent_before = CpuSeconds(fleet.Pid("m1"));
  poll(nullptr, 0, kIdleMillis);
  constexpr double kIdleSeconds = kIdleMillis / 1'000.0;
  fmt::print(
      "idle: entry {:.2f}% of a core, {:.1f} MB; agent {:.2f}%, {:.1f} MB; ",
      (CpuSeconds(fleet.Pid("e1")) - entry_before) / kIdleSeconds * 100,
      MemoryMegabytes(fleet.Pid("e1"), "VmRSS:"),
      (CpuSeconds(fleet.Pid("m1")) - agent_before) / kIdleSeconds * 100,
      MemoryMegabytes(fleet.Pid("m1"), "VmRSS:"));
  fmt::print(
      "{:.0f} bytes/s over all links of 1 entry and 2 agents, platform reads "
      "included\n",
      (LoopbackBytes() - bytes_before) / kIdleSeconds);

  fmt::print("{:<10} {:>7} {:>6} {:>9} {:>26} {:>26}\n", "", "", "", "",
             "first part ms", "between parts ms");
  fmt::print("{:<10} {:>7} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
             "way", "streams", "whole", "tokens/s", "p50", "p95", "p99", "p50",
             "p95", "p99");
  constexpr int kTokens = 200;
  for (const int streams : {1, 20, 60}) {
    PrintLoad("direct", streams,
              Load(*runtime, fleet.Address("standin-m1"), streams, kTokens));
    PrintLoad("through", streams,
              Load(*runtime, fleet.Address("e1"), streams, kTokens));
  }
  const auto cpu = [&](const std::string& name) {
    return CpuSeconds(fleet.Pid(name));
  };
  const double entry_cpu = cpu("e1");
  const double agents_cpu = cpu("m1") + cpu("m2");
  const LoadResult loaded = Load(*runtime, fleet.Address("e1"), 60, 600);
  fmt::print(
      "processor time per token: entry {:.1f} us, agent {:.1f} us ({} "
      "tokens)\n",
      (cpu("e1") - entry_cpu) / loaded.tokens * 1e6,
      (cpu("m1") + cpu("m2") - agents_cpu) / loaded.tokens * 1e6,
      loaded.tokens);
}

void MeasureMemory(std::uint64_t /*seed*/) {
  Fleet fleet;
  fleet.token_millis = 27;
  fleet.StartPlatform(kConfig);
  for (int i = 1; i <= 4; ++i) {
    fleet.AddEndpoint("m" + std::to_string(i), "engine", "model", false,
                      "slots=2000\ntoken_capacity=1000000000\n");
  }
  fleet.AddEntry("e1");
  fleet.PublishInstances();
  fleet.AwaitEndpoints("e1", 4);
  const auto runtime = http::MakeHttpRuntime();
  runtime->Start(1);
  fmt::print("{:>8} {:>6} {:>10} {:>15}\n", "streams", "whole", "entry MB",
             "agents MB each");
  for (const int streams : {0, 250, 500, 1'000}) {
    const LoadResult result = Load(*runtime, fleet.Address("e1"), streams, 200);
    double agents = 0;
    for (int i = 1; i <= 4; ++i) {
      agents +=
          MemoryMegabytes(fleet.Pid("m" + std::to_string(i)), "VmHWM:") / 4;
    }
    fmt::print("{:>8} {:>6} {:>10.1f} {:>15.1f}\n", streams, result.whole,
               MemoryMegabytes(fleet.Pid("e1"), "VmHWM:"), agents);
  }
}

const Registration kPath({"path",
                          "time and processor time that the system adds",
                          MeasurePath});
const Registration kMemory({"memory", "peak memory by open streams",
                            MeasureMemory});

}  // namespace
}  // namespace banyanlane::bench
