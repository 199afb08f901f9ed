#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catalog/i_catalog.h"
#include "config/i_config.h"
#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::catalog {

/// Converts items of the platform's store to configurations and instances.
class ICatalogReader {
 public:
  virtual ~ICatalogReader() = default;

  /// Returns the key prefix of the configuration.
  virtual std::string ConfigPrefix() const = 0;
  /// Returns the key prefix of the list of endpoints.
  virtual std::string EndpointPrefix() const = 0;

  /// Reads the configuration from `item`.
  /// @return the configuration, or an error if `item` does not contain one.
  virtual kernel::Result<config::ConfigOffer> ReadConfig(
      const CatalogItem& item) const = 0;

  /// Reads an endpoint from `item`.
  /// @return the endpoint, or an error if `item` contains no usable endpoint.
  virtual kernel::Result<membership::Instance> ReadEndpoint(
      const CatalogItem& item) const = 0;
};

/// Timeouts of calls to the store, and rules for removals after an outage of
/// the store.
struct CatalogLimits {
  kernel::Millis watch_wait{8'000};  ///< Maximum wait of one watch.
  /// Maximum time for a response, in addition to the wait of a watch.
  kernel::Millis response_timeout{1'500};
  /// Retry pause after one failure, before jitter.
  kernel::Millis min_pause{100};
  kernel::Millis max_pause{1'500};  ///< Maximum retry pause.
  /// Outages longer than this are followed by a grace period. The store removes
  /// the entry of an endpoint after this time without a heartbeat, so a longer
  /// outage can remove entries of endpoints that are up.
  kernel::Millis min_outage{2'400};
  /// Grace period after an outage, during which removed items are kept.
  /// Endpoints whose entries expired are listed again within this time after
  /// the store has recovered.
  kernel::Millis removal_grace{2'300};
  /// Time after a restore of the store for which an item keeps its known value
  /// if the store has an older one, since writers repeat the writes that were
  /// lost.
  kernel::Millis rewrite_grace{2'300};
};

}  // namespace banyanlane::catalog
