#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "link/messages.h"

namespace banyanlane::link {

/// Encodes `message` as a CBOR array of its number and its fields in order.
std::string Encode(const Message& message);

/// Returns the number of bytes that a list of numbers takes in a frame.
std::size_t EncodedSize(const std::vector<std::uint64_t>& numbers);

/// Decodes one frame.
/// @return the message, or kInvalidMessage when the frame is not a complete
/// message of a known type.
kernel::Result<Message> Decode(std::string_view frame);

}  // namespace banyanlane::link
