#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "config/profile.h"
#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::config {

/// A revision as read from the platform or relayed by a peer.
struct ConfigOffer {
  std::uint64_t revision = 0;
  std::string digest;
  std::string value;
};

/// What became of an offered revision.
enum class OfferOutcome { kAdopted, kSame, kOlder, kRefused };

/// Holds the configuration in force and decides which revision replaces it.
class IConfigStore {
 public:
  virtual ~IConfigStore() = default;

  /// Returns the snapshot in force, or null before the first.
  virtual ConfigPtr Current() const = 0;

  /// Adopts `offer` if it is whole, valid and newer than every revision seen.
  /// @param source platform or peer that it came from, for the audit trail.
  virtual OfferOutcome Offer(const ConfigOffer& offer, std::string_view source,
                             kernel::TimePoint now) = 0;

  /// Calls `observer` after each adoption, from the adopting thread.
  virtual void Subscribe(std::function<void(const ConfigPtr&)> observer) = 0;
};

/// Parses and checks the published text.
/// @return profiles, or an error naming origin, line, field and reason.
kernel::Result<ConfigSnapshot> ParseConfig(std::string_view text,
                                           std::string_view origin);

/// Largest value the platform holds, in bytes.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{1024} * 1024;

}  // namespace banyanlane::config
