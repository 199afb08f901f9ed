#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "kernel/time.h"
#include "processes/kept_caller.h"
#include "processes/raw_server.h"

namespace banyanlane::processes {

/// Sound server that records when it worked on each request. The path of a
/// request ends with the milliseconds that its work lasts.
class WorkServer {
 public:
  /// @param address "IP:PORT" to listen at.
  explicit WorkServer(const std::string& address);

  /// Returns until when the server worked on a request, or nothing if the
  /// request did not reach it.
  std::optional<kernel::TimePoint> WorkedUntil(const std::string& id);
  /// Returns the number of requests that have reached the server.
  std::size_t RunCount();

 private:
  void Serve(RawConnection& connection);

  std::mutex mutex;  ///< Guards the member below.
  std::map<std::string, kernel::TimePoint> work_ends;
  RawServer server;
};

/// What the callers of a StopTraffic send.
struct TrafficForm {
  std::string path = "/plain/a/";
  int work_millis = 100;
  int deadline_millis = 5'000;  ///< 0 to send no deadline.
  int callers = 4;
};

/// Callers that send requests on kept connections, one after another, until
/// nothing accepts their connections.
class StopTraffic {
 public:
  StopTraffic(std::string address, TrafficForm form);
  ~StopTraffic();
  StopTraffic(const StopTraffic&) = delete;
  StopTraffic& operator=(const StopTraffic&) = delete;

  std::size_t AnswerCount();
  /// Waits until the callers have ended and returns what they received.
  std::vector<CallerRecord> Finish();

 private:
  void Call(int caller);

  std::string address;
  TrafficForm form;
  std::mutex mutex;  ///< Guards the member below.
  std::vector<CallerRecord> records;
  std::vector<std::thread> threads;
};

/// A planned stop as the platform carries it out.
struct PlannedStop {
  kernel::TimePoint signalled_at;  ///< When SIGTERM was sent.
  kernel::Millis grace_period{8'000};
  /// Requests from before this time are excused by a disruption.
  kernel::TimePoint calm_since;
};

/// Returns the ids of the requests that lost their answers in a planned stop
/// though nothing excuses it.
std::vector<std::string> LostRequests(const std::vector<CallerRecord>& records,
                                      WorkServer& server,
                                      const PlannedStop& stop);

}  // namespace banyanlane::processes
