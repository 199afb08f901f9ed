// A gateway serves bookings for less than a minute, some of them in bursts.
// The platform ends processes that exceed their memory.

#include <cmath>
#include <csignal>

#include "harness.h"

namespace review {
namespace {

constexpr int kDeadlineMillis = 8'000;
/// Memory of an edge machine.
constexpr long kMemoryLimitKb = 260 * 1'024;
constexpr std::size_t kBodyBytes = 220'000;
constexpr char kWork[] = "700";
constexpr double kCaseSeconds = 40;
/// Twelve requests a second are the site's traffic divided by its gateways.
constexpr double kRequestsPerSecond = 12;
/// A burst begins at the end of each period without one.
constexpr double kBurstSeconds = 3;
constexpr double kCalmSeconds = 3;
constexpr double kBurstFactor = 1.7;
constexpr int kClients = 40;
/// The rule allows three requests that are closed without an answer.
constexpr int kAllowed = 3;

bool IsBurst(double elapsed) {
  return std::fmod(elapsed, kCalmSeconds + kBurstSeconds) >= kCalmSeconds;
}

int RunCase(const Paths& paths) {
  Record record(paths.record);
  Store store;
  RunLog runs;
  store.Put("op/config", ConfigText(7, {{"r-book", "/book/", "non_idempotent",
                                         "desk", kDeadlineMillis, 1, false}}));
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= 3; ++i)
    servers.push_back(std::make_unique<Server>("i-desk-" + std::to_string(i),
                                               "desk", store, runs));
  Gateway gateway(paths.root, paths.folder, "edge-a-1", store.Address(), {});
  gateway.Start();
  if (!gateway.AwaitReady(20)) {
    record.Line("the gateway did not become ready");
    return kCouldNotRun;
  }
  record.Line("the gateway is ready; memory " +
              std::to_string(gateway.MemoryKb()) + " KB");

  const double start = Seconds();
  std::mutex mutex;
  double next_send_at = start;
  int sent = 0;
  int answered = 0;
  int other = 0;
  std::vector<std::string> unanswered;
  bool stopped = false;
  // Returns the id of the next request once it is due, or "" at the end.
  const auto next_request = [&]() -> std::string {
    double at = 0;
    std::string id;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      const double elapsed = next_send_at - start;
      if (stopped || elapsed >= kCaseSeconds) return "";
      const bool is_burst = HasTrouble() && IsBurst(elapsed);
      at = next_send_at;
      next_send_at +=
          1 / (kRequestsPerSecond * (is_burst ? kBurstFactor : 1.0));
      id = "booking-" + std::to_string(++sent);
    }
    SleepUntil(at);
    return id;
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      auto kept = Connection::Open(gateway.Frontend());
      bool has_served = false;
      for (std::string id = next_request(); !id.empty(); id = next_request()) {
        if (!kept) kept = Connection::Open(gateway.Frontend());
        if (!kept) return;
        Request request =
            MakeRequest("POST", "/book/a", id, kDeadlineMillis, kWork);
        request.body = std::string(kBodyBytes, 'b');
        const Response response = Exchange(*kept, request);
        const std::lock_guard<std::mutex> lock(mutex);
        if (response.complete && response.status == 200) {
          ++answered;
          has_served = true;
        } else if (response.complete) {
          ++other;
        } else {
          if (has_served && !runs.Of(id).empty()) unanswered.push_back(id);
          kept = nullptr;
        }
      }
    });
  }
  double next_line_at = 0;
  while (Seconds() < start + kCaseSeconds + 1) {
    const long memory = gateway.MemoryKb();
    const auto line = [&](const std::string& text) {
      const std::lock_guard<std::mutex> lock(mutex);
      record.Line(text + "; memory " + std::to_string(memory) + " KB, " +
                  std::to_string(answered) + " requests answered");
    };
    if (Seconds() >= next_line_at) {
      line("running");
      next_line_at = Seconds() + 5;
    }
    if (memory > kMemoryLimitKb) {
      gateway.Signal(SIGKILL);
      line("over the limit: the platform ends the gateway");
      break;
    }
    SleepUntil(Seconds() + 0.05);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex);
    stopped = true;
  }
  for (std::thread& client : clients) client.join();
  record.Line("sent " + std::to_string(sent) + ", answered " +
              std::to_string(answered) + ", other answers " +
              std::to_string(other) +
              "; ran, on a kept connection that was closed without an answer " +
              std::to_string(unanswered.size()));
  for (const std::string& id : unanswered) record.Line("unanswered: " + id);
  return static_cast<int>(unanswered.size()) > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::_Exit(review::RunCase(review::ReadPaths(argc, argv)));
}
