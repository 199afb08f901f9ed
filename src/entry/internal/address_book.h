#pragma once

#include <string>
#include <vector>

#include "kernel/time.h"
#include "membership/instances.h"

namespace banyanlane::entry {

/// Addresses that one organisation's callers should use, and for how long.
struct AddressAnswer {
  std::vector<std::string> addresses;  ///< To be tried in this order.
  kernel::Millis keep{0};
};

/// Chooses entry addresses for an organisation: a small subset that is the same
/// at every entry with the same list, spread over failure domains, so that a
/// flood from one organisation reaches few entries.
class AddressBook {
 public:
  /// @param subset most addresses in one answer.
  AddressBook(std::string own_node, std::string own_address, std::size_t subset,
              kernel::Millis keep);

  /// @param list may be null: then only this entry is known.
  /// @param own_leaving leaves this entry out.
  AddressAnswer Answer(const membership::InstanceListPtr& list,
                       const std::string& organisation, bool own_leaving) const;

 private:
  std::string own_node;
  std::string own_address;
  std::size_t subset;
  kernel::Millis keep;
};

}  // namespace banyanlane::entry
