#include "entry/internal/address_selector.h"

#include <algorithm>
#include <set>

#include "kernel/hash.h"

namespace banyanlane::entry {

using membership::Instance;

AddressSelector::AddressSelector(std::string own_node, std::string own_address,
                                 std::size_t max_addresses,
                                 kernel::Millis lifetime)
    : own_node(std::move(own_node)),
      own_address(std::move(own_address)),
      max_addresses(max_addresses),
      lifetime(lifetime) {}

EntryAddresses AddressSelector::Select(const membership::InstanceListPtr& list,
                                       const std::string& organisation,
                                       bool own_leaving) const {
  EntryAddresses selection;
  selection.lifetime = this->lifetime;
  std::vector<Instance> entries;
  if (list) entries = list->OfRole(membership::InstanceRole::kEntry);
  entries.erase(
      std::remove_if(entries.begin(), entries.end(),
                     [&](const Instance& entry) {
                       const bool is_own = entry.id == this->own_node;
                       return entry.state ==
                                  membership::InstanceState::kLeaving ||
                              (is_own && own_leaving);
                     }),
      entries.end());
  std::sort(entries.begin(), entries.end(),
            [&](const Instance& left, const Instance& right) {
              return kernel::RendezvousWeight(organisation, left.id) >
                     kernel::RendezvousWeight(organisation, right.id);
            });
  std::set<std::string> failure_domains;
  std::vector<std::string> same_domain_addresses;
  for (const Instance& entry : entries) {
    const bool new_domain = failure_domains.insert(entry.failure_domain).second;
    (new_domain ? selection.addresses : same_domain_addresses)
        .push_back(entry.address);
  }
  selection.addresses.insert(selection.addresses.end(),
                             same_domain_addresses.begin(),
                             same_domain_addresses.end());
  if (selection.addresses.size() > this->max_addresses)
    selection.addresses.resize(this->max_addresses);
  if (selection.addresses.empty())
    selection.addresses.push_back(this->own_address);
  return selection;
}

}  // namespace banyanlane::entry
