#pragma once

#include <functional>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace banyanlane::admin {

/// Collects status information of a running process for operators.
class IStatusBoard {
 public:
  virtual ~IStatusBoard() = default;

  /// Adds a section to the status page.
  /// @param name heading of the section.
  /// @param lines returns the lines of the section. It is called for each
  /// request for the status page, from any thread.
  virtual void AddSection(std::string name,
                          std::function<std::vector<std::string>()> lines) = 0;

  /// Sets the function that returns the response text for a request to
  /// "/explain".
  virtual void SetExplain(
      std::function<std::string(const http::HttpRequest&)> explain) = 0;
};

}  // namespace banyanlane::admin
