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

/// Translates what the platform holds into the product's types.
class ICatalogReader {
 public:
  virtual ~ICatalogReader() = default;

  /// Returns the prefix under which the configuration is held.
  virtual std::string ConfigPrefix() const = 0;
  /// Returns the prefix under which endpoints are listed.
  virtual std::string EndpointPrefix() const = 0;

  /// Returns the configuration that `item` holds.
  /// @return an error when it is no configuration.
  virtual kernel::Result<config::ConfigOffer> ReadConfig(
      const CatalogItem& item) const = 0;

  /// Returns the endpoint that `item` lists.
  /// @return an error when it names no endpoint that can be used.
  virtual kernel::Result<membership::Instance> ReadEndpoint(
      const CatalogItem& item) const = 0;
};

/// How long the store is waited for, and how endpoints are judged after it
/// was away.
struct CatalogLimits {
  kernel::Millis watch{8'000};          ///< Longest wait of one watch.
  kernel::Millis answer{1'500};         ///< Bound on an answer beyond the wait.
  kernel::Millis first_pause{100};      ///< After one failure.
  kernel::Millis longest_pause{1'500};  ///< After many failures in a row.
  /// Entries of endpoints lapse after this long without a sign of life, so an
  /// outage from here on can remove endpoints that are up.
  kernel::Millis outage{2'400};
  /// Endpoints whose entries lapsed are listed again this long after the
  /// store's return.
  kernel::Millis settle{2'300};
};

}  // namespace banyanlane::catalog
