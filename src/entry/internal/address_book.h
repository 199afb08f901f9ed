#pragma once

#include <string>
#include <vector>

#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::entry {

/// Entry addresses for the callers of one organisation.
struct AddressAnswer {
  std::vector<std::string> addresses;  ///< In the order in which to try them.
  kernel::Millis keep{0};  ///< Time for which callers may use the addresses.
};

/// Selects the entry addresses of an organisation. The selection is a small
/// subset, so that a flood from one organisation reaches few entries. It is
/// spread over failure domains, and the same at all entries that have the same
/// instance list.
class AddressBook {
 public:
  /// @param subset Maximum number of addresses.
  /// @param keep Time for which callers may use the addresses.
  AddressBook(std::string own_node, std::string own_address, std::size_t subset,
              kernel::Millis keep);

  /// Returns the addresses for `organisation`, or only this entry's own address
  /// if there is no other.
  /// @param list Instance list; null if none has been received.
  /// @param own_leaving Whether to exclude this entry.
  AddressAnswer Answer(const membership::InstanceListPtr& list,
                       const std::string& organisation, bool own_leaving) const;

 private:
  std::string own_node;
  std::string own_address;
  std::size_t subset;
  kernel::Millis keep;
};

}  // namespace banyanlane::entry
