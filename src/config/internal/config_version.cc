#include "config/config_version.h"

namespace banyanlane::config {

bool Replaces(const ConfigVersion& offered, const ConfigVersion& current) {
  const bool is_higher = offered.revision > current.revision;
  const bool is_same_era = offered.era == current.era;
  const bool is_era_unknown = offered.era == 0 || current.era == 0;
  if (is_same_era || is_era_unknown) return is_higher;
  if (offered.era < current.era) return is_higher && !current.confirmed;
  return offered.revision >= current.revision || offered.confirmed;
}

}  // namespace banyanlane::config
