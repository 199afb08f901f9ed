#include "http/internal/response_memory.h"

#include <utility>

namespace banyanlane::http {

ResponseMemory::ResponseMemory(
    std::shared_ptr<MemoryBudget> budget,
    std::shared_ptr<ConnectionTracker> tracker,
    std::shared_ptr<std::atomic<std::uint64_t>> held_bytes)
    : budget(std::move(budget)),
      tracker(std::move(tracker)),
      held_bytes(std::move(held_bytes)) {}

ResponseMemory::~ResponseMemory() { *this->held_bytes -= this->counted_bytes; }

bool ResponseMemory::TryGrow(std::uint64_t additional_bytes) {
  if (this->allocation.bytes() > 0)
    return this->allocation.Extend(additional_bytes);
  auto reserved = this->budget->TryReserve(additional_bytes);
  if (reserved) this->allocation = std::move(*reserved);
  return reserved.has_value();
}

bool ResponseMemory::Resize(std::uint64_t bytes) {
  const std::uint64_t counted = bytes > kUncountedResponseBytes ? bytes : 0;
  if (counted == this->counted_bytes) return true;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::uint64_t current = this->allocation.bytes();
    const bool is_held = counted <= current || this->TryGrow(counted - current);
    if (counted < current) this->allocation.Reduce(current - counted);
    if (is_held) {
      *this->held_bytes += counted - current;
      this->counted_bytes = counted;
      return true;
    }
  }
  this->tracker->ReleaseMemory(CallerWait::kResponse, counted,
                               kernel::Clock::now());
  return false;
}

}  // namespace banyanlane::http
