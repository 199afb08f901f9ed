#pragma once

#include <string>
#include <string_view>

namespace banyanlane::kernel {

/// Kinds of failure a fallible call reports.
enum class ErrorCode {
  kInvalidSettings,
  kInvalidConfig,
  kInvalidMessage,
  kUnreachable,
  kTimeout,
  kCut,
  kRefused,
  kStale,
  kTooLarge,
  kCancelled,
};

/// A failure with the step and the peer at which it arose.
struct Error {
  ErrorCode code = ErrorCode::kCancelled;
  std::string step;
  std::string peer;
  std::string detail;
};

/// Returns the stable lower-case name of `code`.
std::string_view ErrorCodeName(ErrorCode code);

/// Formats `error` as one line: code, step, peer, detail.
std::string Describe(const Error& error);

}  // namespace banyanlane::kernel
