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

/// Reads one text form of a configuration.
class IConfigFormat {
 public:
  virtual ~IConfigFormat() = default;
  /// Parses and checks `text`; `origin` names it in errors.
  virtual kernel::Result<ConfigSnapshot> Parse(
      std::string_view text, std::string_view origin) const = 0;
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

/// Returns the format of ParseConfig.
std::shared_ptr<const IConfigFormat> MakeIniFormat();

/// Largest value the platform holds, in bytes.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{1024} * 1024;

}  // namespace banyanlane::config
