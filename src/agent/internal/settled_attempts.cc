#include "agent/internal/settled_attempts.h"

namespace banyanlane::agent {

SettledAttempts::Kind SettledAttempts::Find(const std::string& request,
                                            std::uint64_t attempt) const {
  const auto found = this->entries.find({request, attempt});
  return found == this->entries.end() ? Kind::kNone : found->second.kind;
}

void SettledAttempts::Add(const std::string& request, std::uint64_t attempt,
                          Kind kind, std::uint64_t start_by_ms) {
  this->entries[{request, attempt}] = Entry{kind, start_by_ms};
}

void SettledAttempts::Expire(std::uint64_t clock_ms) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const bool expired = it->second.start_by_ms < clock_ms;
    it = expired ? this->entries.erase(it) : std::next(it);
  }
}

}  // namespace banyanlane::agent
