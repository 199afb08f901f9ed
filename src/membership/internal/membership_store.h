#pragma once

#include <mutex>
#include <vector>

#include "membership/instances.h"

namespace banyanlane::membership {

/// Keeps the highest version of the list that was offered.
class MembershipStore : public IMembership {
 public:
  InstanceListPtr Current() const override;
  bool Offer(std::string_view text, std::string_view source,
             kernel::TimePoint now) override;
  void Subscribe(std::function<void(const InstanceListPtr&)> observer) override;

 private:
  mutable std::mutex mutex;
  std::mutex adoption_mutex;  ///< Held through a whole change, so observers see
                              ///< them in order.
  InstanceListPtr current;
  std::vector<std::function<void(const InstanceListPtr&)>> observers;
};

}  // namespace banyanlane::membership
