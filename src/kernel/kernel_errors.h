#pragma once

#include <string>
#include <string_view>

namespace banyanlane::kernel {

/// Kinds of failure that a fallible call reports.
enum class ErrorCode {
  kInvalidSettings,
  kInvalidConfig,
  kInvalidMessage,
  kUnreachable,
  kTimeout,
  kConnectionLost,
  kRefused,
  kStale,
  kTooLarge,
  kCancelled,
};

/// Failure with the step that failed and the peer that was involved.
struct Error {
  ErrorCode code = ErrorCode::kCancelled;
  std::string step;
  std::string peer;
  std::string detail;
};

/// Returns the stable lower-case name of `code`.
std::string_view ErrorCodeName(ErrorCode code);

/// Returns code, step, peer and detail of `error` as one line.
std::string Describe(const Error& error);

}  // namespace banyanlane::kernel
