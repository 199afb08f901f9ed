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

/// Decides how many tokens of capacity a reservation is charged.
class IChargePolicy {
 public:
  virtual ~IChargePolicy() = default;

  /// Returns the tokens to hold for a request that reserves `reserved_tokens`.
  virtual std::int64_t Charge(std::string_view profile,
                              std::string_view organisation,
                              std::int64_t reserved_tokens) = 0;

  /// Learns that a request of this kind used `used_tokens`.
  virtual void Observe(std::string_view profile, std::string_view organisation,
                       std::int64_t used_tokens) = 0;
};

/// Charges the whole reservation.
std::unique_ptr<IChargePolicy> MakeFullCharge();

/// Charges the same share of every reservation.
std::unique_ptr<IChargePolicy> MakeFractionCharge(double fraction);

/// Charges a quantile of what this profile and organisation used lately.
/// @param quantile within 0..1.
std::unique_ptr<IChargePolicy> MakeQuantileCharge(double quantile);

}  // namespace banyanlane::agent
