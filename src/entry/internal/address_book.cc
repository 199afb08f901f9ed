#include "entry/internal/address_book.h"

#include <algorithm>
#include <set>

#include "kernel/hash.h"

namespace banyanlane::entry {

using membership::Instance;

AddressBook::AddressBook(std::string own_node, std::string own_address,
                         std::size_t subset, kernel::Millis keep)
    : own_node(std::move(own_node)),
      own_address(std::move(own_address)),
      subset(subset),
      keep(keep) {}

AddressAnswer AddressBook::Answer(const membership::InstanceListPtr& list,
                                  const std::string& organisation,
                                  bool own_leaving) const {
  AddressAnswer answer;
  answer.keep = this->keep;
  std::vector<Instance> entries;
  if (list) entries = list->OfRole(membership::InstanceRole::kEntry);
  entries.erase(
      std::remove_if(entries.begin(), entries.end(),
                     [&](const Instance& entry) {
                       const bool self = entry.id == this->own_node;
                       return entry.state ==
                                  membership::InstanceState::kLeaving ||
                              (self && own_leaving);
                     }),
      entries.end());
  std::sort(entries.begin(), entries.end(),
            [&](const Instance& left, const Instance& right) {
              return kernel::RendezvousWeight(organisation, left.id) >
                     kernel::RendezvousWeight(organisation, right.id);
            });
  std::set<std::string> domains;
  std::vector<std::string> same_domain;
  for (const Instance& entry : entries) {
    const bool new_domain = domains.insert(entry.failure_domain).second;
    (new_domain ? answer.addresses : same_domain).push_back(entry.address);
  }
  answer.addresses.insert(answer.addresses.end(), same_domain.begin(),
                          same_domain.end());
  if (answer.addresses.size() > this->subset)
    answer.addresses.resize(this->subset);
  if (answer.addresses.empty()) answer.addresses.push_back(this->own_address);
  return answer;
}

}  // namespace banyanlane::entry
