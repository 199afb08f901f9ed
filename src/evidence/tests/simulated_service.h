#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "evidence/crash_attribution.h"
#include "limits/internal/shared_rate_limits.h"

namespace banyanlane::evidence {

/// Gateways in simulated time that send requests with the same work to the
/// endpoints of a service, and exchange their evidence over links with delays.
class SimulatedService {
 public:
  /// @param gateways number of gateways; each is linked to at most 96 others.
  /// @param endpoints number of endpoints.
  /// @param per_second requests a second at all gateways together.
  SimulatedService(std::size_t gateways, std::size_t endpoints,
                   double per_second, std::uint64_t seed);

  /// Lets `span` pass.
  void Run(kernel::Millis span);
  /// Sets whether the work crashes each endpoint that runs it.
  void SetCrashing(bool crashing) { this->is_crashing = crashing; }
  /// Ends this many endpoints at the same moment, each while it runs the work.
  /// They start again later.
  void LosePower(std::size_t count);

  /// Returns the number of requests that were refused as quarantined, or waited
  /// in vain for a permit while an endpoint was up.
  int Refused() const { return this->refused; }
  /// Returns the number of endpoints that the work has crashed.
  int Crashes() const { return static_cast<int>(this->crash_times.size()); }
  /// Returns the number of attempts that reached endpoints later than `span`
  /// after the third crash by the work.
  int AttemptsAfterThirdCrash(kernel::Millis span) const;
  kernel::TimePoint Now() const { return this->now; }

 private:
  struct Request {
    std::size_t gateway = 0;
    int attempts = 0;         ///< Attempts at this gateway.
    int caller_attempts = 0;  ///< Times that the caller has sent it.
    kernel::TimePoint wait_until;
    kernel::TimePoint sent_at;
  };
  struct Endpoint {
    bool is_up = true;
    int incarnation = 0;
    std::vector<Request> running;
  };

  void At(kernel::TimePoint time, std::function<void()> event);
  void ScheduleArrival();
  void Arrive(Request request);
  void Dispatch(Request request);
  void Finish(std::size_t endpoint, int incarnation, const Request& request);
  void Crash(std::size_t endpoint);
  void Report(const Request& request, const std::string& crash,
              kernel::TimePoint lost_at);
  void Retry(const Request& request);
  void Send(std::size_t gateway, const CrashAttribution::Reports& reports,
            std::size_t except);
  void Deliver(std::size_t from, std::size_t to,
               const link::WorkReport& report);
  /// Passes changes of the status of the work on to the permits.
  void ApplyChanges(std::size_t gateway);
  /// Lets a gateway request and hand out permits, and sends its messages.
  void StepPermits(std::size_t gateway);
  void StepAllPermits();
  void ExpireEvidence();
  bool AreLinked(std::size_t left, std::size_t right) const;
  kernel::Millis Draw(int least, int most);

  kernel::TimePoint now;
  std::minstd_rand random;
  double per_second;
  bool is_crashing = false;
  std::multimap<kernel::TimePoint, std::function<void()>> events;
  std::vector<std::unique_ptr<CrashAttribution>> gateways;
  /// Permits of each gateway. The number of a link is that of the gateway at
  /// its other end.
  std::vector<std::unique_ptr<limits::SharedRateLimits>> permits;
  std::vector<Endpoint> endpoints;
  int refused = 0;
  std::vector<kernel::TimePoint> crash_times;
  std::vector<kernel::TimePoint> attempt_times;
};

}  // namespace banyanlane::evidence
