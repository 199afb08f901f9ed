#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanlane::agent {

/// Bounds on what runs on one endpoint.
struct AdmissionLimits {
  std::size_t slots = 32;                ///< Requests that run at a time.
  std::int64_t token_capacity = 65'536;  ///< Tokens charged at a time.
  std::size_t max_queued = 64;           ///< Requests that wait.
};

/// A request for capacity.
struct CapacityClaim {
  std::string request;
  std::int64_t priority = 0;
  std::int64_t tokens = 0;
  bool alone = false;  ///< Runs only while nothing else does.
};

/// Decides which requests run on the endpoint and which wait, by priority, then
/// arrival.
class Admission {
 public:
  enum class Verdict { kRun, kQueued, kFull };

  explicit Admission(const AdmissionLimits& limits) : limits(limits) {}

  /// Takes a new claim. A claim of higher priority displaces a waiting one when
  /// the queue is full.
  /// @param displaced receives the request that lost its place, if any.
  Verdict Add(const CapacityClaim& claim,
              std::optional<std::string>& displaced);

  /// Returns the waiting requests that may run now; they count as running from
  /// here on.
  std::vector<std::string> DequeueRunnable();

  /// Raises the charge of a running request that used more than was expected.
  void RaiseCharge(const std::string& request, std::int64_t used_tokens);

  /// Makes a waiting request run only while nothing else does.
  void RequireAlone(const std::string& request);

  /// Frees what `request` holds or its place in the queue.
  void Remove(const std::string& request);

  std::size_t Running() const { return this->running.size(); }
  std::size_t Queued() const { return this->queue.size(); }
  std::int64_t ChargedTokens() const { return this->charged_tokens; }

 private:
  /// Highest priority first, then lowest arrival number.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  bool Fits(const CapacityClaim& claim) const;
  /// Returns the tokens that work of `priority` can use.
  std::int64_t TokenCapacityFor(std::int64_t priority) const;
  void MarkRunning(const CapacityClaim& claim);

  AdmissionLimits limits;
  std::map<QueueKey, CapacityClaim> queue;
  std::unordered_map<std::string, QueueKey> queue_keys;
  std::unordered_map<std::string, std::int64_t> running;
  std::string request_running_alone;
  std::int64_t charged_tokens = 0;
  std::uint64_t last_arrival = 0;
};

}  // namespace banyanlane::agent
