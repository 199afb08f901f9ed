#pragma once

#include <variant>

#include "kernel/kernel_errors.h"

namespace banyanlane::kernel {

/// Result of a fallible call: the value, or the error if the call failed.
template <typename Value>
using Result = std::variant<Value, Error>;

/// Returns the error in `result`, or null if it holds a value.
template <typename Value>
const Error* ErrorOf(const Result<Value>& result) {
  return std::get_if<Error>(&result);
}

}  // namespace banyanlane::kernel
