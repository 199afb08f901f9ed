#include "entry/internal/answer_assembly.h"

namespace banyanlane::entry {

void AnswerAssembly::SetHead(int status, http::Headers fields) {
  this->head_known = true;
  this->head_status = status;
  this->head_fields = std::move(fields);
}

bool AnswerAssembly::IsEventStream() const {
  return http::HeaderOf(this->head_fields, "content-type")
             .rfind("text/event-stream", 0) == 0;
}

AnswerAssembly::Taken AnswerAssembly::Take(const link::Chunk& chunk) {
  if (chunk.offset < this->received) return Taken::kOld;
  if (chunk.offset > this->received) return Taken::kGap;
  this->received += chunk.data.bytes.size();
  this->digest.Add(chunk.data.bytes);
  this->held += chunk.data.bytes;
  return Taken::kTaken;
}

bool AnswerAssembly::IsWhole(const link::Ended& ended) const {
  if (!this->head_known || ended.length != this->received) return false;
  // The digest covers the complete response, so it can't be checked when the
  // first bytes were not received here.
  const bool checkable = this->first_offset == 0 && !ended.digest.empty();
  return !checkable || ended.digest == this->digest.Finish();
}

std::string AnswerAssembly::Release() {
  std::string released;
  released.swap(this->held);
  return released;
}

}  // namespace banyanlane::entry
