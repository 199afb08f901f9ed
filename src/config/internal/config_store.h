#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "config/i_config.h"
#include "kernel/audit_trail.h"

namespace banyanlane::config {

/// Configuration store that adopts a configuration only if it is valid and
/// replaces the one in force (see Replaces).
class ConfigStore : public IConfigStore {
 public:
  explicit ConfigStore(
      std::shared_ptr<kernel::AuditTrail> audit,
      std::shared_ptr<const IConfigFormat> format = MakeIniFormat());

  ConfigPtr Current() const override;
  OfferOutcome Offer(const ConfigOffer& offer, std::string_view source,
                     kernel::TimePoint now) override;
  void Subscribe(std::function<void(const ConfigPtr&)> observer) override;

 private:
  OfferOutcome Refuse(const ConfigOffer& offer, std::string_view source,
                      const std::string& reason);
  /// Records that the configuration in force was found in a later era, or that
  /// it is confirmed.
  void UpdateVersion(const ConfigOffer& offer, const ConfigSnapshot& in_force);
  /// Returns the outcome of an offer that does not replace the configuration in
  /// force.
  OfferOutcome CompareWithCurrent(const ConfigOffer& offer,
                                  std::string_view source);

  std::shared_ptr<kernel::AuditTrail> audit;
  std::shared_ptr<const IConfigFormat> format;
  mutable std::mutex mutex;
  /// Locked during each Offer, so that observers are called in the order of the
  /// adoptions.
  std::mutex adoption_mutex;
  ConfigPtr current;
  std::uint64_t last_refused_revision = 0;
  std::string last_refused_digest;
  std::vector<std::function<void(const ConfigPtr&)>> observers;
};

}  // namespace banyanlane::config
