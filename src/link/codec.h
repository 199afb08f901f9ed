#pragma once

#include <string>
#include <string_view>

#include "kernel/result.h"
#include "link/messages.h"

namespace banyanlane::link {

/// Encodes `message` as a CBOR array: its number, then its fields in order.
std::string Encode(const Message& message);

/// Decodes one frame. Anything but a known, complete message is an error.
kernel::Result<Message> Decode(std::string_view frame);

}  // namespace banyanlane::link
