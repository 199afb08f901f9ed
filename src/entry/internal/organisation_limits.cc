#include "entry/internal/organisation_limits.h"

#include <algorithm>

namespace banyanlane::entry {
namespace {

std::string KindOf(const config::Profile& profile,
                   const std::string& organisation) {
  return profile.name + '\n' + organisation;
}

}  // namespace

bool OrganisationLimits::Acquire(const config::Profile& profile,
                                 const std::string& organisation,
                                 std::int64_t sharing_entries) {
  const std::int64_t sharers = std::max<std::int64_t>(1, sharing_entries);
  const std::int64_t share =
      (profile.organisation_concurrency + sharers - 1) / sharers;
  return this->in_flight.With(KindOf(profile, organisation),
                              [share](std::int64_t& count) {
                                if (count >= share) return false;
                                ++count;
                                return true;
                              });
}

void OrganisationLimits::Release(const config::Profile& profile,
                                 const std::string& organisation) {
  this->in_flight.EraseKeyIf(KindOf(profile, organisation),
                             [](std::int64_t& count) { return --count <= 0; });
}

}  // namespace banyanlane::entry
