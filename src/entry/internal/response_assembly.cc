#include "entry/internal/response_assembly.h"

namespace banyanlane::entry {

void ResponseAssembly::SetHead(int status, http::Headers fields) {
  this->head_received = true;
  this->head_status = status;
  this->head_fields = std::move(fields);
}

bool ResponseAssembly::IsEventStream() const {
  return http::HeaderOf(this->head_fields, "content-type")
             .rfind("text/event-stream", 0) == 0;
}

ResponseAssembly::AddResult ResponseAssembly::Add(const link::Chunk& chunk) {
  if (chunk.offset < this->received_offset) return AddResult::kDuplicate;
  if (chunk.offset > this->received_offset) return AddResult::kGap;
  this->received_offset += chunk.data.bytes.size();
  this->digest.Add(chunk.data.bytes);
  this->buffer += chunk.data.bytes;
  return AddResult::kAdded;
}

bool ResponseAssembly::IsComplete(const link::Ended& ended) const {
  if (!this->head_received || ended.length != this->received_offset)
    return false;
  // The digest covers the complete response, so it can't be checked when the
  // first bytes were not received here.
  const bool can_check_digest =
      this->first_offset == 0 && !ended.digest.empty();
  return !can_check_digest || ended.digest == this->digest.Finish();
}

std::string ResponseAssembly::TakeBuffer() {
  std::string bytes_taken;
  bytes_taken.swap(this->buffer);
  return bytes_taken;
}

}  // namespace banyanlane::entry
