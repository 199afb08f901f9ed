#include "entry/internal/organisation_limits.h"

#include <algorithm>

namespace banyanlane::entry {
namespace {

std::string LimitKey(const config::Profile& profile,
                     const std::string& organisation) {
  return profile.name + '\n' + organisation;
}

}  // namespace

bool OrganisationLimits::Acquire(const config::Profile& profile,
                                 const std::string& organisation,
                                 std::int64_t entry_count) {
  const std::int64_t divisor = std::max<std::int64_t>(1, entry_count);
  const std::int64_t entry_limit =
      (profile.organisation_concurrency + divisor - 1) / divisor;
  return this->in_flight.With(LimitKey(profile, organisation),
                              [entry_limit](std::int64_t& count) {
                                if (count >= entry_limit) return false;
                                ++count;
                                return true;
                              });
}

void OrganisationLimits::Release(const config::Profile& profile,
                                 const std::string& organisation) {
  this->in_flight.EraseKeyIf(LimitKey(profile, organisation),
                             [](std::int64_t& count) { return --count <= 0; });
}

}  // namespace banyanlane::entry
