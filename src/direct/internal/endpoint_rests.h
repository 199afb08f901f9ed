#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Parameters of the rests that endpoints ask for.
struct RestLimits {
  /// A rest is extended by a random time of up to this fraction of it, at most
  /// max_spread, so that gateways do not all return at the same moment.
  double spread_fraction = 0.25;
  kernel::Millis max_spread{500};
  /// Longest rest that is kept. An endpoint that wants more asks again.
  kernel::Millis max_rest{86'400'000};
  /// Time after a rest in which the endpoint gets few requests at once, if no
  /// response has ended that before.
  kernel::Millis max_return{10'000};
};

/// The rests that endpoints of one service have asked this gateway for. A rest
/// belongs to one incarnation of an endpoint, whether it is listed or not.
///
/// After a rest, an endpoint gets one request at a time, and twice as many with
/// each response that begins. Not thread-safe.
class EndpointRests {
 public:
  explicit EndpointRests(const RestLimits& limits = {}) : limits(limits) {}

  /// Records that an endpoint wants no requests for `rest`. A longer rest that
  /// it asked for before stays.
  void OnAsked(const std::string& id, std::int64_t incarnation,
               kernel::Millis rest, std::minstd_rand& random,
               kernel::TimePoint now);

  /// Records that an endpoint has responded to a request that it ran. Responses
  /// during its rest do not count.
  void OnResponse(const std::string& id, kernel::TimePoint now);

  /// Returns the end of an endpoint's rest, or nothing if it has none.
  std::optional<kernel::TimePoint> RestingUntil(const std::string& id,
                                                std::int64_t incarnation,
                                                kernel::TimePoint now) const;

  /// Returns whether an endpoint may get a request.
  /// @param in_flight number of its requests from this gateway.
  bool MaySend(const std::string& id, std::int64_t incarnation,
               std::int64_t in_flight, kernel::TimePoint now) const;

 private:
  struct Rest {
    std::int64_t incarnation = 0;
    kernel::TimePoint until;
    /// Number of requests that the endpoint may have at once after its rest.
    std::int64_t max_in_flight = 1;
  };

  void DropEnded(kernel::TimePoint now);

  RestLimits limits;
  std::map<std::string, Rest> rests;  ///< Rests by endpoint id.
};

}  // namespace banyanlane::direct
