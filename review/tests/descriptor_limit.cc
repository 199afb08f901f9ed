// A gateway serves bookings for less than a minute, some of them in bursts.
// Each client opens a connection, sends one booking and closes.

#include <cmath>

#include "harness.h"

namespace review {
namespace {

/// Descriptors of an edge machine.
constexpr int kDescriptors = 4'100;
/// `timeoutMs` of the route, and the clients' deadline.
constexpr int kTimeoutMillis = 1'500;
/// Time after which a request that has no answer counts, see the rule.
constexpr int kLateMillis = 500;
constexpr char kWork[] = "5";
constexpr double kCaseSeconds = 42;
/// The site's traffic.
constexpr double kRequestsPerSecond = 84;
/// A burst begins at the end of each period without one.
constexpr double kBurstSeconds = 3;
constexpr double kCalmSeconds = 3;
constexpr double kBurstFactor = 1.7;
/// The rule allows fewer than this, or a quarter of the slow requests.
constexpr int kTooMany = 8;

struct Counts {
  int answered = 0;
  int refused = 0;
  int closed = 0;  ///< Closed without an answer before the timeout.
  /// Without a final answer kLateMillis after the timeout.
  int unanswered = 0;
  /// Requests that lasted longer than the timeout, answered or not.
  int slow = 0;
};

bool IsBurst(double elapsed) {
  return std::fmod(elapsed, kCalmSeconds + kBurstSeconds) >= kCalmSeconds;
}

int RunCase(const Paths& paths) {
  Record record(paths.record);
  Store store;
  RunLog runs;
  store.Put("op/config", ConfigText(7, {{"r-book", "/book/", "non_idempotent",
                                         "desk", kTimeoutMillis, 1, false}}));
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= 3; ++i)
    servers.push_back(std::make_unique<Server>("i-desk-" + std::to_string(i),
                                               "desk", store, runs));
  Gateway gateway(paths.root, paths.folder, "edge-a-1", store.Address(), {});
  gateway.SetDescriptorLimit(kDescriptors);
  gateway.ChangeSettings({});
  gateway.Start();
  if (!gateway.AwaitReady(20)) {
    record.Line("the gateway did not become ready");
    return kCouldNotRun;
  }
  record.Line("the gateway is ready");

  const double start = Seconds();
  std::mutex mutex;
  std::vector<Counts> by_period(20);
  constexpr double kPeriodSeconds = 3;
  std::atomic<int> open_clients{0};
  const auto book = [&](int number, std::size_t period) {
    const double sent_at = Seconds();
    const auto connection = Connection::Open(gateway.Frontend());
    Response response;
    bool has_timed_out = false;
    if (connection) {
      connection->SetReadTimeout(kTimeoutMillis + kLateMillis);
      response =
          Exchange(*connection, MakeRequest("POST", "/book/a",
                                            "booking-" + std::to_string(number),
                                            kTimeoutMillis, kWork));
      has_timed_out =
          Seconds() - sent_at >= (kTimeoutMillis + kLateMillis) / 1e3;
    }
    const bool is_slow = Seconds() - sent_at > kTimeoutMillis / 1e3;
    const std::lock_guard<std::mutex> lock(mutex);
    Counts& counts = by_period[period];
    if (is_slow) ++counts.slow;
    if (response.complete && response.status == 200) {
      ++counts.answered;
    } else if (response.complete) {
      ++counts.refused;
    } else if (has_timed_out) {
      ++counts.unanswered;
    } else {
      ++counts.closed;
    }
    --open_clients;
  };
  int sent = 0;
  double send_at = start;
  std::size_t last_period = 0;
  while (send_at < start + kCaseSeconds) {
    SleepUntil(send_at);
    const double elapsed = send_at - start;
    const bool is_burst = HasTrouble() && IsBurst(elapsed);
    send_at += 1 / (kRequestsPerSecond * (is_burst ? kBurstFactor : 1.0));
    const auto period = static_cast<std::size_t>(elapsed / kPeriodSeconds);
    if (period != last_period) {
      record.Line("sent " + std::to_string(sent) +
                  "; the gateway has open descriptors " +
                  std::to_string(gateway.OpenDescriptors()) + ", memory " +
                  std::to_string(gateway.MemoryKb()) + " KB");
      last_period = period;
    }
    ++sent;
    ++open_clients;
    std::thread(book, sent, period).detach();
  }
  while (open_clients > 0) SleepUntil(Seconds() + 0.1);
  Counts total;
  for (std::size_t i = 0; i <= last_period; ++i) {
    const Counts& counts = by_period[i];
    record.Line("sent from " + std::to_string(i * 3) + " s on: answered " +
                std::to_string(counts.answered) + ", refused " +
                std::to_string(counts.refused) + ", closed without an answer " +
                std::to_string(counts.closed) +
                ", no answer 0.5 s after the route's timeout " +
                std::to_string(counts.unanswered));
    total.unanswered += counts.unanswered;
    total.slow += counts.slow;
  }
  record.Line("requests longer than the route's timeout: " +
              std::to_string(total.slow) + ", of these without an answer " +
              "0.5 s after it: " + std::to_string(total.unanswered));
  const bool is_broken =
      total.unanswered >= kTooMany && total.unanswered * 4 > total.slow;
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::_Exit(review::RunCase(review::ReadPaths(argc, argv)));
}
