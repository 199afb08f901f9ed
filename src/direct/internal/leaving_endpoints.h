#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "kernel/time.h"

namespace banyanlane::direct {

/// Endpoints of one service whose responses have said that they leave. This
/// holds whatever the instance list says, until the endpoint starts again. Not
/// thread-safe.
class LeavingEndpoints {
 public:
  /// Records that an endpoint leaves.
  /// @param incarnation start of the endpoint; see membership::Instance.
  /// @return whether it was not known.
  bool Add(const std::string& id, std::int64_t incarnation,
           kernel::TimePoint now);

  /// Returns whether an endpoint has said that it leaves.
  bool Contains(const std::string& id, std::int64_t incarnation) const;

 private:
  struct Mark {
    std::int64_t incarnation = 0;
    kernel::TimePoint added_at;
  };

  std::map<std::string, Mark> marks;  ///< By endpoint id.
};

}  // namespace banyanlane::direct
