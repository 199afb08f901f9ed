#pragma once

#include <cstdint>
#include <string>

#include "config/i_config.h"
#include "kernel/result.h"
#include "kernel/time.h"

namespace banyanlane::config {

/// A list of instances as the platform published it, not yet parsed.
struct InstanceListText {
  std::uint64_t version = 0;
  std::string text;
};

/// The platform's service. It can only be read; each call counts against its
/// rate.
class IPlatform {
 public:
  virtual ~IPlatform() = default;

  /// Returns the configuration, waiting up to `wait` for a revision other than
  /// `after`.
  /// @return kTimeout when the wait ended without a change.
  virtual kernel::Result<ConfigOffer> ReadConfig(std::uint64_t after,
                                                 kernel::Millis wait) = 0;

  /// Returns the list of instances, waiting up to `wait` for a version other
  /// than `after`.
  virtual kernel::Result<InstanceListText> ReadInstances(
      std::uint64_t after, kernel::Millis wait) = 0;

  /// Ends all waits, now and later.
  virtual void Cancel() = 0;
};

}  // namespace banyanlane::config
