#pragma once

#include <cstdint>
#include <string>

#include "config/i_config.h"
#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::config {

/// Instance list as published by the platform, not yet parsed.
struct InstanceListText {
  std::uint64_t version = 0;
  std::string text;
};

/// Read access to the platform's service. The platform limits the rate of
/// calls.
class IPlatform {
 public:
  virtual ~IPlatform() = default;

  /// Reads the configuration.
  /// @param after Revision that is already known.
  /// @param wait Maximum time to wait for another revision.
  /// @return The configuration, or kTimeout if there was no other revision.
  virtual kernel::Result<ConfigOffer> ReadConfig(std::uint64_t after,
                                                 kernel::Millis wait) = 0;

  /// Reads the instance list.
  /// @param after Version that is already known.
  /// @param wait Maximum time to wait for another version.
  /// @return The list, or kTimeout if there was no other version.
  virtual kernel::Result<InstanceListText> ReadInstances(
      std::uint64_t after, kernel::Millis wait) = 0;

  /// Ends all reads, including later ones.
  virtual void Cancel() = 0;
};

}  // namespace banyanlane::config
