#include "direct/internal/endpoint_rests.h"

#include <algorithm>

namespace banyanlane::direct {
namespace {

/// Number of requests at once from which an endpoint counts as fully in use.
constexpr std::int64_t kFullUse = 64;

}  // namespace

void EndpointRests::OnAsked(const std::string& id, std::int64_t incarnation,
                            kernel::Millis rest, std::minstd_rand& random,
                            kernel::TimePoint now) {
  this->DropEnded(now);
  const kernel::Millis kept = std::min(rest, this->limits.max_rest);
  const auto most =
      std::min(this->limits.max_spread.count(),
               static_cast<std::int64_t>(static_cast<double>(kept.count()) *
                                         this->limits.spread_fraction));
  std::uniform_int_distribution<std::int64_t> spread(0, most);
  const kernel::TimePoint until = now + kept + kernel::Millis(spread(random));
  Rest& known = this->rests[id];
  if (known.incarnation != incarnation) known = Rest{};
  known.incarnation = incarnation;
  known.until = std::max(known.until, until);
  known.max_in_flight = 1;
}

void EndpointRests::DropEnded(kernel::TimePoint now) {
  for (auto it = this->rests.begin(); it != this->rests.end();) {
    const bool has_ended = now >= it->second.until + this->limits.max_return;
    it = has_ended ? this->rests.erase(it) : std::next(it);
  }
}

void EndpointRests::OnResponse(const std::string& id, kernel::TimePoint now) {
  const auto found = this->rests.find(id);
  if (found == this->rests.end() || now < found->second.until) return;
  found->second.max_in_flight =
      std::min(found->second.max_in_flight * 2, kFullUse);
}

std::optional<kernel::TimePoint> EndpointRests::RestingUntil(
    const std::string& id, std::int64_t incarnation,
    kernel::TimePoint now) const {
  const auto found = this->rests.find(id);
  const bool is_resting = found != this->rests.end() &&
                          found->second.incarnation == incarnation &&
                          now < found->second.until;
  return is_resting ? std::optional(found->second.until) : std::nullopt;
}

bool EndpointRests::MaySend(const std::string& id, std::int64_t incarnation,
                            std::int64_t in_flight,
                            kernel::TimePoint now) const {
  const auto found = this->rests.find(id);
  const bool is_known = found != this->rests.end() &&
                        found->second.incarnation == incarnation &&
                        now < found->second.until + this->limits.max_return;
  if (!is_known) return true;
  const Rest& rest = found->second;
  return now >= rest.until &&
         (rest.max_in_flight >= kFullUse || in_flight < rest.max_in_flight);
}

}  // namespace banyanlane::direct
