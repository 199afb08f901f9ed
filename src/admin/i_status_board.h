#pragma once

#include <functional>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace banyanlane::admin {

/// Collects what a live process tells its operators.
class IStatusBoard {
 public:
  virtual ~IStatusBoard() = default;

  /// Adds lines under the heading `name`; `lines` is called for each view.
  virtual void AddSection(std::string name,
                          std::function<std::vector<std::string>()> lines) = 0;

  /// Answers "/explain" with the text that `explain` returns for a request.
  virtual void SetExplain(
      std::function<std::string(const http::HttpRequest&)> explain) = 0;
};

}  // namespace banyanlane::admin
