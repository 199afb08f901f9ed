#include "experts/internal/map_sender.h"

#include <algorithm>

#include "experts/internal/map_codec.h"
#include "link/codec.h"

namespace banyanlane::experts {
namespace {

/// Time whose bytes may be sent at once, at the peak rate.
constexpr kernel::Millis kPeakWindow{20};

}  // namespace

void MapSender::OnTime(kernel::TimePoint now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - this->earned_at).count();
  this->earned_at = now;
  this->earned_bytes =
      std::min(this->limits.burst_bytes,
               this->earned_bytes + elapsed_s * this->limits.bytes_per_second);
  const double peak_rate = this->limits.peak_bytes_per_second;
  this->earned_peak_bytes =
      std::min(peak_rate * std::chrono::duration<double>(kPeakWindow).count(),
               this->earned_peak_bytes + elapsed_s * peak_rate);
}

bool MapSender::IsDue(const link::RankStatus& status, std::uint64_t version,
                      kernel::TimePoint now) const {
  const bool may_send = this->earned_bytes > 0 && this->earned_peak_bytes > 0;
  if (!may_send || status.prepared_version == version) return false;
  const auto found = this->sent_maps.find(status.rank);
  if (found == this->sent_maps.end() || found->second.version != version)
    return true;
  const SentMap& sent = found->second;
  const bool lacks_base = !sent.complete && status.refused_version == version;
  return lacks_base || now - sent.at > this->limits.repeat_period;
}

std::vector<std::uint64_t> MapSender::Send(const link::RankStatus& status,
                                           std::uint64_t version,
                                           const ExpertMap& next,
                                           const VersionedMap& current,
                                           kernel::TimePoint now) {
  if (this->flat_version != version) {
    this->flat_changes = FlattenChanges(next, current);
    this->flat_version = version;
  }
  SentMap& sent = this->sent_maps[status.rank];
  const bool was_refused = status.refused_version == version;
  const bool must_be_complete =
      sent.version == version && (sent.complete || was_refused);
  std::vector<std::uint64_t> flat =
      must_be_complete ? FlattenMap(next) : this->flat_changes;
  const auto bytes = static_cast<double>(link::EncodedSize(flat));
  this->earned_bytes -= bytes;
  this->earned_peak_bytes -= bytes;
  sent = SentMap{version, !ReadMapChangesHeader(flat), now};
  return flat;
}

bool MapSender::HasSentComplete(std::uint64_t rank,
                                std::uint64_t version) const {
  const auto sent = this->sent_maps.find(rank);
  return sent != this->sent_maps.end() && sent->second.version == version &&
         sent->second.complete;
}

std::vector<std::uint64_t> MapSender::FlattenChanges(
    const ExpertMap& next, const VersionedMap& current) {
  std::uint64_t experts = 0;
  for (const auto& rank : current.map.front()) {
    for (const std::uint64_t expert : rank)
      experts = std::max(experts, expert + 1);
  }
  const MapChangesHeader header{current.version, next.size(),
                                next.front().size(), experts, 0};
  const bool is_base_known =
      current.version != 0 ||
      current.map == InTurnMap(header.layers, header.ranks, header.experts);
  if (!is_base_known) return FlattenMap(next);
  return FlattenMapChanges(header, current.map, next);
}

}  // namespace banyanlane::experts
