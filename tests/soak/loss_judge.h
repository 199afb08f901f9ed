#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "soak/traffic_mix.h"

namespace banyanlane::soak {

/// How a request ended for its caller.
enum class Ending {
  kComplete,     ///< A complete response arrived.
  kTruncated,    ///< The connection ended within the response.
  kNoResponse,   ///< The connection ended before the response.
  kCallerLeft,   ///< The caller closed the connection.
  kNotConnected  ///< The request was not sent.
};

/// Returns the name of `ending` in reports.
std::string_view EndingName(Ending ending);

/// One request of a caller, as its socket showed it.
struct SentRequest {
  std::string id;
  const RequestSpec* spec = nullptr;
  std::string gateway;
  bool on_kept_connection = false;
  kernel::TimePoint sent_at;  ///< When its last byte was sent.
  /// When the caller stops waiting. It may be earlier than its class says, as
  /// connecting and an earlier attempt take a part of the time.
  kernel::TimePoint deadline = kernel::TimePoint::max();
  kernel::TimePoint ended_at;
  Ending ending = Ending::kNotConnected;
  int status = 0;                 ///< 0 if no response head arrived.
  kernel::Millis retry_after{0};  ///< Named by a refusal.
  /// Whether a complete success has the body that the server sent.
  bool has_whole_body = true;
};

/// Planned work of the operator.
enum class PlannedWork { kNone, kStop, kReload, kConfiguration };

/// Returns the name of `work` in reports.
std::string_view PlannedWorkName(PlannedWork work);

/// A promise that was broken for one request.
struct Finding {
  std::string rule;
  SentRequest request;
  PlannedWork work = PlannedWork::kNone;  ///< Planned work around it.
  kernel::Millis since_work{0};  ///< Time from the work to the request's end.
  bool was_passed_on = false;
};

/// Times of the users' rules.
struct LossBounds {
  kernel::Millis grace_period{8'000};
  /// Time after the last byte of a request within which a connection may end
  /// without a response if the request was not passed on.
  kernel::Millis unread_slack{200};
  /// Time in which changes of the configuration and of settings are in force.
  kernel::Millis configuration{2'000};
};

/// Decides from what callers and servers saw on their sockets which requests
/// were lost. Thread-safe.
class LossJudge {
 public:
  explicit LossJudge(LossBounds bounds) : bounds(bounds) {}

  /// Records that a server has received a whole request.
  void OnArrival(const std::string& id, kernel::TimePoint now);
  /// Records that a server has begun to run a request.
  void OnRun(const std::string& id);
  /// Records that a server has sent all of its response, or has seen that the
  /// connection was closed.
  void OnServerDone(const std::string& id, kernel::TimePoint now);
  void OnEnded(SentRequest request);
  /// @param gateway gateway that the work is for, or "" for all.
  void OnPlannedWork(PlannedWork work, const std::string& gateway,
                     kernel::TimePoint now);

  /// Returns what was broken.
  std::vector<Finding> Findings() const;
  /// Returns counts of requests by kind and ending.
  std::string Summary() const;
  std::size_t RequestCount() const;

 private:
  /// One arrival of a request at a server.
  struct Arrival {
    kernel::TimePoint at;
    std::optional<kernel::TimePoint> done_at;
  };
  struct Work {
    PlannedWork work = PlannedWork::kNone;
    std::string gateway;
    kernel::TimePoint at;
  };

  std::optional<Finding> FindLoss(const SentRequest& request) const;
  /// Returns the latest planned work whose time covers the request.
  std::optional<Work> WorkAround(const SentRequest& request) const;
  bool IsExcused(const SentRequest& request,
                 const std::optional<Work>& work) const;
  bool WasAtWork(const SentRequest& request) const;

  const LossBounds bounds;
  mutable std::mutex mutex;  ///< Guards all members below.
  std::vector<SentRequest> requests;
  std::map<std::string, std::vector<Arrival>> arrivals;
  std::map<std::string, int> runs;
  std::vector<Work> works;
};

}  // namespace banyanlane::soak
