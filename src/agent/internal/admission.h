#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanlane::agent {

/// Limits on the load of one endpoint.
struct AdmissionLimits {
  std::size_t slots = 32;  ///< Maximum number of running requests.
  std::int64_t token_capacity = 65'536;  ///< Maximum number of charged tokens.
  std::size_t max_queued = 64;           ///< Maximum number of queued requests.
};

/// Capacity that one request needs.
struct CapacityClaim {
  std::string request;
  std::int64_t priority = 0;
  std::int64_t tokens = 0;
  bool must_run_alone = false;  ///< The request runs only while no other runs.
};

/// Decides which requests run on the endpoint and queues the others by priority
/// and order of arrival.
class Admission {
 public:
  enum class Verdict { kRun, kQueued, kFull };

  explicit Admission(const AdmissionLimits& limits) : limits(limits) {}

  /// Adds a claim. When the queue is full, a claim displaces the last queued
  /// one of lower priority.
  /// @param displaced receives the request that was removed from the queue, if
  /// any.
  /// @return whether the request runs now, is queued, or is refused because the
  /// queue is full.
  Verdict Add(const CapacityClaim& claim,
              std::optional<std::string>& displaced);

  /// Removes requests from the front of the queue for as long as they fit into
  /// the free capacity.
  /// @return their ids. They count as running from now on.
  std::vector<std::string> DequeueRunnable();

  /// Raises the charge of a running request that has used more tokens than it
  /// was charged. A charge is never lowered.
  void RaiseCharge(const std::string& request, std::int64_t used_tokens);

  /// Makes a queued request wait until it can run alone.
  void RequireAlone(const std::string& request);

  /// Releases the capacity of `request`, or removes it from the queue.
  void Remove(const std::string& request);

  std::size_t Running() const { return this->running.size(); }
  std::size_t Queued() const { return this->queue.size(); }
  std::int64_t ChargedTokens() const { return this->charged_tokens; }

 private:
  /// Negated priority and arrival number: sorts the highest priority first, and
  /// equal priorities by arrival.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  /// Returns whether `claim` fits into the free capacity. While no request
  /// runs, every claim fits.
  bool Fits(const CapacityClaim& claim) const;
  /// Returns the number of tokens that can be charged in total before work of
  /// `priority` has to wait.
  std::int64_t TokenCapacityFor(std::int64_t priority) const;
  void MarkRunning(const CapacityClaim& claim);

  AdmissionLimits limits;
  std::map<QueueKey, CapacityClaim> queue;
  std::unordered_map<std::string, QueueKey> queue_keys;
  /// Charged tokens of each running request.
  std::unordered_map<std::string, std::int64_t> running;
  /// Running request that must run alone, or "".
  std::string request_running_alone;
  std::int64_t charged_tokens = 0;
  std::uint64_t last_arrival = 0;
};

}  // namespace banyanlane::agent
