#pragma once

#include <cstdint>

namespace banyanlane::config {

/// Position of a configuration in the order of all that were published.
///
/// The platform's store can be restored from a copy that lacks its latest
/// writes. Each restore begins an era.
struct ConfigVersion {
  std::uint64_t revision = 0;  ///< Number that the operator has given.
  /// Latest era in which the store is known to have held the configuration, or
  /// 0 if unknown.
  std::uint64_t era = 0;
  /// Whether the configuration is known not to be a restored copy whose
  /// successors were lost: it was written in `era`, or nothing has replaced it
  /// since long after the restore.
  bool confirmed = false;
};

/// Returns the version of `config`, which has the members of ConfigVersion.
template <typename Config>
ConfigVersion VersionOf(const Config& config) {
  return {config.revision, config.era, config.confirmed};
}

/// Returns whether a configuration of version `offered` replaces one of version
/// `current`. Within an era, the higher revision does. After a restore, the
/// operator publishes lost revisions again, so a lower revision of the new era
/// replaces a higher one only if it is confirmed.
bool Replaces(const ConfigVersion& offered, const ConfigVersion& current);

}  // namespace banyanlane::config
