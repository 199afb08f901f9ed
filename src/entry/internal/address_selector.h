#pragma once

#include <string>
#include <vector>

#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::entry {

/// Entry addresses for the callers of one organisation.
struct EntryAddresses {
  std::vector<std::string> addresses;  ///< In the order in which to try them.
  /// Time for which callers may use the addresses.
  kernel::Millis lifetime{0};
};

/// Selects the entry addresses of an organisation. The selection is a small
/// subset, so that a flood from one organisation reaches few entries. It is
/// spread over failure domains, and the same at all entries that have the same
/// instance list.
class AddressSelector {
 public:
  /// @param max_addresses Maximum number of addresses.
  /// @param lifetime Time for which callers may use the addresses.
  AddressSelector(std::string own_node, std::string own_address,
                  std::size_t max_addresses, kernel::Millis lifetime);

  /// Returns the addresses for `organisation`, or only this entry's own address
  /// if there is no other.
  /// @param list Instance list; null if none has been received.
  /// @param own_leaving Whether to exclude this entry.
  EntryAddresses Select(const membership::InstanceListPtr& list,
                        const std::string& organisation,
                        bool own_leaving) const;

 private:
  std::string own_node;
  std::string own_address;
  std::size_t max_addresses;
  kernel::Millis lifetime;
};

}  // namespace banyanlane::entry
