#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "experts/i_rank_engine.h"
#include "kernel/time.h"
#include "link/messages.h"

namespace banyanlane::experts {

/// Limits on the maps that a leader sends. The machine of the leader also
/// carries the requests of its engine.
struct MapSenderLimits {
  /// Bytes of maps per second that are sent to all ranks together, on average.
  double bytes_per_second = 60'000;
  /// Bytes of maps that may be sent ahead of the average.
  double burst_bytes = 100'000;
  /// Bytes of maps per second that are never exceeded.
  double peak_bytes_per_second = 400'000;
  /// Time after which a map is sent again to a rank that has not prepared it.
  kernel::Millis repeat_period{1'500};
};

/// Expert map and its version.
struct VersionedMap {
  std::uint64_t version = 0;
  ExpertMap map;
};

/// Decides when each rank is sent the map that it is to prepare, and in which
/// form. Does no I/O; not thread-safe.
///
/// A rank is sent the changes to the map in use. If it refuses them, because it
/// does not know that map, it is sent the complete map.
class MapSender {
 public:
  explicit MapSender(const MapSenderLimits& limits) : limits(limits) {}

  /// Forgets what was sent, for a group that has formed again.
  void Reset() { this->sent_maps.clear(); }

  /// Must be called before IsDue with the same time.
  void OnTime(kernel::TimePoint now);

  /// Returns whether the map of `version` is to be sent to a rank now: the rank
  /// needs it, has not been sent it recently, and the limits allow it.
  bool IsDue(const link::RankStatus& status, std::uint64_t version,
             kernel::TimePoint now) const;

  /// Returns the form in which a map that is due is sent, and records it.
  /// @param next map to prepare.
  /// @param current map in use.
  std::vector<std::uint64_t> Send(const link::RankStatus& status,
                                  std::uint64_t version, const ExpertMap& next,
                                  const VersionedMap& current,
                                  kernel::TimePoint now);

  /// Returns whether the complete map of `version` was the last one sent to a
  /// rank.
  bool HasSentComplete(std::uint64_t rank, std::uint64_t version) const;

 private:
  /// Map that was last sent to a rank.
  struct SentMap {
    std::uint64_t version = 0;
    bool complete = false;  ///< The map was not sent as changes.
    kernel::TimePoint at;
  };

  /// Returns the changes from `current` to `next`, or the complete map if the
  /// ranks can't know `current`.
  static std::vector<std::uint64_t> FlattenChanges(const ExpertMap& next,
                                                   const VersionedMap& current);

  MapSenderLimits limits;
  std::map<std::uint64_t, SentMap> sent_maps;  ///< By rank.
  /// Result of FlattenChanges for flat_version, which is sent to many ranks.
  std::vector<std::uint64_t> flat_changes;
  std::uint64_t flat_version = 0;
  /// Bytes of maps that may be sent now by the average and by the peak rate.
  double earned_bytes = 0;
  double earned_peak_bytes = 0;
  kernel::TimePoint earned_at;
};

}  // namespace banyanlane::experts
