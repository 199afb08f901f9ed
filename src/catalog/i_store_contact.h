#pragma once

#include <optional>

#include "kernel/time.h"

namespace banyanlane::catalog {

/// Tells when the store has last responded, so that processes share the work of
/// asking it.
class IStoreContact {
 public:
  virtual ~IStoreContact() = default;

  /// Returns the time since the last response to this process, or to a peer
  /// whose configuration this process has or has replaced. Nothing if there was
  /// none.
  virtual std::optional<kernel::Millis> ConfigAge(kernel::TimePoint now) = 0;

  /// Like ConfigAge, for the list of endpoints.
  virtual std::optional<kernel::Millis> EndpointsAge(kernel::TimePoint now) = 0;
};

}  // namespace banyanlane::catalog
