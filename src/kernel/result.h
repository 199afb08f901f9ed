#pragma once

#include <variant>

#include "kernel/kernel_errors.h"

namespace banyanlane::kernel {

/// Outcome of a fallible call: the value, or the error that prevented it.
template <typename Value>
using Result = std::variant<Value, Error>;

/// Returns the error in `result`, or null when it holds a value.
template <typename Value>
const Error* ErrorOf(const Result<Value>& result) {
  return std::get_if<Error>(&result);
}

}  // namespace banyanlane::kernel
