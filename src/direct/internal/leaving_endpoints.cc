#include "direct/internal/leaving_endpoints.h"

namespace banyanlane::direct {
namespace {

/// Time after which an endpoint that leaves has ended, so that no copy of the
/// instance list is old enough to contain it.
constexpr std::chrono::hours kLifetime{24};

}  // namespace

bool LeavingEndpoints::Add(const std::string& id, std::int64_t incarnation,
                           kernel::TimePoint now) {
  if (this->Contains(id, incarnation)) return false;
  for (auto it = this->marks.begin(); it != this->marks.end();) {
    const bool is_old = now - it->second.added_at > kLifetime;
    it = is_old ? this->marks.erase(it) : std::next(it);
  }
  this->marks[id] = {incarnation, now};
  return true;
}

bool LeavingEndpoints::Contains(const std::string& id,
                                std::int64_t incarnation) const {
  const auto found = this->marks.find(id);
  return found != this->marks.end() && found->second.incarnation == incarnation;
}

}  // namespace banyanlane::direct
