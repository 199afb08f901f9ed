#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanlane::agent {

/// Decides how many tokens of capacity a request is charged for its
/// reservation.
class IChargePolicy {
 public:
  virtual ~IChargePolicy() = default;

  /// Returns the number of tokens to charge for a request that reserves
  /// `reserved_tokens`.
  virtual std::int64_t Charge(std::string_view profile,
                              std::string_view organisation,
                              std::int64_t reserved_tokens) = 0;

  /// Records that a request of this profile and organisation used
  /// `used_tokens`.
  virtual void Observe(std::string_view profile, std::string_view organisation,
                       std::int64_t used_tokens) = 0;
};

/// Returns a policy that charges the full reservation.
std::unique_ptr<IChargePolicy> MakeFullCharge();

/// Returns a policy that charges a constant fraction of each reservation.
/// @param fraction between 0 and 1.
std::unique_ptr<IChargePolicy> MakeFractionCharge(double fraction);

/// Returns a policy that charges a quantile of the recent usage of the profile
/// and organisation. It falls back to the usage of the profile, and then to the
/// full reservation, until it has enough samples.
/// @param quantile between 0 and 1.
std::unique_ptr<IChargePolicy> MakeQuantileCharge(double quantile);

}  // namespace banyanlane::agent
