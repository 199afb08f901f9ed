#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::limits {

/// Times of an election.
struct ElectionLimits {
  /// Period at which the coordinator shows that it is live.
  kernel::Millis period{1'000};
  /// Time without news of the coordinator after which another one is elected.
  kernel::Millis timeout{3'000};
  /// Time for which a new coordinator does not act, so that all gateways know
  /// it and the previous one has stopped.
  kernel::Millis hold_off{1'500};
};

/// Elects one coordinator of all gateways that are connected by links, also by
/// way of other gateways. Each gateway forwards the news of the highest
/// candidate; the link from which it came first leads to the coordinator. Does
/// no I/O; not thread-safe.
class CoordinatorElection {
 public:
  /// @param own number of this process, different for each start of one.
  CoordinatorElection(std::uint64_t own, const ElectionLimits& limits)
      : own(own), limits(limits) {}

  /// Begins to take part, with this process as the coordinator until a higher
  /// candidate is known. Does nothing if it takes part already.
  void Join(kernel::TimePoint now);

  /// Stops to take part until Join or the next news.
  void Leave();

  /// Processes news from a link.
  /// @return whether to forward it to the other links.
  bool OnNews(std::uint64_t link, const link::Coordinator& news,
              kernel::TimePoint now);

  /// Elects another coordinator if the link led to the present one.
  void OnLinkDown(std::uint64_t link, kernel::TimePoint now);

  /// Replaces a coordinator that has been silent for too long.
  /// @return the news to send to all links now, if any.
  std::optional<link::Coordinator> Step(kernel::TimePoint now);

  /// Returns the link that leads to the coordinator, or nothing if this process
  /// is the coordinator or does not take part.
  std::optional<std::uint64_t> Parent() const { return this->parent; }

  /// Returns whether this process is the coordinator and has been it for long
  /// enough to act.
  bool MayAct(kernel::TimePoint now) const;

  /// Returns the present view of the coordinator.
  link::Coordinator Current() const {
    return {this->candidate, this->sequence};
  }

 private:
  void BecomeCoordinator(kernel::TimePoint now);

  std::uint64_t own;
  ElectionLimits limits;
  std::uint64_t candidate = 0;  ///< The coordinator; 0 before Join.
  std::uint64_t sequence = 0;   ///< Latest sequence number of the coordinator.
  std::optional<std::uint64_t> parent;
  /// When the coordinator's latest news arrived, or when this process became
  /// the coordinator.
  kernel::TimePoint changed_at;
  kernel::TimePoint next_news_at;
  /// Latest sequence numbers of other candidates, so that news of one that is
  /// gone does not go round forever.
  std::map<std::uint64_t, std::uint64_t> sequences;
};

}  // namespace banyanlane::limits
