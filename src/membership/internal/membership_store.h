#pragma once

#include <mutex>
#include <vector>

#include "membership/instances.h"

namespace banyanlane::membership {

/// Stores the list with the highest version that was offered. Thread-safe.
class MembershipStore : public IMembership {
 public:
  InstanceListPtr Current() const override;
  bool Offer(std::string_view text, std::string_view source,
             kernel::TimePoint now) override;
  void Subscribe(std::function<void(const InstanceListPtr&)> observer) override;

 private:
  mutable std::mutex mutex;  ///< Protects `current` and `observers`.
  /// Locked while a list is adopted, so that observers receive the lists in
  /// order.
  std::mutex adoption_mutex;
  InstanceListPtr current;
  std::vector<std::function<void(const InstanceListPtr&)>> observers;
};

}  // namespace banyanlane::membership
