#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "direct/internal/direct_flow.h"

namespace banyanlane::direct {

/// Size of a LockstepService and of its load.
struct LockstepShape {
  std::size_t gateways = 38;
  std::size_t endpoints = 72;
  std::int64_t slots = 10;          ///< Requests that an endpoint runs at once.
  std::size_t endpoint_queue = 20;  ///< Requests that wait at an endpoint.
  double streams_per_second = 280;
  double events_per_stream = 19;
  /// Time between two shifts of demand; 0 for none.
  kernel::Millis shift_interval{2'070};
  /// Time after a shift until the group's map fits the demand.
  kernel::Millis unfit_time{500};
  double unfit_skew = 2.9;
  double fit_skew = 1.45;
  /// Time at which the group loses its streams, and for which it then refuses
  /// everything; 0 for never.
  kernel::Millis down_at{0};
  kernel::Millis down_time{0};
  std::int64_t latency_goal_ms = 500;
  std::int64_t pause_goal_ms = 150;
};

/// What the callers of a LockstepService got.
struct LockstepResults {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;  ///< Not run, and told so.
  int gave_up = 0;  ///< The caller saw nothing for two seconds.
  int failed = 0;
  int rejected = 0;  ///< Attempts that an endpoint refused as full.
  /// Longest time from the arrival to a refusal.
  kernel::Millis longest_refusal{0};
  /// Means over all passes.
  double pass_millis = 0;
  double running = 0;  ///< Requests that an endpoint runs.
  /// Requests that arrived later than two seconds after the group was back, and
  /// those of them that were on time.
  int requests_after_outage = 0;
  int on_time_after_outage = 0;
  /// Requests by organisation and by size of the prompt, and those of them that
  /// completed.
  std::map<std::string, std::pair<int, int>> completed_by_group;

  double OnTimeRatio() const { return double(this->on_time) / this->requests; }
};

/// Model of a service whose endpoints are the ranks of one group, and of the
/// gateways that send streams to it. Gateways learn of the others' requests
/// every half second. The group runs passes: each gives one event to each
/// stream, and its duration grows with the requests that run and with the skew
/// of the group's map, which shifts of demand raise for a while.
class LockstepService {
 public:
  LockstepService(const LockstepShape& shape, std::uint64_t seed);
  ~LockstepService();
  LockstepService(const LockstepService&) = delete;
  LockstepService& operator=(const LockstepService&) = delete;

  /// Plays the load and returns what callers got.
  LockstepResults Play(kernel::Millis duration);

 private:
  struct Gateway;
  struct Stream;
  struct Endpoint {
    std::vector<std::shared_ptr<Stream>> running;
    std::deque<std::shared_ptr<Stream>> queued;
  };

  void Arrive();
  void Apply(const std::shared_ptr<Stream>& stream, DirectActions actions);
  void Call(const std::shared_ptr<Stream>& stream, const CallEndpoint& call);
  void Remove(const Stream& stream);
  void SendQueued(Gateway& gateway);
  void CheckTimers();
  void Publish();
  void BeginPass();
  void EndPass();
  double Skew() const;
  void LoseStreams();
  bool IsDown() const;
  bool IsAfterOutage(kernel::TimePoint at) const;
  void Finish(const Stream& stream);
  /// Returns the groups of callers that the stream is counted in.
  static std::vector<std::string> GroupsOf(const Stream& stream);

  LockstepShape shape;
  std::mt19937_64 random;
  config::ConfigPtr config;
  kernel::TimePoint started_at;
  kernel::TimePoint now;
  kernel::TimePoint pass_ends_at;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::map<std::string, Endpoint> endpoints;
  /// Streams whose callers wait for a response.
  std::map<std::uint64_t, std::shared_ptr<Stream>> streams;
  std::uint64_t last_number = 0;
  int passes = 0;
  bool has_lost_streams = false;
  LockstepResults results;
};

}  // namespace banyanlane::direct
