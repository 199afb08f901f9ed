#include "kernel/kernel_errors.h"

#include "kernel/enum_names.h"

namespace banyanlane::kernel {
namespace {

constexpr EnumNames<ErrorCode, 10> kErrorNames = {{
    {ErrorCode::kInvalidSettings, "invalid_settings"},
    {ErrorCode::kInvalidConfig, "invalid_config"},
    {ErrorCode::kInvalidMessage, "invalid_message"},
    {ErrorCode::kUnreachable, "unreachable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kConnectionLost, "cut"},
    {ErrorCode::kRefused, "refused"},
    {ErrorCode::kStale, "stale"},
    {ErrorCode::kTooLarge, "too_large"},
    {ErrorCode::kCancelled, "cancelled"},
}};

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) {
  return NameOf(kErrorNames, code);
}

std::string Describe(const Error& error) {
  std::string text(ErrorCodeName(error.code));
  text += " at " + error.step;
  if (!error.peer.empty()) text += " with " + error.peer;
  if (!error.detail.empty()) text += ": " + error.detail;
  return text;
}

}  // namespace banyanlane::kernel
