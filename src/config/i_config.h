#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "config/config_version.h"
#include "config/profile.h"
#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::config {

/// Revision that was read from the platform or received from a peer, not yet
/// validated.
struct ConfigOffer {
  std::uint64_t revision = 0;
  std::string digest;
  std::string value;
  std::uint64_t era = 0;   ///< See ConfigVersion.
  bool confirmed = false;  ///< See ConfigVersion.
};

/// Parser of one text format of the configuration.
class IConfigFormat {
 public:
  virtual ~IConfigFormat() = default;
  /// Parses and validates `text`.
  /// @param origin Name of the text in error messages.
  virtual kernel::Result<ConfigSnapshot> Parse(
      std::string_view text, std::string_view origin) const = 0;
};

/// Result of offering a revision.
enum class OfferOutcome {
  kAdopted,
  kSame,    ///< The revision is already in force.
  kOlder,   ///< The configuration in force is newer.
  kRefused  ///< Invalid, or a second value for the revision in force.
};

/// Holds the configuration in force and decides which revisions replace it.
class IConfigStore {
 public:
  virtual ~IConfigStore() = default;

  /// Returns the configuration in force, or null if none was adopted yet.
  virtual ConfigPtr Current() const = 0;

  /// Adopts `offer` if it is complete, valid and replaces the configuration in
  /// force (see Replaces).
  /// @param source Platform or peer that sent it, for the log and audit trail.
  virtual OfferOutcome Offer(const ConfigOffer& offer, std::string_view source,
                             kernel::TimePoint now) = 0;

  /// Calls `observer` after each adoption, in the thread that called Offer.
  virtual void Subscribe(std::function<void(const ConfigPtr&)> observer) = 0;
};

/// Parses and validates a configuration in INI format.
/// @param origin Name of the text in error messages.
/// @return The configuration, or an error with origin, line, field and reason.
kernel::Result<ConfigSnapshot> ParseConfig(std::string_view text,
                                           std::string_view origin);

/// Returns the INI format, which ParseConfig parses.
std::shared_ptr<const IConfigFormat> MakeIniFormat();

/// Maximum size of a configuration that the platform holds, in bytes.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{1024} * 1024;

}  // namespace banyanlane::config
