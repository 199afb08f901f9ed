#include "agent/internal/response_buffer.h"

namespace banyanlane::agent {

void ResponseBuffer::Append(std::string_view data) {
  this->bytes += data;
  if (this->bytes.size() <= this->limit_bytes) return;
  // Keeps only half of the limit, so that not every append moves the retained
  // bytes.
  const std::size_t excess = this->bytes.size() - this->limit_bytes / 2;
  this->bytes.erase(0, excess);
  this->begin_offset += excess;
}

std::string_view ResponseBuffer::Read(std::uint64_t offset,
                                      std::size_t max_bytes) const {
  return std::string_view(this->bytes)
      .substr(offset - this->begin_offset, max_bytes);
}

}  // namespace banyanlane::agent
