#pragma once

#include <string>
#include <vector>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Gateway addresses that a caller may use, and how long it may use them.
struct GatewayAddresses {
  std::vector<std::string> addresses;
  kernel::Millis ttl{0};
};

/// Information that a gateway gives about itself and its peers.
class IGateway {
 public:
  virtual ~IGateway() = default;

  /// Returns whether this gateway accepts requests.
  virtual bool IsReady(kernel::TimePoint now) = 0;

  /// Returns the gateways that a caller in `failure_domain` should use.
  virtual GatewayAddresses AddressesFor(const std::string& failure_domain,
                                        kernel::TimePoint now) = 0;
};

}  // namespace banyanlane::direct
