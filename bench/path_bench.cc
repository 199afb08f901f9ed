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

/// Records when each part of a stream arrives, and counts its tokens.
class TimedStream : public http::IHttpCallObserver {
 public:
  void OnHead(int /*status*/, const http::Headers& /*headers*/) override {}
  void OnData(std::string_view data) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->arrival_times.push_back(kernel::Clock::now());
    for (std::size_t position = data.find("data: {");
         position != std::string_view::npos;
         position = data.find("data: {", position + 1)) {
      ++this->tokens;
    }
  }
  void OnEnd() override { this->Finish(true); }
  void OnFailed(const kernel::Error& /*error*/,
                http::SendState /*state*/) override {
    this->Finish(false);
  }
  bool IsFinished() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->finished;
  }

  std::mutex mutex;
  kernel::TimePoint start_time = kernel::Clock::now();
  std::vector<kernel::TimePoint> arrival_times;
  int tokens = 0;
  bool finished = false;
  bool complete = false;

 private:
  void Finish(bool is_complete) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->finished = true;
    this->complete = is_complete;
  }
};

/// Results of all streams of one run.
struct StreamResults {
  /// Time from the call to the first part of each stream.
  std::vector<double> first_millis;
  /// Time between each part and the part before it in the same stream.
  std::vector<double> gap_millis;
  int tokens = 0;
  int complete_streams = 0;
  double seconds = 0;  ///< Time until all streams have ended.
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

/// Opens `streams` concurrent streams of `tokens` tokens each and waits until
/// all have ended.
/// @param on_opened called once after all calls have been started; may be null.
StreamResults RunStreams(http::IHttpRuntime& runtime,
                         const std::string& address, int streams, int tokens,
                         const std::function<void()>& on_opened = nullptr) {
  std::vector<std::shared_ptr<TimedStream>> all;
  const auto start_time = kernel::Clock::now();
  for (int i = 0; i < streams; ++i) {
    auto stream = std::make_shared<TimedStream>();
    runtime.Call(address,
                 Fleet::ChatRequest("m" + std::to_string(i), tokens, true), {},
                 stream);
    all.push_back(std::move(stream));
    constexpr int kBurstSize = 20;
    if (i % kBurstSize == kBurstSize - 1) poll(nullptr, 0, 1);
  }
  if (on_opened) on_opened();
  const auto all_finished = [&all] {
    return std::all_of(all.begin(), all.end(),
                       [](const auto& stream) { return stream->IsFinished(); });
  };
  while (!all_finished()) poll(nullptr, 0, 5);
  StreamResults result;
  result.seconds =
      std::chrono::duration<double>(kernel::Clock::now() - start_time).count();
  for (const auto& stream : all) {
    result.tokens += stream->tokens;
    result.complete_streams += stream->complete ? 1 : 0;
    for (std::size_t i = 0; i < stream->arrival_times.size(); ++i) {
      const auto before =
          i == 0 ? stream->start_time : stream->arrival_times[i - 1];
      const double millis = std::chrono::duration<double, std::milli>(
                                stream->arrival_times[i] - before)
                                .count();
      (i == 0 ? result.first_millis : result.gap_millis).push_back(millis);
    }
  }
  return result;
}

void PrintResults(const std::string& target, int streams,
                  const StreamResults& results) {
  fmt::print(
      "{:<10} {:>7} {:>6} {:>9.0f} {:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f} "
      "{:>8.2f} {:>8.2f}\n",
      target, streams, results.complete_streams,
      results.tokens / results.seconds, Quantile(results.first_millis, 0.5),
      Quantile(results.first_millis, 0.95),
      Quantile(results.first_millis, 0.99), Quantile(results.gap_millis, 0.5),
      Quantile(results.gap_millis, 0.95), Quantile(results.gap_millis, 0.99));
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
  const double loopback_bytes_before = LoopbackBytes();
  const double idle_entry_seconds_before = CpuSeconds(fleet.Pid("e1"));
  const double idle_agent_seconds_before = CpuSeconds(fleet.Pid("m1"));
  poll(nullptr, 0, kIdleMillis);
  constexpr double kIdleSeconds = kIdleMillis / 1'000.0;
  fmt::print(
      "idle: entry {:.2f}% of a core, {:.1f} MB; agent {:.2f}%, {:.1f} MB; ",
      (CpuSeconds(fleet.Pid("e1")) - idle_entry_seconds_before) / kIdleSeconds *
          100,
      MemoryMegabytes(fleet.Pid("e1"), "VmRSS:"),
      (CpuSeconds(fleet.Pid("m1")) - idle_agent_seconds_before) / kIdleSeconds *
          100,
      MemoryMegabytes(fleet.Pid("m1"), "VmRSS:"));
  fmt::print(
      "{:.0f} bytes/s over all links of 1 entry and 2 agents, platform reads "
      "included\n",
      (LoopbackBytes() - loopback_bytes_before) / kIdleSeconds);

  fmt::print("{:<10} {:>7} {:>6} {:>9} {:>26} {:>26}\n", "", "", "", "",
             "first part ms", "between parts ms");
  fmt::print("{:<10} {:>7} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
             "way", "streams", "whole", "tokens/s", "p50", "p95", "p99", "p50",
             "p95", "p99");
  constexpr int kTokens = 200;
  for (const int streams : {1, 20, 60}) {
    PrintResults(
        "direct", streams,
        RunStreams(*runtime, fleet.Address("standin-m1"), streams, kTokens));
    PrintResults("through", streams,
                 RunStreams(*runtime, fleet.Address("e1"), streams, kTokens));
  }
  const auto cpu_seconds = [&](const std::string& name) {
    return CpuSeconds(fleet.Pid(name));
  };
  const double entry_seconds_before = cpu_seconds("e1");
  const double agent_seconds_before = cpu_seconds("m1") + cpu_seconds("m2");
  const StreamResults result =
      RunStreams(*runtime, fleet.Address("e1"), 60, 600);
  fmt::print(
      "processor time per token: entry {:.1f} us, agent {:.1f} us ({} "
      "tokens)\n",
      (cpu_seconds("e1") - entry_seconds_before) / result.tokens * 1e6,
      (cpu_seconds("m1") + cpu_seconds("m2") - agent_seconds_before) /
          result.tokens * 1e6,
      result.tokens);
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
    const StreamResults result =
        RunStreams(*runtime, fleet.Address("e1"), streams, 200);
    double agent_megabytes = 0;
    for (int i = 1; i <= 4; ++i) {
      agent_megabytes +=
          MemoryMegabytes(fleet.Pid("m" + std::to_string(i)), "VmHWM:") / 4;
    }
    fmt::print("{:>8} {:>6} {:>10.1f} {:>15.1f}\n", streams,
               result.complete_streams,
               MemoryMegabytes(fleet.Pid("e1"), "VmHWM:"), agent_megabytes);
  }
}

const Registration kPath({"path",
                          "latency and processor time that entry and agent add",
                          MeasurePath});
const Registration kMemory({"memory", "peak memory by number of open streams",
                            MeasureMemory});

}  // namespace
}  // namespace banyanlane::bench
